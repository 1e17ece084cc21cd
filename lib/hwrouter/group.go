package hwrouter

import (
	"context"
	"sync"

	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// maxConcurrentTasks is the largest number of goroutines that a taskGroup runs at once.
const maxConcurrentTasks = 64

// taskGroup runs short tasks concurrently, at most maxConcurrentTasks at once, and can wait for them to finish. Because start blocks while the group is full, a task must not start another one in the same group.
type taskGroup struct {
	ctx     context.Context //nolint:containedctx // A group lives exactly as long as its context.
	slots   chan struct{}
	running sync.WaitGroup
}

func newTaskGroup(ctx context.Context) *taskGroup {
	return &taskGroup{
		ctx:   ctx,
		slots: make(chan struct{}, maxConcurrentTasks),
	}
}

func (g *taskGroup) start(work func(context.Context)) {
	select {
	case g.slots <- struct{}{}:
	case <-g.ctx.Done():
		return
	}
	g.running.Add(1)
	hwtask.Start(g.ctx, func(ctx context.Context) error {
		defer g.running.Done()
		defer func() { <-g.slots }()
		work(ctx)
		return nil
	})
}

func (g *taskGroup) wait() { g.running.Wait() }
