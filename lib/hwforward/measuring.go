package hwforward

import (
	"context"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwload"
)

// MeasureLoad measures the scheduling delay until the context ends: how late a periodic wake-up runs, including the time that it waits behind the goroutines that are ready to run. A timer's goroutine would run before them, so it yields to them first.
func (r *Router) MeasureLoad(ctx context.Context) error {
	timer := time.NewTimer(hwload.SampleInterval)
	defer timer.Stop()
	due := r.clock.Now().Add(hwload.SampleInterval)
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		runtime.Gosched()
		now := r.clock.Now()
		r.RecordSchedulingDelay(now, now.Sub(due))
		due = r.clock.Now().Add(hwload.SampleInterval)
		timer.Reset(hwload.SampleInterval)
	}
}

// MeasureMemory measures the memory of the process, in bytes, until the context ends. While it is short, garbage is collected from time to time and memory returned to the system.
func (r *Router) MeasureMemory(ctx context.Context, used func() int64) error {
	ticker := time.NewTicker(hwload.SampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		now := r.clock.Now()
		r.RecordMemory(now, used())
		if r.shedding.memory.TakeReclaim(now) {
			debug.FreeOSMemory()
		}
	}
}

// RecordMemory records the memory that the process takes, in bytes, and decides whether requests are refused for it. Only one goroutine may call it.
func (r *Router) RecordMemory(now time.Time, used int64) {
	s := r.shedding
	s.memoryBytes.Store(used)
	full := s.memory.Record(now, used)
	if s.memoryFull.Swap(full) == full {
		return
	}
	event := hwevent.MemoryFree
	if full {
		event = hwevent.MemoryFull
	}
	r.logger.Emit(event, hwevent.With("bytes", used), hwevent.With("limit", r.settings.MemoryLimit), hwevent.With("in-flight", r.InFlight()), hwevent.With("shed", s.shedTotal.Load()))
}

// MemoryFull reports whether the process has no memory for more requests.
func (r *Router) MemoryFull() bool { return r.shedding.memoryFull.Load() }
