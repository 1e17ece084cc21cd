package hwrouter

import (
	"context"
	"sync"

	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// activity counts what is in progress. Unlike a sync.WaitGroup, it may be waited for while more begins.
type activity struct {
	lock   sync.Mutex
	idle   *sync.Cond
	count  int
	closed bool
}

func newActivity() *activity {
	a := &activity{}
	a.idle = sync.NewCond(&a.lock)
	return a
}

// begin counts one more, and returns false if the activity is closed.
func (a *activity) begin() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.closed {
		return false
	}
	a.count++
	return true
}

func (a *activity) end() {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.count--; a.count == 0 {
		a.idle.Broadcast()
	}
}

// wait waits until nothing is in progress.
func (a *activity) wait() {
	a.lock.Lock()
	defer a.lock.Unlock()
	for a.count > 0 {
		a.idle.Wait()
	}
}

// close lets nothing more begin, and waits for the rest.
func (a *activity) close() {
	a.lock.Lock()
	a.closed = true
	a.lock.Unlock()
	a.wait()
}

// maxConcurrentTasks is the largest number of goroutines that a taskGroup runs at once.
const maxConcurrentTasks = 64

// taskGroup runs short tasks concurrently, at most maxConcurrentTasks at once, and can wait for them to finish. Because start blocks while the group is full, a task must not start another one in the same group.
type taskGroup struct {
	*activity
	ctx   context.Context //nolint:containedctx // A group lives exactly as long as its context.
	slots chan struct{}
}

func newTaskGroup(ctx context.Context) *taskGroup {
	return &taskGroup{
		activity: newActivity(),
		ctx:      ctx,
		slots:    make(chan struct{}, maxConcurrentTasks),
	}
}

// start runs a task, and returns false if the group has ended.
func (g *taskGroup) start(work func(context.Context)) bool {
	select {
	case g.slots <- struct{}{}:
	case <-g.ctx.Done():
		return false
	}
	return g.run(work)
}

// tryStart is start for a task that may be left out: it returns false if the group is full.
func (g *taskGroup) tryStart(work func(context.Context)) bool {
	select {
	case g.slots <- struct{}{}:
		return g.run(work)
	default:
		return false
	}
}

// run runs a task for which a slot was taken.
func (g *taskGroup) run(work func(context.Context)) bool {
	if !g.begin() {
		<-g.slots
		return false
	}
	hwtask.Start(g.ctx, func(ctx context.Context) error {
		defer g.end()
		defer func() { <-g.slots }()
		work(ctx)
		return nil
	})
	return true
}
