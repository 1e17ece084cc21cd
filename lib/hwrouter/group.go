package hwrouter

import (
	"context"
	"sync"

	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// maximumShortTasks bounds the goroutines of a group.
const maximumShortTasks = 64

// group runs short tasks and waits for their ends. A task beyond the bound waits for its turn, so tasks must not start others.
type group struct {
	ctx   context.Context //nolint:containedctx // A group lives exactly as long as its context.
	slots chan struct{}
	ends  sync.WaitGroup
}

func newGroup(ctx context.Context) *group {
	return &group{
		ctx:   ctx,
		slots: make(chan struct{}, maximumShortTasks),
	}
}

func (g *group) start(work func(context.Context)) {
	select {
	case g.slots <- struct{}{}:
	case <-g.ctx.Done():
		return
	}
	g.ends.Add(1)
	hwtask.Start(g.ctx, func(ctx context.Context) error {
		defer g.ends.Done()
		defer func() { <-g.slots }()
		work(ctx)
		return nil
	})
}

func (g *group) wait() { g.ends.Wait() }
