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
	// usageObserveEvery bounds how much usage is counted in the hour after its own.
	usageObserveEvery = time.Second
	// usageAttempts is how often a batch is tried at once before it waits for the next interval. A conflict means that another instance added its own.
	usageAttempts = 5
	// usageTimeout bounds the last batch of an instance that stops.
	usageTimeout = 5 * time.Second
	// usagePause is the time between two tries of an instance that stops.
	usagePause = 200 * time.Millisecond
)

// usage is the shared table of what accounts used of this instance's pools and is not in the store yet.
type usage struct {
	lock     sync.Mutex
	recorder *hwusage.Recorder
	// retired are the pools that left the document and still end what they run.
	retired []*pool
}

func newUsage(now time.Time, settings Settings) *usage {
	return &usage{
		recorder: hwusage.NewRecorder(now, hwusage.Origin{
			Instance: settings.Instance,
			Boot:     settings.Boot,
		}),
	}
}

// observe takes the present totals of the pools in force and of those that end.
func (u *usage) observe(now time.Time, pools []*pool) {
	u.lock.Lock()
	defer u.lock.Unlock()
	// What is idle before its totals are read has been read to its end.
	var ended []*pool
	for _, p := range u.retired {
		if p.idle() {
			ended = append(ended, p)
		}
	}
	var totals []hwusage.CumulativeUsage
	for _, p := range append(pools, u.retired...) {
		totals = append(totals, p.totals()...)
	}
	u.recorder.Observe(now, totals)
	for _, p := range ended {
		u.recorder.ForgetPool(p.life)
	}
	u.retired = slices.DeleteFunc(u.retired, func(p *pool) bool { return slices.Contains(ended, p) })
}

func (u *usage) retire(p *pool) {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.retired = append(u.retired, p)
}

func (u *usage) next(interval time.Duration, closing bool) hwusage.Batch {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.recorder.NextBatch(interval, closing)
}

func (u *usage) stored() bool {
	u.lock.Lock()
	defer u.lock.Unlock()
	return u.recorder.ConfirmStored()
}

// recordUsage keeps the usage by hour and brings it to the store.
func (r *Router) recordUsage(ctx context.Context) error {
	ticker := time.NewTicker(usageObserveEvery)
	defer ticker.Stop()
	interval := r.usageInterval()
	// The instances of a fleet that starts at once spread over the interval.
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

// closeUsage brings the last usage of a stopping instance to the store.
func (r *Router) closeUsage(ctx context.Context) {
	if r.store == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	r.usage.observe(time.Now(), r.allPools())
	for !r.flushUsage(ctx, r.usageInterval(), true) && ctx.Err() == nil {
		hwtask.Sleep(ctx, usagePause)
	}
}

// flushUsage stores batches until the present hour's is stored, and reports whether it is. What cannot be stored waits for the next interval.
func (r *Router) flushUsage(ctx context.Context, interval time.Duration, closing bool) bool {
	for {
		batch := r.usage.next(interval, closing)
		if err := r.storeUsage(ctx, batch); err != nil {
			r.metrics.usageFailures.Add(1)
			r.logger.Emit(hwevent.UsageNotStored, hwevent.With("hour", batch.Hour.Format(time.RFC3339)), hwevent.With("error", err.Error()))
			return false
		}
		if !r.usage.stored() {
			return true
		}
	}
}

// storeUsage adds a batch to its hour's page. A lost answer does no harm: the page tells whether it holds the batch.
func (r *Router) storeUsage(ctx context.Context, batch hwusage.Batch) error {
	var last error
	for range usageAttempts {
		key := UsageKey(r.settings.Environment, batch.Hour)
		value, err := r.store.Get(ctx, key)
		if err != nil {
			return trace.Wrap(err)
		}
		page, err := hwusage.DecodePage(batch.Hour, value.Bytes)
		if err != nil {
			return trace.Wrap(err)
		}
		next, fresh := page.WithBatch(batch)
		if !fresh {
			return nil
		}
		_, err = r.store.Put(ctx, key, next.Encode(), value.Revision, hwstore.NoLease)
		if err == nil {
			return nil
		}
		last = err
		if !againAfter(err) {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(last)
}

// againAfter reports whether a write may succeed when it is tried again at once: after a conflict, and after a lost answer, which reading the page settles.
func againAfter(err error) bool {
	var conflict *hwstore.ConflictError
	var ambiguous *hwstore.AmbiguousError
	return errors.As(err, &conflict) || errors.As(err, &ambiguous)
}

// UsageKey is the key of the page of an hour's usage.
func UsageKey(environment string, hour time.Time) string {
	return "/hickorywick/environments/" + environment + "/usage/" + hwusage.HourStart(hour).Format("2006-01-02T15")
}
