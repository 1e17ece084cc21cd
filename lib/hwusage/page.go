package hwusage

import (
	"encoding/json"
	"math"
	"time"
)

// Page is the usage of one hour over all instances, as the store keeps it.
type Page struct {
	Hour    time.Time      `json:"hour"`
	Rows    []Row          `json:"rows"`
	Origins []Contribution `json:"origins"`
}

// Contribution is what a page knows of one origin: which of its batches it holds and which time they cover.
type Contribution struct {
	Origin
	Sequence uint64        `json:"sequence"`
	Units    float64       `json:"units"`
	From     time.Time     `json:"from"`
	Through  time.Time     `json:"through"`
	Interval time.Duration `json:"interval"`
	Closed   bool          `json:"closed"`
}

// PageError says that a stored page cannot be read.
type PageError struct {
	Hour  time.Time
	Cause error
}

// Error names the hour.
func (e *PageError) Error() string {
	return "the usage of the hour " + e.Hour.Format(time.RFC3339) + " cannot be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *PageError) Unwrap() error { return e.Cause }

// DecodePage reads a stored page. No bytes are the empty page of the hour.
func DecodePage(hour time.Time, body []byte) (Page, error) {
	page := Page{
		Hour: hour,
	}
	if len(body) == 0 {
		return page, nil
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return Page{}, &PageError{
			Hour:  hour,
			Cause: err,
		}
	}
	return page, nil
}

// Encode returns the page as it is stored.
func (p Page) Encode() []byte {
	// Strings, numbers and times always encode.
	body, _ := json.Marshal(p)
	return body
}

// WithBatch returns the page with a batch added, and false if it holds the batch already: then the answer to an earlier write was lost.
func (p Page) WithBatch(batch Batch) (Page, bool) {
	next := Page{
		Hour: p.Hour,
	}
	found := Contribution{
		Origin: batch.Origin,
		From:   batch.From,
	}
	for _, c := range p.Origins {
		if c.Origin != batch.Origin {
			next.Origins = append(next.Origins, c)
			continue
		}
		if c.Sequence >= batch.Sequence {
			return p, false
		}
		found = c
	}
	units := map[rowKey]float64{}
	for _, row := range p.Rows {
		units[rowKey{
			pool:    row.Pool,
			account: row.Account,
		}] += row.Units
	}
	for _, row := range batch.Rows {
		units[rowKey{
			pool:    row.Pool,
			account: row.Account,
		}] += row.Units
		found.Units += row.Units
	}
	next.Rows = rowsOf(units)
	found.Sequence = batch.Sequence
	found.Through = batch.Through
	found.Interval = batch.Interval
	found.Closed = batch.Closed
	next.Origins = append(next.Origins, found)
	return next, true
}

// EstimateMissing estimates the usage in cost units that may be missing from a page as of now, because an origin died before its next batch or has not stored it yet. Before is the page of the hour before, which knows origins that stored nothing in this hour.
//
// An origin adds a batch at least once an interval, so each is counted with its own rate over at most that time.
func (p Page) EstimateMissing(now time.Time, before Page) float64 {
	end := p.Hour.Add(time.Hour)
	if now.Before(end) {
		end = now
	}
	missing := 0.0
	present := map[Origin]bool{}
	for _, c := range p.Origins {
		present[c.Origin] = true
		missing += c.missing(c.Through, end)
	}
	for _, c := range before.Origins {
		if !present[c.Origin] && !c.Through.Before(p.Hour) {
			missing += c.missing(p.Hour, end)
		}
	}
	return missing
}

// missing estimates what the origin used after a time until the end.
func (c Contribution) missing(after, end time.Time) float64 {
	if c.Closed || !after.Before(end) {
		return 0
	}
	covered := math.Max(1, c.Through.Sub(c.From).Seconds())
	open := math.Min(end.Sub(after).Seconds(), c.Interval.Seconds())
	return c.Units / covered * open
}

// The times between two batches of an instance.
const (
	baseInterval = time.Minute
	baseFleet    = 5
)

// FlushInterval returns the time between two batches of an instance in a fleet of the given size. It grows with the square root of the fleet, so the fleet's calls to the store do too, and what may be missing after a crash stays a small part.
func FlushInterval(instances int) time.Duration {
	factor := math.Sqrt(math.Max(1, float64(instances)/baseFleet))
	return time.Duration(float64(baseInterval) * factor).Round(time.Second)
}
