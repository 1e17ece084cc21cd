package hwrouter

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A request recorded its outcome in a task that began while the stopping router already waited for all of them: a data race, and the outcome was lost.
func TestTasksMayBeginWhileTheGroupIsWaitedFor(t *testing.T) {
	for range 200 {
		group := newTaskGroup(context.Background())
		var started, ran atomic.Int32
		var callers sync.WaitGroup
		for range 4 {
			callers.Go(func() {
				if group.start(func(context.Context) { ran.Add(1) }) {
					started.Add(1)
				}
			})
		}
		group.wait()
		callers.Wait()
		group.close()
		assert.Equal(t, started.Load(), ran.Load(), "every task that has begun ends before close returns")
		assert.False(t, group.start(func(context.Context) { ran.Add(1) }), "the caller learns that nothing runs")
	}
}

// The end of an answer started a check of its upstream in a group of tasks that was full, and the caller waited for the end of its response until another check had ended.
func TestATaskThatMayBeLeftOutDoesNotWait(t *testing.T) {
	group := newTaskGroup(context.Background())
	release := make(chan struct{})
	for range maxConcurrentTasks {
		assert.True(t, group.tryStart(func(context.Context) { <-release }))
	}
	assert.False(t, group.tryStart(func(context.Context) {}))
	close(release)
	group.close()
}
