// Package hwonce lets a keyed request that must not be repeated run at most once over the whole fleet.
//
// A key belongs to a partition. The partition's owner records the intent to run in the platform's store before anybody hands the request over, many intents with one write. Every intent of a partition passes through one store value by compare-and-swap, so that two instances which both think they are the owner cannot both let a key run: the later one meets a conflict, reads, and finds the other's record.
package hwonce

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
)

// KeyHash names a caller's key. 128 bits keep two keys of the fleet from meeting.
type KeyHash struct {
	High uint64
	Low  uint64
}

// HashKey returns the name of an account's key.
func HashKey(account, key string) KeyHash {
	text := account + "\x00" + key
	return KeyHash{
		High: xxhash.Sum64String("high\x00" + text),
		Low:  xxhash.Sum64String("low\x00" + text),
	}
}

// Partition returns the partition of a key among count.
func (k KeyHash) Partition(count int) int { return int(k.High % uint64(count)) }

// Outcome is what is known about a keyed request's end.
type Outcome uint8

const (
	// OutcomeRunning means that the intent is recorded and no outcome is: the request may be running, or its router may be gone.
	OutcomeRunning Outcome = iota
	// OutcomeExecuted means that an upstream answered.
	OutcomeExecuted
	// OutcomeUnknown means that the request was handed over and no proof of its end came back.
	OutcomeUnknown
	// OutcomeNotExecuted means that the request was surely not handed over; its key may be used again.
	OutcomeNotExecuted
)

// String returns the outcome's name.
func (o Outcome) String() string { return [...]string{"running", "ran", "unknown", "not-run"}[o] }

// Record is what is kept of a keyed request.
type Record struct {
	Key        KeyHash
	BodyHash   uint64
	AttemptID  uint64
	RecordedAt time.Time
	Outcome    Outcome
	StatusCode int
}

// supersedes reports whether r replaces other in a merge of two views of the same key.
func (r Record) supersedes(other Record) bool {
	if r.AttemptID == other.AttemptID {
		return r.Outcome != OutcomeRunning
	}
	// Only a request that did not run makes room for another attempt.
	if other.Outcome == OutcomeNotExecuted && r.Outcome != OutcomeNotExecuted {
		return true
	}
	return r.Outcome != OutcomeNotExecuted && r.RecordedAt.After(other.RecordedAt)
}

// Page is one store value: some records of a partition, in the order of their keys' first use.
type Page struct {
	Sequence uint64
	Records  []Record
}

// LastRecordedAt returns the time of the page's latest record.
func (p Page) LastRecordedAt() time.Time {
	var newest time.Time
	for _, r := range p.Records {
		if r.RecordedAt.After(newest) {
			newest = r.RecordedAt
		}
	}
	return newest
}

// Union returns the union of the page with other records; nothing is lost.
func (p Page) Union(records []Record) Page {
	at := map[KeyHash]int{}
	merged := Page{
		Sequence: p.Sequence,
		Records:  slices.Clone(p.Records),
	}
	for i, r := range merged.Records {
		at[r.Key] = i
	}
	for _, r := range records {
		i, known := at[r.Key]
		switch {
		case !known:
			at[r.Key] = len(merged.Records)
			merged.Records = append(merged.Records, r)
		case r.supersedes(merged.Records[i]):
			merged.Records[i] = r
		}
	}
	return merged
}

// Encode returns the page's bytes.
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

// DecodePage reads a page; no bytes are an empty page.
func DecodePage(data []byte) (Page, error) {
	var wire hwpeerpb.OncePage
	if err := proto.Unmarshal(data, &wire); err != nil {
		return Page{}, trace.BadParameter("the page cannot be read: %v", err)
	}
	page := Page{
		Sequence: wire.GetSequence(),
	}
	for _, r := range wire.GetRecords() {
		if r.GetOutcome() > uint32(OutcomeNotExecuted) {
			return Page{}, trace.BadParameter("the page holds an unknown outcome %d", r.GetOutcome())
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
