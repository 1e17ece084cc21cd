package hwfollow_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwfollow"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwtable"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

var start = time.Unix(1_700_000_000, 0)

func list(ids ...string) []hwplace.Upstream {
	var all []hwplace.Upstream
	for _, id := range ids {
		all = append(all, hwplace.Upstream{ID: id})
	}
	return all
}

func ids(all []hwplace.Upstream) []string {
	names := []string{}
	for _, u := range all {
		names = append(names, u.ID)
	}
	return names
}

func ExampleListReconciler() {
	lapsing := hwfollow.NewListReconciler(2 * time.Second)
	lapsing.Reconcile(start, list("a", "b"))
	lapsing.SourceFailed(start.Add(time.Second))
	back := start.Add(5 * time.Second)
	fmt.Println(len(lapsing.Reconcile(back, list("a"))), len(lapsing.Reconcile(back.Add(2*time.Second), list("a"))))
	// Output: 2 1
}

func TestAMissingEntryIsGoneAtOnceInSteadyState(t *testing.T) {
	lapsing := hwfollow.NewListReconciler(2 * time.Second)
	lapsing.Reconcile(start, list("a", "b"))
	assert.Equal(t, []string{"a"}, ids(lapsing.Reconcile(start.Add(time.Second), list("a"))))
}

func TestAnEntryThatLapsedInAnOutageStaysUntilItIsBackOrTheTimeIsOver(t *testing.T) {
	lapsing := hwfollow.NewListReconciler(2 * time.Second)
	lapsing.Reconcile(start, list("a", "b", "c"))
	lapsing.SourceFailed(start.Add(time.Second))
	now := start.Add(4 * time.Second)
	assert.ElementsMatch(t, []string{"a", "b", "c"}, ids(lapsing.Reconcile(now, list("a"))))
	now = now.Add(time.Second)
	assert.ElementsMatch(t, []string{"a", "b", "c"}, ids(lapsing.Reconcile(now, list("a", "b"))))
	now = now.Add(1500 * time.Millisecond)
	assert.ElementsMatch(t, []string{"a", "b"}, ids(lapsing.Reconcile(now, list("a", "b"))))
}

// An entry that was listed since the outage and is missing again has left, also while others are still awaited.
func TestAnEntryThatLeavesJustAfterAnOutageIsGoneAtOnce(t *testing.T) {
	lapsing := hwfollow.NewListReconciler(2 * time.Second)
	lapsing.Reconcile(start, list("a", "b", "c"))
	lapsing.SourceFailed(start.Add(time.Second))
	now := start.Add(4 * time.Second)
	assert.ElementsMatch(t, []string{"a", "b", "c"}, ids(lapsing.Reconcile(now, list("a", "b"))))
	assert.ElementsMatch(t, []string{"b", "c"}, ids(lapsing.Reconcile(now.Add(time.Second), list("b"))))
	assert.Equal(t, []string{"b"}, ids(lapsing.Reconcile(now.Add(2*time.Second), list("b"))))
}

// source answers as tests say.
type source struct {
	lock     sync.Mutex
	revision int64
	failing  atomic.Bool
	asked    atomic.Int64
	before   func()
}

type lostError struct{}

func (lostError) Error() string { return "lost" }

func (s *source) Table(ctx context.Context, known int64) (hwfollow.TableResult, error) {
	s.asked.Add(1)
	if s.failing.Load() {
		return hwfollow.TableResult{}, lostError{}
	}
	if s.before != nil {
		s.before()
	}
	if err := ctx.Err(); err != nil {
		return hwfollow.TableResult{}, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.revision <= known {
		return hwfollow.TableResult{Revision: s.revision}, nil
	}
	return hwfollow.TableResult{
		Table:    hwtable.New(hwtable.Config{Version: uint64(s.revision)}),
		Revision: s.revision,
	}, nil
}

func (s *source) Ping(context.Context) error {
	if s.failing.Load() {
		return lostError{}
	}
	return nil
}

func (s *source) Decode(encoded []byte, revision int64) (*hwtable.Table, error) {
	if string(encoded) != "the table" {
		return nil, lostError{}
	}
	return hwtable.New(hwtable.Config{Version: uint64(revision)}), nil
}

func (s *source) Upstreams(context.Context) (hwfollow.ListResult, error) {
	if s.failing.Load() {
		return hwfollow.ListResult{}, lostError{}
	}
	return hwfollow.ListResult{Upstreams: list("a")}, nil
}

// recorder notes what it is told.
type recorder struct {
	lock      sync.Mutex
	versions  []uint64
	confirmed time.Duration
	upstreams int
	cutOff    bool
}

func (s *recorder) SetCutOff(cutOff bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cutOff = cutOff
}

// others are the other routers as a follower hears of them.
type others struct {
	reaching int
	cutOff   int
	// reaches is what the follower last told them.
	reaches atomic.Bool
}

func (o *others) SetStoreReachable(reaches bool) { o.reaches.Store(reaches) }

func (o *others) PeerReachability(time.Time) (reaching, cutOff int) { return o.reaching, o.cutOff }

// Pattern: the store turns a part of the routers away. Each of them learns that it is the router that is cut off, and is so until the store answers it again. When the store is away for most, none is.
func TestARouterKnowsThatItAloneIsCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		others *others
		cutOff bool
	}{
		"most reach the store": {others: &others{reaching: 50, cutOff: 27}, cutOff: true},
		"few reach the store":  {others: &others{reaching: 27, cutOff: 50}},
		"a router alone":       {others: &others{}},
	} {
		t.Run(name, func(t *testing.T) {
			source, sink := &source{revision: 1}, &recorder{}
			runAmong(t, source, sink, c.others, func() time.Duration { return time.Hour })
			require.Eventually(t, c.others.reaches.Load, 5*time.Second, time.Millisecond)
			source.failing.Store(true)
			require.Eventually(t, func() bool { return !c.others.reaches.Load() }, 5*time.Second, time.Millisecond)
			require.Eventually(t, sink.see(func(s *recorder) bool { return s.cutOff == c.cutOff }), 5*time.Second, time.Millisecond)
			source.failing.Store(false)
			require.Eventually(t, func() bool { return c.others.reaches.Load() && sink.see(func(s *recorder) bool { return !s.cutOff })() }, 5*time.Second, time.Millisecond)
		})
	}
}

