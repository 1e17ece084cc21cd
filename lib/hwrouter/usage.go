package hwrouter

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwtask"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwstore"
	"github.com/hickorywick/hickorywick/lib/hwusage"
)

const (
	// usageObserveInterval is how often usage is read. It bounds how much usage is counted in the hour after the one in which it occurred.
	usageObserveInterval = time.Second
	// usageMaxAttempts is how often storing a batch is tried immediately before it waits for the next interval. A conflict means that another instance has added its batch.
	usageMaxAttempts = 5
	// usageFlushTimeout is how long a stopping instance may take to store its last batch.
	usageFlushTimeout = 5 * time.Second
	// usageRetryDelay is the time between two such tries of a stopping instance.
	usageRetryDelay = 200 * time.Millisecond
)

// usageTracker records the accounts' use of this instance's pools until it is stored. It is safe for concurrent use.
type usageTracker struct {
	lock     sync.Mutex
	recorder *hwusage.Recorder
	// retired are the pools that were removed from the document, but still have requests in flight.
	retired []*pool
}

func newUsageTracker(now time.Time, settings Settings) *usageTracker {
	return &usageTracker{
		recorder: hwusage.NewRecorder(now, hwusage.Origin{
			Instance: settings.Instance,
			Boot:     settings.Boot,
		}),
	}
}

// observe records the current totals of the given pools and of the retired ones. It drops retired pools that have become idle.
func (u *usageTracker) observe(now time.Time, pools []*pool) {
	u.lock.Lock()
	defer u.lock.Unlock()
	// The totals of a pool that is idle before they are read are final.
	var drained []*pool
	for _, p := range u.retired {
		if p.idle() {
			drained = append(drained, p)
		}
	}
	var totals []hwusage.CumulativeUsage
	for _, p := range append(pools, u.retired...) {
		totals = append(totals, p.serviceTotals()...)
	}
	u.recorder.Observe(now, totals)
	for _, p := range drained {
		u.recorder.ForgetPool(p.generation)
	}
	u.retired = slices.DeleteFunc(u.retired, func(p *pool) bool { return slices.Contains(drained, p) })
}

func (u *usageTracker) retire(p *pool) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.retired = append(u.retired, p)
}

func (u *usageTracker) nextBatch(interval time.Duration, closing bool) hwusage.Batch {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.recorder.NextBatch(interval, closing)
}

func (u *usageTracker) confirmStored() bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.recorder.ConfirmStored()
}

// recordUsage periodically reads the usage and stores it by hour.
func (r *Router) recordUsage(ctx context.Context) error {
	ticker := time.NewTicker(usageObserveInterval)
	defer ticker.Stop()
	interval := r.usageInterval()
	// A random delay spreads the writes of instances that start at the same time over the interval.
	due := time.Now().Add(time.Duration(rand.Float64() * float64(interval)))
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			r.usage.observe(now, r.allPools())
			if now.Before(due) {
				continue
			}
			interval = r.usageInterval()
			due = now.Add(interval)
			r.flushUsage(ctx, interval, false)
		}
	}
}

func (r *Router) usageInterval() time.Duration { return hwusage.FlushInterval(len(r.AliveInstances())) }

// flushFinalUsage stores the remaining usage of a stopping instance.
func (r *Router) flushFinalUsage(ctx context.Context) {
	if r.store == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, usageFlushTimeout)
	defer cancel()
	r.usage.observe(time.Now(), r.allPools())
	for !r.flushUsage(ctx, r.usageInterval(), true) && ctx.Err() == nil {
		hwtask.Sleep(ctx, usageRetryDelay)
	}
}

// flushUsage stores batches up to that of the current hour, and reports whether all were stored. After a failure, the rest waits for the next interval.
func (r *Router) flushUsage(ctx context.Context, interval time.Duration, closing bool) bool {
	for {
		batch := r.usage.nextBatch(interval, closing)
		if err := r.storeUsage(ctx, batch); err != nil {
			r.metrics.usageStoreFailures.Add(1)
			r.logger.Emit(hwevent.UsageNotStored, hwevent.With("hour", batch.Hour.Format(time.RFC3339)), hwevent.With("error", err.Error()))
			return false
		}
		if !r.usage.confirmStored() {
			return true
		}
	}
}

// storeUsage adds a batch to its hour's page. After a lost response, the page shows whether it contains the batch, so that nothing is counted twice.
func (r *Router) storeUsage(ctx context.Context, batch hwusage.Batch) error {
	var lastErr error
	for range usageMaxAttempts {
		key := UsageKey(r.settings.Environment, batch.Hour)
		value, err := r.store.Get(ctx, key)
		if err != nil {
			return trace.Wrap(err)
		}
		page, err := hwusage.DecodePage(batch.Hour, value.Bytes)
		if err != nil {
			return trace.Wrap(err)
		}
		next, changed := page.WithBatch(batch)
		if !changed {
			return nil
		}
		_, err = r.store.Put(ctx, key, next.Encode(), value.Revision, hwstore.NoLease)
		if err == nil {
			return nil
		}
		lastErr = err
		if !canRetryWrite(err) {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(lastErr)
}

// canRetryWrite reports whether a write may succeed if it is retried immediately: after a conflict, and after a lost response, because the page is read again before the retry.
func canRetryWrite(err error) bool {
	var conflict *hwstore.ConflictError
	var ambiguous *hwstore.AmbiguousError
	return errors.As(err, &conflict) || errors.As(err, &ambiguous)
}

// UsageKey returns the store key of the page that holds an hour's usage.
func UsageKey(environment string, hour time.Time) string {
	return "/hickorywick/environments/" + environment + "/usage/" + hwusage.HourStart(hour).Format("2006-01-02T15")
}
