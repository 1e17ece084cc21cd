// Package hwonce provides idempotency keys: a request with a key runs at most once in the whole fleet.
//
// A key belongs to a partition. Before a request is sent to an upstream, the owner of its partition records the intent in the platform's store, many intents in one write. All intents of a partition are written to one store value by compare-and-swap. Two instances that both act as the owner therefore cannot both let a key run: the second write conflicts, and the instance then reads the record of the first.
package hwonce

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
)

// KeyHash is the hash of an account and its idempotency key. Its 128 bits make collisions within the fleet negligible.
type KeyHash struct {
	High uint64
	Low  uint64
}

// HashKey returns the hash of an account's idempotency key.
func HashKey(account, key string) KeyHash {
	text := account + "\x00" + key
	return KeyHash{
		High: xxhash.Sum64String("high\x00" + text),
		Low:  xxhash.Sum64String("low\x00" + text),
	}
}

// Partition returns the number of the key's partition, below count.
func (k KeyHash) Partition(count int) int { return int(k.High % uint64(count)) }

// Outcome is the known outcome of a keyed request.
type Outcome uint8

const (
	// OutcomeRunning means that the intent is recorded without an outcome: the request may be running, or its router may have crashed.
	OutcomeRunning Outcome = iota
	// OutcomeExecuted means that an upstream responded.
	OutcomeExecuted
	// OutcomeUnknown means that the request was sent to an upstream and may or may not have been executed.
	OutcomeUnknown
	// OutcomeNotExecuted means that the request was certainly not executed; its key may be used again.
	OutcomeNotExecuted
)

// String returns the outcome's name.
func (o Outcome) String() string { return [...]string{"running", "ran", "unknown", "not-run"}[o] }

// Record is the stored record of a keyed request. RecordedAt is when its intent was recorded.
type Record struct {
	Key        KeyHash
	BodyHash   uint64
	AttemptID  uint64
	RecordedAt time.Time
	Outcome    Outcome
	StatusCode int
}

// supersedes reports whether r replaces other when two records of the same key are merged.
func (r Record) supersedes(other Record) bool {
	if r.AttemptID == other.AttemptID {
		return r.Outcome != OutcomeRunning
	}
	// Another attempt replaces a record only if the recorded request was not executed.
	if other.Outcome == OutcomeNotExecuted && r.Outcome != OutcomeNotExecuted {
		return true
	}
	return r.Outcome != OutcomeNotExecuted && r.RecordedAt.After(other.RecordedAt)
}

// isSameAs reports whether both are the record of the same attempt with the same outcome.
func (r Record) isSameAs(other Record) bool {
	return r.AttemptID == other.AttemptID && r.Outcome == other.Outcome
}

// Page is one value in the store: a part of a partition's records, in the order of first use of their keys.
type Page struct {
	Sequence uint64
	Records  []Record
}

// LastRecordedAt returns the time of the page's latest record, or zero for an empty page.
func (p Page) LastRecordedAt() time.Time {
	var last time.Time
	for _, r := range p.Records {
		if r.RecordedAt.After(last) {
			last = r.RecordedAt
		}
	}
	return last
}

// Union returns the page merged with other records. If both contain a key, the record that supersedes the other is kept.
func (p Page) Union(records []Record) Page {
	index := map[KeyHash]int{}
	merged := Page{
		Sequence: p.Sequence,
		Records:  slices.Clone(p.Records),
	}
	for i, r := range merged.Records {
		index[r.Key] = i
	}
	for _, r := range records {
		i, known := index[r.Key]
		switch {
		case !known:
			index[r.Key] = len(merged.Records)
			merged.Records = append(merged.Records, r)
		case r.supersedes(merged.Records[i]):
			merged.Records[i] = r
		}
	}
	return merged
}

// Encode returns the page in its stored form.
func (p Page) Encode() ([]byte, error) {
	wire := &hwpeerpb.OncePage{
		Sequence: p.Sequence,
		Records:  make([]*hwpeerpb.OnceRecord, 0, len(p.Records)),
	}
	for _, r := range p.Records {
		wire.Records = append(wire.Records, &hwpeerpb.OnceRecord{
			KeyHigh: r.Key.High,
			KeyLow:  r.Key.Low,
			Body:    r.BodyHash,
			Attempt: r.AttemptID,
			AtMs:    r.RecordedAt.UnixMilli(),
			Outcome: uint32(r.Outcome),
			Status:  uint32(r.StatusCode),
		})
	}
	data, err := proto.Marshal(wire)
	return data, trace.Wrap(err)
}

// DecodePage decodes a stored page. Empty data is an empty page.
func DecodePage(data []byte) (Page, error) {
	var wire hwpeerpb.OncePage
	if err := proto.Unmarshal(data, &wire); err != nil {
		return Page{}, trace.BadParameter("decoding an idempotency key page: %v", err)
	}
	page := Page{
		Sequence: wire.GetSequence(),
	}
	for _, r := range wire.GetRecords() {
		if r.GetOutcome() > uint32(OutcomeNotExecuted) {
			return Page{}, trace.BadParameter("idempotency key page contains unknown outcome %d", r.GetOutcome())
		}
		page.Records = append(page.Records, Record{
			Key: KeyHash{
				High: r.GetKeyHigh(),
				Low:  r.GetKeyLow(),
			},
			BodyHash:   r.GetBody(),
			AttemptID:  r.GetAttempt(),
			RecordedAt: time.UnixMilli(r.GetAtMs()),
			Outcome:    Outcome(r.GetOutcome()),
			StatusCode: int(r.GetStatus()),
		})
	}
	return page, nil
}
