package hwforward

import (
	"context"
	"runtime"
	"time"

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
