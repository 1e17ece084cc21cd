// Package hwtrail remembers what happened to the last requests of an instance, so that an operator can ask why one waited and where it went.
package hwtrail

import (
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdispatch"
)

// Attempt is one try of a request at an upstream.
type Attempt struct {
	Upstream string    `json:"upstream"`
	Began    time.Time `json:"began"`
	Ended    time.Time `json:"ended"`
	// Outcome is "answered", or how the attempt failed.
	Outcome string `json:"outcome"`
}

// Wait is a request's wait for a slot. A request that started at once has none.
type Wait struct {
	Began time.Time `json:"began"`
	Ended time.Time `json:"ended"`
	// Outlook is what the request found when it came.
	Outlook hwdispatch.QueueSnapshot `json:"outlook"`
}

// Record is what happened to one request.
type Record struct {
	Request  string    `json:"request"`
	Instance string    `json:"instance"`
	Account  string    `json:"account"`
	Pool     string    `json:"pool"`
	Began    time.Time `json:"began"`
	Ended    time.Time `json:"ended"`
	Waits    []Wait    `json:"waits"`
	Attempts []Attempt `json:"attempts"`
	// Outcome is "answered" or the kind of refusal; Execution is what the caller was told.
	Outcome   string  `json:"end"`
	Execution string  `json:"execution"`
	CostUnits float64 `json:"units"`
}

// Ring holds the last trails. It is not safe for concurrent use.
type Ring struct {
	trails []Record
	next   int
	places map[string]int
}

// NewRing returns a ring that holds at most size trails.
func NewRing(size int) *Ring {
	return &Ring{
		trails: make([]Record, 0, size),
		places: make(map[string]int, size),
	}
}

// Add keeps a trail in place of the oldest one. A later trail of the same request hides the earlier one.
func (r *Ring) Add(trail Record) {
	if len(r.trails) < cap(r.trails) {
		r.trails = append(r.trails, trail)
		r.places[trail.Request] = len(r.trails) - 1
		return
	}
	oldest := r.trails[r.next].Request
	if r.places[oldest] == r.next {
		delete(r.places, oldest)
	}
	r.trails[r.next] = trail
	r.places[trail.Request] = r.next
	r.next = (r.next + 1) % len(r.trails)
}

// Find returns the trail of a request.
func (r *Ring) Find(request string) (Record, bool) {
	place, known := r.places[request]
	if !known {
		return Record{}, false
	}
	return r.trails[place], true
}
