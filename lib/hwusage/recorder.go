// Package hwusage keeps what each client account used of each pool, by hour: a recorder in every instance, one page an hour in the platform's store, and reports and forecasts from the pages.
//
// Usage is counted in cost units, the units of the document's weights.
package hwusage

import (
	"cmp"
	"slices"
	"time"
)

// CumulativeUsage is an account's grow-only service in a pool, in cost units, since the instance began to serve the pool.
type CumulativeUsage struct {
	Pool string
	// PoolGeneration tells apart the pools of one name: one that left the document and ends what it runs, and its successor.
	PoolGeneration uint64
	Account        string
	Units          float64
}

// Row is an account's usage of a pool within an hour, in cost units.
type Row struct {
	Pool    string  `json:"pool"`
	Account string  `json:"account"`
	Units   float64 `json:"units"`
}

type rowKey struct {
	pool    string
	account string
}

type totalKey struct {
	rowKey
	life uint64
}

// Batch is the usage that one instance adds to one hour at once. Its sequence rises with every batch of an origin, so a page can tell whether it holds a batch already.
type Batch struct {
	Origin   Origin
	Sequence uint64
	Hour     time.Time
	Rows     []Row
	// From and Through bound the time that the origin's batches of this hour cover.
	From    time.Time
	Through time.Time
	// Interval is the time until the next batch at the latest.
	Interval time.Duration
	// Closed tells that the origin stopped and adds nothing more.
	Closed bool
}

// Origin names one life of one instance.
type Origin struct {
	Instance string `json:"instance"`
	Boot     uint64 `json:"boot"`
}

type hourUsage struct {
	units map[rowKey]float64
	from  time.Time
}

// Recorder attributes the growth of totals to hours and hands it out in batches. It is not safe for concurrent use.
type Recorder struct {
	origin   Origin
	seen     map[totalKey]float64
	hours    map[time.Time]*hourUsage
	observed time.Time
	sequence uint64
	frozen   *Batch
}

// NewRecorder returns a recorder that begins now.
func NewRecorder(now time.Time, origin Origin) *Recorder {
	r := &Recorder{
		origin:   origin,
		seen:     map[totalKey]float64{},
		hours:    map[time.Time]*hourUsage{},
		observed: now,
	}
	r.hour(now, now)
	return r
}

// HourStart returns the beginning of the hour that holds a time.
func HourStart(at time.Time) time.Time { return at.UTC().Truncate(time.Hour) }

func (r *Recorder) hour(at, from time.Time) *hourUsage {
	hour := HourStart(at)
	usage, known := r.hours[hour]
	if !known {
		usage = &hourUsage{
			units: map[rowKey]float64{},
			from:  from,
		}
		r.hours[hour] = usage
	}
	return usage
}

// Observe attributes the growth of the totals since the last call to the hour of now. Totals that are missing stay as they were.
func (r *Recorder) Observe(now time.Time, totals []CumulativeUsage) {
	if HourStart(now).After(HourStart(r.observed)) {
		r.hour(now, HourStart(now))
	}
	usage := r.hour(now, now)
	for _, t := range totals {
		key := totalKey{
			rowKey: rowKey{
				pool:    t.Pool,
				account: t.Account,
			},
			life: t.PoolGeneration,
		}
		if growth := t.Units - r.seen[key]; growth > 0 {
			usage.units[key.rowKey] += growth
			r.seen[key] = t.Units
		}
	}
	r.observed = now
}

// ForgetPool drops the totals of a pool that serves nothing any more.
func (r *Recorder) ForgetPool(life uint64) {
	for key := range r.seen {
		if key.life == life {
			delete(r.seen, key)
		}
	}
}

// NextBatch returns the batch to store: the one handed out before if it was not confirmed, otherwise that of the oldest hour.
func (r *Recorder) NextBatch(interval time.Duration, closing bool) Batch {
	if r.frozen != nil {
		return *r.frozen
	}
	hour := r.oldest()
	usage := r.hours[hour]
	end := hour.Add(time.Hour)
	through := r.observed
	if through.After(end) {
		through = end
	}
	r.sequence++
	r.frozen = &Batch{
		Origin:   r.origin,
		Sequence: r.sequence,
		Hour:     hour,
		Rows:     rowsOf(usage.units),
		From:     usage.from,
		Through:  through,
		Interval: interval,
		Closed:   closing && !r.observed.After(end),
	}
	delete(r.hours, hour)
	if HourStart(r.observed).Equal(hour) {
		r.hour(hour, usage.from)
	}
	return *r.frozen
}

func (r *Recorder) oldest() time.Time {
	var oldest time.Time
	for hour := range r.hours {
		if oldest.IsZero() || hour.Before(oldest) {
			oldest = hour
		}
	}
	return oldest
}

// ConfirmStored notes that the batch handed out last is in the store. It reports whether another batch follows: one of an hour that has ended is followed by the next hour's.
func (r *Recorder) ConfirmStored() bool {
	ended := r.frozen != nil && r.frozen.Hour.Before(HourStart(r.observed))
	r.frozen = nil
	return ended
}

func rowsOf(units map[rowKey]float64) []Row {
	rows := make([]Row, 0, len(units))
	for key, used := range units {
		rows = append(rows, Row{
			Pool:    key.pool,
			Account: key.account,
			Units:   used,
		})
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Account, b.Account))
	})
}
