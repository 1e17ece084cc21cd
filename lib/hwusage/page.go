package hwusage

import (
	"encoding/json"
	"math"
	"time"
)

// Page is the stored record of one hour's usage over all instances.
type Page struct {
	Hour    time.Time      `json:"hour"`
	Rows    []Row          `json:"rows"`
	Origins []Contribution `json:"origins"`
}

// Contribution records which batches of an origin a page includes, by their highest sequence number, and which time span they cover.
type Contribution struct {
	Origin
	Sequence uint64        `json:"sequence"`
	Units    float64       `json:"units"`
	From     time.Time     `json:"from"`
	Through  time.Time     `json:"through"`
	Interval time.Duration `json:"interval"`
	Closed   bool          `json:"closed"`
}

// PageError reports a stored page that cannot be decoded.
type PageError struct {
	Hour  time.Time
	Cause error
}

func (e *PageError) Error() string {
	return "decode usage page of hour " + e.Hour.Format(time.RFC3339) + ": " + e.Cause.Error()
}

// Unwrap returns the decoding error.
func (e *PageError) Unwrap() error { return e.Cause }

// DecodePage decodes a stored page. An empty body decodes to the empty page of the hour.
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

// Encode returns the page in its stored form, JSON.
func (p Page) Encode() []byte {
	// Marshalling strings, numbers and times does not fail.
	body, _ := json.Marshal(p)
	return body
}

// WithBatch returns the page with a batch added. It returns the page unchanged and false if the page includes the batch already, which happens when the response to an earlier write was lost and the write is retried.
func (p Page) WithBatch(batch Batch) (Page, bool) {
	updated := Page{
		Hour: p.Hour,
	}
	contribution := Contribution{
		Origin: batch.Origin,
		From:   batch.From,
	}
	for _, c := range p.Origins {
		if c.Origin != batch.Origin {
			updated.Origins = append(updated.Origins, c)
			continue
		}
		if c.Sequence >= batch.Sequence {
			return p, false
		}
		contribution = c
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
		contribution.Units += row.Units
	}
	updated.Rows = rowsOf(units)
	contribution.Sequence = batch.Sequence
	contribution.Through = batch.Through
	contribution.Interval = batch.Interval
	contribution.Closed = batch.Closed
	updated.Origins = append(updated.Origins, contribution)
	return updated, true
}

// EstimateMissing estimates the usage in cost units that may be missing from a page as of now, because an origin crashed before its next batch or has not stored it yet. The page of the previous hour lists origins that have stored nothing in this hour.
//
// An origin stores a batch at least once per interval, so the estimate for each origin is its mean rate times the uncovered time, at most one interval.
func (p Page) EstimateMissing(now time.Time, previous Page) float64 {
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
	for _, c := range previous.Origins {
		if !present[c.Origin] && !c.Through.Before(p.Hour) {
			missing += c.missing(p.Hour, end)
		}
	}
	return missing
}

// missing estimates the origin's usage between two times from its mean rate.
func (c Contribution) missing(from, end time.Time) float64 {
	if c.Closed || !from.Before(end) {
		return 0
	}
	covered := math.Max(1, c.Through.Sub(c.From).Seconds())
	uncovered := math.Min(end.Sub(from).Seconds(), c.Interval.Seconds())
	return c.Units / covered * uncovered
}

// The flush interval is baseInterval for up to baseInstances instances.
const (
	baseInterval  = time.Minute
	baseInstances = 5
)

// FlushInterval returns the time between two batches of an instance, given the number of instances. It grows with the square root of that number. So does the rate of store calls of all instances together, and the usage that a crash may lose stays a small fraction of the total.
func FlushInterval(instances int) time.Duration {
	factor := math.Sqrt(math.Max(1, float64(instances)/baseInstances))
	return time.Duration(float64(baseInterval) * factor).Round(time.Second)
}
