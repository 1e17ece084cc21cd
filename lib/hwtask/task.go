// Package hwtask starts goroutines that take a context and send their result on a channel, which their owner must read.
package hwtask

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// Start runs work in a new goroutine.
// The returned channel receives the result once and is then closed, so the owner may receive from it or range over it.
func Start(ctx context.Context, work func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func(ctx context.Context) {
		defer close(done)
		done <- work(ctx)
	}(ctx)
	return done
}

// Join waits for all tasks and returns their errors as an aggregate, or nil.
func Join(tasks ...<-chan error) error {
	errs := make([]error, 0, len(tasks))
	for _, task := range tasks {
		for err := range task {
			if err != nil {
				errs = append(errs, err)
			}
		}
	}
	return trace.NewAggregate(errs...)
}

// Sleep waits until the duration has elapsed or the context is done, whichever comes first.
func Sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
