package hwforward

import (
	"context"
	"slices"
	"sync"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// backgroundTasks are tasks that outlive the call that starts them. Finished ones are removed when another one starts; join waits for the rest.
type backgroundTasks struct {
	lock  sync.Mutex
	tasks []<-chan error
}

// start runs a task, which must not return an error: what goes wrong is one of its results.
func (b *backgroundTasks) start(ctx context.Context, task func(context.Context) error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.tasks = slices.DeleteFunc(b.tasks, func(task <-chan error) bool {
		select {
		case err := <-task:
			return err == nil
		default:
			return false
		}
	})
	b.tasks = append(b.tasks, hwtask.Start(ctx, task))
}

// join waits for the running tasks.
func (b *backgroundTasks) join() error {
	b.lock.Lock()
	defer b.lock.Unlock()
	return hwtask.Join(b.tasks...)
}

// Close waits for the background tasks of the router.
func (r *Router) Close() error {
	close(r.closing)
	return trace.NewAggregate(r.crashChecks.join(), r.cacheLists.join())
}
