// Package hwtask starts goroutines that take a context and report their end on a channel which their owner reads.
package hwtask

import (
	"context"
	"time"

	"github.com/gravitational/trace"
)

// Start runs work in a goroutine.
// The channel receives the result once and is then closed, so an owner may read it or range over it.
func Start(ctx context.Context, work func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	go func(ctx context.Context) {
		defer close(done)
		done <- work(ctx)
	}(ctx)
	return done
}

// Join waits for every task and returns their errors as one, or nil.
func Join(tasks ...<-chan error) error {
	failures := make([]error, 0, len(tasks))
	for _, task := range tasks {
		for err := range task {
			if err != nil {
				failures = append(failures, err)
			}
		}
	}
	return trace.NewAggregate(failures...)
}

// Sleep waits for a span of time or for the context's end, whichever comes first.
func Sleep(ctx context.Context, span time.Duration) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
