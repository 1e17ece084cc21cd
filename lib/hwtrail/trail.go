// Package hwtrail keeps a record of each of the last requests of an instance, so that an operator can look up how long one waited and which upstreams it was sent to.
package hwtrail

import (
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdispatch"
)

// Attempt is one attempt to have a request answered by an upstream.
type Attempt struct {
	Upstream string    `json:"upstream"`
	Began    time.Time `json:"began"`
	Ended    time.Time `json:"ended"`
	// Outcome is "answered", or the cause of the failure.
	Outcome string `json:"outcome"`
}

// Wait is the time that a request spent queued for a slot. A request that got a slot at once has none.
type Wait struct {
	Began time.Time `json:"began"`
	Ended time.Time `json:"ended"`
	// Outlook is the state of the queue when the request arrived.
	Outlook hwdispatch.QueueSnapshot `json:"outlook"`
}

// Record is the history of one request.
type Record struct {
	Request  string    `json:"request"`
	Instance string    `json:"instance"`
	Account  string    `json:"account"`
	Pool     string    `json:"pool"`
	Began    time.Time `json:"began"`
	Ended    time.Time `json:"ended"`
	Waits    []Wait    `json:"waits"`
	Attempts []Attempt `json:"attempts"`
	// Outcome is "answered" or the kind of refusal; Execution states whether the request was executed, as reported to the client.
	Outcome   string  `json:"end"`
	Execution string  `json:"execution"`
	CostUnits float64 `json:"units"`
}

// Ring is a ring buffer of the last records, indexed by request ID. It is not safe for concurrent use.
type Ring struct {
	records []Record
	// next is the position of the oldest record once the buffer is full.
	next int
	// positions maps a request ID to the position of its latest record.
	positions map[string]int
}

// NewRing returns a ring that holds at most size records.
func NewRing(size int) *Ring {
	return &Ring{
		records:   make([]Record, 0, size),
		positions: make(map[string]int, size),
	}
}

// Add stores a record and overwrites the oldest one if the ring is full. If a request has several records, Find returns the latest.
func (r *Ring) Add(record Record) {
	if len(r.records) < cap(r.records) {
		r.records = append(r.records, record)
		r.positions[record.Request] = len(r.records) - 1
		return
	}
	oldest := r.records[r.next].Request
	if r.positions[oldest] == r.next {
		delete(r.positions, oldest)
	}
	r.records[r.next] = record
	r.positions[record.Request] = r.next
	r.next = (r.next + 1) % len(r.records)
}

// Find returns the latest record of a request.
func (r *Ring) Find(request string) (Record, bool) {
	position, found := r.positions[request]
	if !found {
		return Record{}, false
	}
	return r.records[position], true
}