func (s *recorder) SetTable(_ time.Time, t *hwtable.Table) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.versions = append(s.versions, t.Version())
	return true
}

func (s *recorder) ConfirmTable(_ time.Time, boot time.Duration) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.confirmed = boot
}

func (s *recorder) SetUpstreams(_ time.Time, all []hwplace.Upstream) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.upstreams = len(all)
}

func (s *recorder) see(look func(*recorder) bool) func() bool {
	return func() bool {
		s.lock.Lock()
		defer s.lock.Unlock()
		return look(s)
	}
}

// A router that was cut off keeps what is missing from its list for a moment. It does not tell others to do the same, since for them it has left.
func TestAListThatIsBeingCompletedIsNotPassedOn(t *testing.T) {
	source, sink := &source{revision: 1}, &recorder{}
	f := run(t, source, sink, func() time.Duration { return time.Hour })
	fresh := func() bool {
		state, known := f.Snapshot()
		return known && state.ListAge < time.Minute
	}
	require.Eventually(t, fresh, 5*time.Second, time.Millisecond)
	source.failing.Store(true)
	asked := source.asked.Load()
	require.Eventually(t, func() bool { return source.asked.Load() > asked+3 }, 5*time.Second, time.Millisecond)
	source.failing.Store(false)
	require.Eventually(t, func() bool { return !fresh() }, 5*time.Second, time.Millisecond)
	require.Eventually(t, fresh, 5*time.Second, time.Millisecond, "after the time for lapsed entries")
}

func run(t *testing.T, source *source, sink *recorder, boot func() time.Duration) *hwfollow.Poller {
	t.Helper()
	return runAmong(t, source, sink, &others{}, boot)
}

func runAmong(t *testing.T, source *source, sink *recorder, fleet *others, boot func() time.Duration) *hwfollow.Poller {
	t.Helper()
	f := hwfollow.New(hwfollow.Settings{
		TableInterval:     5 * time.Millisecond,
		ListInterval:      5 * time.Millisecond,
		PingInterval:      5 * time.Millisecond,
		PingValidity:      50 * time.Millisecond,
		RetryInterval:     5 * time.Millisecond,
		Timeout:           time.Second,
		MissingEntryGrace: time.Second,
	}, source, sink, fleet, hwevent.New(io.Discard, hwevent.Info), hwfollow.Clock{
		Now:      time.Now,
		BootTime: boot,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := hwtask.Start(ctx, f.Run)
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, hwtask.Join(done))
	})
	return f
}

func TestANewVersionIsTakenOnceAndConfirmedAgainAndAgain(t *testing.T) {
	source, sink := &source{revision: 3}, &recorder{}
	var boot atomic.Int64
	run(t, source, sink, func() time.Duration { return time.Duration(boot.Add(1)) })
	require.Eventually(t, sink.see(func(s *recorder) bool { return s.confirmed > 20 && s.upstreams == 1 }), 5*time.Second, time.Millisecond)
	source.lock.Lock()
	source.revision = 9
	source.lock.Unlock()
	require.Eventually(t, sink.see(func(s *recorder) bool { return len(s.versions) == 2 }), 5*time.Second, time.Millisecond)
	assert.Equal(t, []uint64{3, 9}, sink.versions)
}

// What an answer says was true after the question, so it is confirmed as of the question: a freeze between the two makes it older, not newer.
func TestConfirmationIsAsOldAsTheQuestion(t *testing.T) {
	sink := &recorder{}
	var boot atomic.Int64
	boot.Store(int64(time.Hour))
	source := &source{
		revision: 1,
		before:   func() { boot.Add(int64(10 * time.Second)) },
	}
	run(t, source, sink, func() time.Duration { return time.Duration(boot.Load()) })
	require.Eventually(t, sink.see(func(s *recorder) bool {
		return s.confirmed > 0 && s.confirmed <= time.Duration(boot.Load())-10*time.Second
	}), 5*time.Second, time.Microsecond)
}

// Pattern: the store is slow. A question may take longer than the time between two of them, and its answer counts.
func TestASlowAnswerCounts(t *testing.T) {
	source, sink := &source{revision: 1}, &recorder{}
	source.before = func() { time.Sleep(100 * time.Millisecond) }
	run(t, source, sink, func() time.Duration { return time.Hour })
	require.Eventually(t, sink.see(func(s *recorder) bool { return s.confirmed > 0 && len(s.versions) == 1 }), 5*time.Second, time.Millisecond, "questions are 5 ms apart")
}

func TestNothingIsConfirmedWhileTheSourceIsAway(t *testing.T) {
	source, sink := &source{revision: 1}, &recorder{}
	source.failing.Store(true)
	run(t, source, sink, func() time.Duration { return time.Hour })
	require.Eventually(t, func() bool { return source.asked.Load() > 5 }, 5*time.Second, time.Millisecond)
	assert.True(t, sink.see(func(s *recorder) bool { return s.confirmed == 0 && len(s.versions) == 0 })())
	source.failing.Store(false)
	require.Eventually(t, sink.see(func(s *recorder) bool { return s.confirmed > 0 }), 5*time.Second, time.Millisecond)
}
