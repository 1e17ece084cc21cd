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

type encodedRecord struct {
	Format  int             `json:"format"`
	Reports []encodedReport `json:"reports"`
}

type encodedReport struct {
	// Segment is in hexadecimal, as in logs.
	Segment string `json:"segment"`
	Kind    string `json:"kind"`
	// AtMS is in milliseconds since 1970.
	AtMS           int64  `json:"at-ms"`
	Upstream       uint32 `json:"upstream,omitempty"`
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

// Encode encodes reports as a record.
func Encode(reports []hwquarantine.SegmentReport) ([]byte, error) {
	record := encodedRecord{
		Format:  format,
		Reports: []encodedReport{},
	}
	for _, r := range reports {
		record.Reports = append(record.Reports, encodedReport{
			Segment:        r.Segment.String(),
			Kind:           kindNames[r.Kind],
			AtMS:           r.At.UnixMilli(),
			Upstream:       uint32(r.Upstream),
			AnsweredBefore: r.AnsweredBefore,
			Trials:         r.Trials,
		})
	}
	encoded, err := json.Marshal(record)
	return encoded, trace.Wrap(err)
}

// Decode decodes a record. Reports of a kind or segment that can't be read are left out, because the others still hold.
func Decode(encoded []byte) ([]hwquarantine.SegmentReport, error) {
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
	var reports []hwquarantine.SegmentReport
	for _, r := range record.Reports {
		segment, err := strconv.ParseUint(r.Segment, 16, 64)
		kind, known := kindByName(r.Kind)
		if err != nil || !known {
			continue
		}
		reports = append(reports, hwquarantine.SegmentReport{
			Segment:        hwquarantine.Segment(segment),
			Kind:           kind,
			At:             time.UnixMilli(r.AtMS),
			Upstream:       hwquarantine.UpstreamHash(r.Upstream),
			AnsweredBefore: r.AnsweredBefore,
			Trials:         min(max(0, r.Trials), maxTrials),
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
		return x == y
	})
}
