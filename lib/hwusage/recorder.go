// Package hwusage accounts for the usage of each pool by each client account, by hour. A recorder in every instance collects usage, the platform's store holds one page per hour, and reports and forecasts are computed from the pages.
//
// Usage is measured in cost units, which the weights in the document define.
package hwusage

import (
	"cmp"
	"slices"
	"time"
)

// CumulativeUsage is a counter, which only grows, of an account's usage of a pool, in cost units, since the instance began to serve the pool.
type CumulativeUsage struct {
	Pool string
	// PoolGeneration distinguishes pools of the same name: one that was removed from the document and is draining, and its successor.
	PoolGeneration uint64
	Account        string
	Units          float64
}

// Row is an account's usage of a pool within one hour, in cost units.
type Row struct {
	Pool    string  `json:"pool"`
	Account string  `json:"account"`
	Units   float64 `json:"units"`
}

type rowKey struct {
	pool    string
	account string
}

type counterKey struct {
	rowKey
	generation uint64
}

// Batch is the usage that one instance adds to the page of one hour in one write. Its sequence number increases with every batch of an origin, so that a retried write can be recognised and is not counted twice.
type Batch struct {
	Origin   Origin
	Sequence uint64
	Hour     time.Time
	Rows     []Row
	// From and Through are the start and end of the time span that the origin's batches of this hour cover.
	From    time.Time
	Through time.Time
	// Interval is the maximum time until the next batch.
	Interval time.Duration
	// Closed reports whether the origin has shut down and adds no more batches.
	Closed bool
}

// Origin identifies one run of an instance, from its start to its end.
type Origin struct {
	Instance string `json:"instance"`
	Boot     uint64 `json:"boot"`
}

type hourUsage struct {
	units map[rowKey]float64
	from  time.Time
}

// Recorder attributes the growth of cumulative counters to hours and returns it in batches. It is not safe for concurrent use.
type Recorder struct {
	origin       Origin
	lastValues   map[counterKey]float64
	hours        map[time.Time]*hourUsage
	lastObserved time.Time
	sequence     uint64
	unconfirmed  *Batch
}

// NewRecorder returns a recorder whose covered time span begins now.
func NewRecorder(now time.Time, origin Origin) *Recorder {
	r := &Recorder{
		origin:       origin,
		lastValues:   map[counterKey]float64{},
		hours:        map[time.Time]*hourUsage{},
		lastObserved: now,
	}
	r.usageOfHour(now, now)
	return r
}

// HourStart returns the start of the UTC hour that contains a time.
func HourStart(at time.Time) time.Time { return at.UTC().Truncate(time.Hour) }

// usageOfHour returns the usage of the hour that contains a time. If there is none yet, it creates one that covers the time since from.
func (r *Recorder) usageOfHour(at, from time.Time) *hourUsage {
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

// Observe attributes the growth of the counters since the last call to the hour of now. A counter that is not passed keeps its last value.
func (r *Recorder) Observe(now time.Time, counters []CumulativeUsage) {
	if HourStart(now).After(HourStart(r.lastObserved)) {
		r.usageOfHour(now, HourStart(now))
	}
	usage := r.usageOfHour(now, now)
	for _, counter := range counters {
		key := counterKey{
			rowKey: rowKey{
				pool:    counter.Pool,
				account: counter.Account,
			},
			generation: counter.PoolGeneration,
		}
		if growth := counter.Units - r.lastValues[key]; growth > 0 {
			usage.units[key.rowKey] += growth
			r.lastValues[key] = counter.Units
		}
	}
	r.lastObserved = now
}

// ForgetPool drops the counters of a pool that serves no requests any more.
func (r *Recorder) ForgetPool(generation uint64) {
	for key := range r.lastValues {
		if key.generation == generation {
			delete(r.lastValues, key)
		}
	}
}

// NextBatch returns the batch to store: the previous one as long as it is not confirmed, so that a retry stores the same batch, otherwise a new one of the oldest hour.
func (r *Recorder) NextBatch(interval time.Duration, shuttingDown bool) Batch {
	if r.unconfirmed != nil {
		return *r.unconfirmed
	}
	hour := r.oldestHour()
	usage := r.hours[hour]
	end := hour.Add(time.Hour)
	through := r.lastObserved
	if through.After(end) {
		through = end
	}
	r.sequence++
	r.unconfirmed = &Batch{
		Origin:   r.origin,
		Sequence: r.sequence,
		Hour:     hour,
		Rows:     rowsOf(usage.units),
		From:     usage.from,
		Through:  through,
		Interval: interval,
		Closed:   shuttingDown && !r.lastObserved.After(end),
	}
	delete(r.hours, hour)
	if HourStart(r.lastObserved).Equal(hour) {
		r.usageOfHour(hour, usage.from)
	}
	return *r.unconfirmed
}

func (r *Recorder) oldestHour() time.Time {
	var oldest time.Time
	for hour := range r.hours {
		if oldest.IsZero() || hour.Before(oldest) {
			oldest = hour
		}
	}
	return oldest
}

// ConfirmStored records that the last batch returned by NextBatch is in the store. It reports whether another batch is due at once, which is so if the stored batch belongs to an hour that has ended.
func (r *Recorder) ConfirmStored() bool {
	hourEnded := r.unconfirmed != nil && r.unconfirmed.Hour.Before(HourStart(r.lastObserved))
	r.unconfirmed = nil
	return hourEnded
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
