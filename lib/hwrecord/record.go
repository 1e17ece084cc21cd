// Package hwrecord keeps what the routers know of crashes in the platform's store, so that the quarantine outlives all of their processes.
//
// One router of the fleet writes the record, a single value that is replaced by compare-and-swap. Reports merge in any order and any number of times, so two writers that don't know of each other lose nothing.
package hwrecord

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

// format is the version of the encoding. A record with a later one is neither used nor replaced.
const format = 1

// The names of the kinds of reports.
var kindNames = map[hwquarantine.SegmentReportKind]string{
	hwquarantine.SegmentCrashed:  "crashed",
	hwquarantine.SegmentAnswered: "answered",
	hwquarantine.SegmentTried:    "tried",
}

// refreshInterval is the time after which a record that states anything is written again as it is. So a record is not much older, whatever the clocks say, unless no router ran that could write it.
const refreshInterval = time.Hour

// uncertainSkew is how far the writer's clock must be ahead for the times of a record to be uncertain. Clocks that are kept in step differ by less.
const uncertainSkew = 2 * time.Second

type encodedRecord struct {
	Format int `json:"format"`
	// WrittenAtMS is when the record was written, by the clock that AtMS of its reports is stated by. Earlier releases don't state it.
	WrittenAtMS int64           `json:"written-at-ms,omitempty"`
	Reports     []encodedReport `json:"reports"`
}

type encodedReport struct {
	// Segment is in hexadecimal, as in logs.
	Segment string `json:"segment"`
	Kind    string `json:"kind"`
	// AtMS is in milliseconds since 1970.
	AtMS           int64  `json:"at-ms"`
	Upstream       uint32 `json:"upstream,omitempty"`
	ID             uint32 `json:"id,omitempty"`
	AnsweredBefore bool   `json:"answered-before,omitempty"`
	Trials         int    `json:"trials,omitempty"`
}

// FormatError reports that a record has a format that this version does not know.
type FormatError struct {
	Format int
}

// IsLater reports whether the record comes from a later version, and not from another writer.
func (e *FormatError) IsLater() bool { return e.Format > format }

// Error returns the format.
func (e *FormatError) Error() string {
	return "record has the unknown format " + strconv.Itoa(e.Format)
}

// Encode encodes reports as a record that is written now.
func Encode(now time.Time, reports []hwquarantine.SegmentReport) ([]byte, error) {
	record := encodedRecord{
		Format:      format,
		WrittenAtMS: now.UnixMilli(),
		Reports:     []encodedReport{},
	}
	for _, r := range reports {
		record.Reports = append(record.Reports, encodedReport{
			Segment: r.Segment.String(),
			Kind:    kindNames[r.Kind],
			// Counted from now, the age holds if the clock was set since.
			AtMS:           record.WrittenAtMS - now.Sub(r.At).Milliseconds(),
			Upstream:       uint32(r.Upstream),
			ID:             uint32(r.ID),
			AnsweredBefore: r.AnsweredBefore,
			Trials:         r.Trials,
		})
	}
	encoded, err := json.Marshal(record)
	return encoded, trace.Wrap(err)
}

// Decode decodes a record that was read now. The times of its reports are by this router's clock: those of a record of an earlier release as they stand there, others by their ages when the record was written. Reports of a kind or segment that can't be read are left out, because the others still hold.
func Decode(now time.Time, encoded []byte) ([]hwquarantine.SegmentReport, error) {
	// The format comes first, because a later one may have other fields.
	var header struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(encoded, &header); err != nil {
		return nil, trace.Wrap(err)
	}
	if header.Format != format {
		return nil, &FormatError{
			Format: header.Format,
		}
	}
	var record encodedRecord
	if err := json.Unmarshal(encoded, &record); err != nil {
		return nil, trace.Wrap(err)
	}
	moved, dateless := time.Duration(0), false
	if record.WrittenAtMS > 0 {
		writtenAt := time.UnixMilli(record.WrittenAtMS)
		sinceWritten := now.Sub(writtenAt)
		dateless = sinceWritten <= -uncertainSkew
		moved = sinceWritten - min(max(0, sinceWritten), refreshInterval)
	}
	var reports []hwquarantine.SegmentReport
	for _, r := range record.Reports {
		segment, err := strconv.ParseUint(r.Segment, 16, 64)
		kind, known := kindByName(r.Kind)
		if err != nil || !known {
			continue
		}
		id := hwquarantine.CrashID(r.ID)
		if kind == hwquarantine.SegmentCrashed && id == 0 {
			// Earlier releases state none, but all routers read the same time.
			id = hwquarantine.NewCrashID(time.UnixMilli(r.AtMS))
		}
		reports = append(reports, hwquarantine.SegmentReport{
			Segment: hwquarantine.Segment(segment),
			Kind:    kind,
			// Relative to now, so that the age holds if the clock is set later.
			At:             now.Add(time.UnixMilli(r.AtMS).Add(moved).Sub(now)),
			Upstream:       hwquarantine.UpstreamHash(r.Upstream),
			ID:             id,
			AnsweredBefore: r.AnsweredBefore,
			Trials:         min(max(0, r.Trials), maxTrials),
			Dateless:       dateless,
		})
	}
	return reports, nil
}

// maxTrials bounds the trials that a record can state.
const maxTrials = 1000

func kindByName(name string) (hwquarantine.SegmentReportKind, bool) {
	for kind, kindName := range kindNames {
		if kindName == name {
			return kind, true
		}
	}
	return 0, false
}

// sameFacts reports whether two lists state the same. Times don't count: routers learn them from each other with a jitter, which must not cause writes.
func sameFacts(a, b []hwquarantine.SegmentReport) bool {
	return slices.EqualFunc(a, b, func(x, y hwquarantine.SegmentReport) bool {
		x.At, y.At = time.Time{}, time.Time{}
		x.Dateless, y.Dateless = false, false
		return x == y
	})
}
