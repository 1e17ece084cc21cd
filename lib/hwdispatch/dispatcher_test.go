package hwdispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwerror"
)

var start = time.Unix(1_700_000_000, 0)

func newPool(upstreams, slots int) hwdocument.Pool {
	p := hwdocument.Pool{
		Name:            "models",
		Kind:            hwdocument.KindEngine,
		Slots:           slots,
		GeneratedWeight: 1,
		LargestCost:     1000,
	}
	for u := range upstreams {
		p.Upstreams = append(p.Upstreams, hwdocument.Upstream{
			Address: fmt.Sprintf("10.0.0.%d:80", u+1),
			Zone:    "zone-a",
		})
	}
	return p
}

func newAccounts(shares ...float64) []hwdocument.Account {
	var list []hwdocument.Account
	for i, share := range shares {
		list = append(list, hwdocument.Account{
			Name:       fmt.Sprintf("account-%d", i),
			Share:      share,
			QueueBound: 1000,
		})
	}
	return list
}

func newDispatcher(p hwdocument.Pool, accountList []hwdocument.Account) *hwdispatch.Dispatcher {
	return hwdispatch.New(hwdispatch.Settings{
		Instance:          "router-1",
		Boot:              1,
		Zone:              "zone-a",
		Lease:             time.Second,
		StaticPartition:   true,
		StarvationTimeout: 2 * time.Second,
		Lanes:             hwdispatch.SplitLanes,
		MaxCatchUp:        1e6,
		InitialEstimate:   10,
	}, p, accountList, []string{"router-1"}, rand.NewPCG(1, 2))
}

func newRequest(id, account string) hwdispatch.Request {
	return hwdispatch.Request{
		ID:       id,
		Account:  account,
		Deadline: start.Add(time.Hour),
	}
}

// TestServiceIsProportionalToShares finishes requests in the order in which they started; TestServiceIsProportionalToSharesForAnyCompletionOrder covers other orders.
func TestServiceIsProportionalToShares(t *testing.T) {
	served := serveBacklog(300, func(int) int { return 0 })
	assert.InDelta(t, 3, float64(served["account-0"])/float64(served["account-1"]), 0.2)
}

// TestServiceIsProportionalToSharesForAnyCompletionOrder bounds the deviation from the shares for every order in which requests finish. The bound is the sum of the requests that are started and not yet charged, at most one per slot, one request because the choice between accounts is in whole requests, and the requests that finish while the cached pending cost is reused.
func TestServiceIsProportionalToSharesForAnyCompletionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		served := serveBacklog(300, func(running int) int { return rapid.IntRange(0, running-1).Draw(t, "ends") })
		assert.InDelta(t, float64(served["account-0"])/3, served["account-1"], backlogSlots+1+endsPerPendingRefresh)
	})
}

// endsPerPendingRefresh is how many requests finish, one every 10 ms, in the 20 ms for which the dispatcher caches the pending cost.
const endsPerPendingRefresh = 2

// backlogSlots is how many requests run concurrently in serveBacklog.
const backlogSlots = 6

// serveBacklog keeps two accounts with shares of 3 and 1 backlogged until the given number of requests has finished, and returns how many of each account did. pickNext chooses which running request finishes next, as an index in the order of starts.
func serveBacklog(requests int, pickNext func(running int) int) map[string]int {
	d := newDispatcher(newPool(2, backlogSlots/2), newAccounts(3, 1))
	now := start
	var running []string
	served := map[string]int{}
	accountByID := map[string]string{}
	collectStarts := func(e hwdispatch.Effects) {
		for _, s := range e.Starts {
			running = append(running, s.ID)
		}
	}
	for i := range 400 {
		for _, account := range []string{"account-0", "account-1"} {
			id := fmt.Sprint(account, "/", i)
			accountByID[id] = account
			collectStarts(d.Enqueue(now, newRequest(id, account)))
		}
	}
	for range requests {
		now = now.Add(10 * time.Millisecond)
		index := pickNext(len(running))
		id := running[index]
		running = slices.Delete(running, index, index+1)
		served[accountByID[id]]++
		collectStarts(d.Finish(now, id, hwdispatch.AttemptResult{
			Cost: 10,
		}))
	}
	return served
}

func TestFullQueueAndExpiredDeadlineAreRejected(t *testing.T) {
	list := newAccounts(1)
	list[0].QueueBound = 1
	d := newDispatcher(newPool(1, 1), list)
	assert.Len(t, d.Enqueue(start, newRequest("runs", "account-0")).Starts, 1)
	assert.Empty(t, d.Enqueue(start, newRequest("waits", "account-0")).Rejections)
	full := d.Enqueue(start, newRequest("too many", "account-0"))
	require.Len(t, full.Rejections, 1)
	assert.Equal(t, hwerror.KindQueueFull, full.Rejections[0].Kind)
	effects, _ := d.Tick(start.Add(2 * time.Hour))
	require.Len(t, effects.Rejections, 1)
	assert.Equal(t, "waits", effects.Rejections[0].ID)
	assert.Equal(t, hwerror.KindDeadlineCannotBeMet, effects.Rejections[0].Kind)
}

// TestRequestIsRejectedWhenExpectedWaitExceedsDeadline guards against queueing a request that cannot start before its deadline at the current rate of starts.
func TestRequestIsRejectedWhenExpectedWaitExceedsDeadline(t *testing.T) {
	d := newDispatcher(newPool(1, 1), newAccounts(1))
	now := start
	for i := range 40 {
		d.Enqueue(now, newRequest(fmt.Sprint(i), "account-0"))
	}
	for i := range 10 {
		now = now.Add(100 * time.Millisecond)
		d.Finish(now, fmt.Sprint(i), hwdispatch.AttemptResult{
			Cost: 10,
		})
	}
	tooLate := newRequest("too late", "account-0")
	tooLate.Deadline = now.Add(time.Second)
	rejections := d.Enqueue(now, tooLate).Rejections
	require.Len(t, rejections, 1, "29 requests wait and 10 start per second")
	assert.Equal(t, hwerror.KindDeadlineCannotBeMet, rejections[0].Kind)
	inTime := newRequest("in time", "account-0")
	inTime.Deadline = now.Add(time.Minute)
	assert.Empty(t, d.Enqueue(now, inTime).Rejections)
}

func TestUnreachableUpstreamIsSkippedThenProbedAfterBackoff(t *testing.T) {
	d := newDispatcher(newPool(2, 4), newAccounts(1))
	first := d.Enqueue(start, newRequest("first", "account-0")).Starts[0]
	d.Finish(start, "first", hwdispatch.AttemptResult{
		Failed:        true,
		ConnectFailed: true,
	})
	for i := range 4 {
		id := fmt.Sprint("next-", i)
		assert.NotEqual(t, first.Upstream, d.Enqueue(start, newRequest(id, "account-0")).Starts[0].Upstream)
	}
	assert.Empty(t, d.Enqueue(start, newRequest("waits", "account-0")).Starts, "all slots of the reachable upstream are in use")
	later := start.Add(time.Second)
	effects, _ := d.Tick(later)
	require.Len(t, effects.Starts, 1)
	assert.Equal(t, first.Upstream, effects.Starts[0].Upstream, "a request probes the unreachable upstream after the backoff")
}

// An engine refused with Retry-After and got further requests all the same, also when the whole pool had done so.
func TestPausedUpstreamsGetNoRequestsUntilTheEnd(t *testing.T) {
	d := newDispatcher(newPool(2, 4), newAccounts(1))
	startedAt := func(now time.Time, id string) string {
		if starts := d.Enqueue(now, newRequest(id, "account-0")).Starts; len(starts) > 0 {
			return starts[0].Upstream
		}
		return ""
	}
	first := startedAt(start, "1")
	require.NotEmpty(t, first)
	d.Finish(start, "1", hwdispatch.AttemptResult{Pause: 10 * time.Second})
	second := startedAt(start, "2")
	assert.NotEqual(t, first, second)
	d.Finish(start, "2", hwdispatch.AttemptResult{Pause: 5 * time.Second})
	assert.Empty(t, startedAt(start.Add(time.Second), "3"), "both pause")
	effects, _ := d.Tick(start.Add(6 * time.Second))
	require.Len(t, effects.Starts, 1)
	assert.Equal(t, second, effects.Starts[0].Upstream, "the one whose pause has ended")
}

func TestRequestThatTriedAllUpstreamsMayStartAgain(t *testing.T) {
	d := newDispatcher(newPool(1, 1), newAccounts(1))
	again := newRequest("again", "account-0")
	again.Requeued = true
	again.Excluded = []string{"10.0.0.1:80"}
	assert.Len(t, d.Enqueue(start, again).Starts, 1)
}

func TestShortRequestStartsBeforeLongRequestOfSameAccount(t *testing.T) {
	d := newDispatcher(newPool(1, 2), newAccounts(1))
	now := start
	finish := func(id string, hint, cost float64) {
		r := newRequest(id, "account-0")
		r.CostHint = hint
		d.Enqueue(now, r)
		d.Finish(now, id, hwdispatch.AttemptResult{
			Cost: cost,
		})
	}
	for i := range 30 {
		finish(fmt.Sprint("short-", i), 30, 20)
		finish(fmt.Sprint("long-", i), 1500, 900)
	}
	for _, id := range []string{"busy-1", "busy-2"} {
		r := newRequest(id, "account-0")
		r.CostHint = 30
		require.Len(t, d.Enqueue(now, r).Starts, 1)
	}
	for _, id := range []string{"long", "short"} {
		r := newRequest(id, "account-0")
		r.CostHint = map[string]float64{"long": 1500, "short": 30}[id]
		require.Empty(t, d.Enqueue(now, r).Starts)
	}
	starts := d.Finish(now, "busy-1", hwdispatch.AttemptResult{
		Cost: 20,
	}).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, "short", starts[0].ID)
}

// TestEachRequestIsStartedRejectedOrCancelledOnce enqueues, cancels and finishes requests and advances the time in any order. Each request must be started, rejected or cancelled exactly once, and no upstream may run more requests than it has slots.
func TestEachRequestIsStartedRejectedOrCancelledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		d := newDispatcher(newPool(2, slots), newAccounts(2, 1))
		now := start
		waiting, running := map[string]string{}, map[string]string{}
		inUse := map[string]int{}
		apply := func(e hwdispatch.Effects) {
			for _, s := range e.Starts {
				if _, found := waiting[s.ID]; !found {
					t.Fatalf("%s was started but was not waiting", s.ID)
				}
				delete(waiting, s.ID)
				running[s.ID] = s.Upstream
				inUse[s.Upstream]++
				if inUse[s.Upstream] > slots {
					t.Fatalf("%s runs %d requests, more than its slots", s.Upstream, inUse[s.Upstream])
				}
			}
			for _, r := range e.Rejections {
				if _, found := waiting[r.ID]; !found {
					t.Fatalf("%s was rejected but was not waiting", r.ID)
				}
				delete(waiting, r.ID)
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r := newRequest(fmt.Sprint(i), fmt.Sprint("account-", rapid.IntRange(0, 1).Draw(t, "account")))
				r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "deadline")) * time.Second)
				waiting[r.ID] = r.Account
				apply(d.Enqueue(now, r))
			case 2:
				for id, upstream := range running {
					delete(running, id)
					inUse[upstream]--
					apply(d.Finish(now, id, hwdispatch.AttemptResult{
						Cost:   5,
						Failed: rapid.Bool().Draw(t, "failed"),
					}))
					break
				}
			case 3:
				effects, _ := d.Tick(now)
				apply(effects)
			case 4:
				for id, account := range waiting {
					if d.Cancel(now, account, id) {
						delete(waiting, id)
					}
					break
				}
			}
		}
		for id, upstream := range running {
			inUse[upstream]--
			apply(d.Finish(now, id, hwdispatch.AttemptResult{
				Cost: 5,
			}))
		}
		effects, _ := d.Tick(now.Add(time.Hour))
		apply(effects)
		assert.Empty(t, waiting)
	})
}

func BenchmarkSlopeDispatchByAccounts(b *testing.B) {
	for _, count := range []int{16, 60, 120, 240} {
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			shares := make([]float64, count)
			for i := range shares {
				shares[i] = 1
			}
			benchmarkDispatch(b, newDispatcher(newPool(32, 36), newAccounts(shares...)), count)
		})
	}
}

func BenchmarkSlopeDispatchByUpstreams(b *testing.B) {
	for _, upstreams := range []int{9, 32, 100, 219} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			benchmarkDispatch(b, newDispatcher(newPool(upstreams, 1136/upstreams+1), newAccounts(1, 1, 1, 1)), 4)
		})
	}
}

// benchmarkDispatch enqueues and finishes one request per iteration while about a thousand run, using a tenth of the accounts.
func benchmarkDispatch(b *testing.B, d *hwdispatch.Dispatcher, count int) {
	b.ReportAllocs()
	var running []string
	collectStarts := func(e hwdispatch.Effects) {
		for _, s := range e.Starts {
			running = append(running, s.ID)
		}
	}
	for i := range 1200 {
		collectStarts(d.Enqueue(start, newRequest(fmt.Sprint("warm-", i), fmt.Sprint("account-", i%max(1, count/10)))))
	}
	now := start
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(10 * time.Millisecond)
		collectStarts(d.Enqueue(now, newRequest(fmt.Sprint(i), fmt.Sprint("account-", i%max(1, count/10)))))
		collectStarts(d.Finish(now, running[0], hwdispatch.AttemptResult{
			Cost: 240,
		}))
		running = running[1:]
	}
}

func BenchmarkSlopeDispatchProgress(b *testing.B) {
	for _, streams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			d := newDispatcher(newPool(32, 64), newAccounts(1, 1, 1, 1))
			for i := range streams {
				d.Enqueue(start, newRequest(fmt.Sprint(i), fmt.Sprint("account-", i%4)))
			}
			b.ReportAllocs()
			for i := range b.N {
				d.ChargeProgress(start.Add(time.Duration(i)*time.Microsecond), fmt.Sprint(i%streams), float64(i/streams+1))
			}
		})
	}
}

// TestStartsOfLongRequestsAreRateLimited guards against a burst of long requests that fills an idle pool at once, before the broker has received the reports of other routers. The burst must fill the pool over several ticks instead.
func TestStartsOfLongRequestsAreRateLimited(t *testing.T) {
	d := newDispatcher(newPool(4, 25), newAccounts(1))
	now := start
	for i := range 60 {
		now = now.Add(200 * time.Millisecond)
		short, long := fmt.Sprint("short-", i), fmt.Sprint("long-", i)
		shortRequest := newRequest(short, "account-0")
		shortRequest.CostHint = 20
		d.Enqueue(now, shortRequest)
		d.Finish(now, short, hwdispatch.AttemptResult{Cost: 10})
		if i < 10 {
			longRequest := newRequest(long, "account-0")
			longRequest.CostHint = 1200
			d.Enqueue(now, longRequest)
			d.Finish(now, long, hwdispatch.AttemptResult{Cost: 600})
		}
	}
	started := 0
	for i := range 200 {
		longRequest := newRequest(fmt.Sprint("burst-", i), "account-0")
		longRequest.CostHint = 1200
		started += len(d.Enqueue(now, longRequest).Starts)
	}
	assert.LessOrEqual(t, started, 4, "the burst exceeds the token bucket")
	for range 10 {
		now = now.Add(20 * time.Millisecond)
		effects, _ := d.Tick(now)
		started += len(effects.Starts)
	}
	assert.InDelta(t, 4+0.2*40, started, 1)
	for range 150 {
		now = now.Add(20 * time.Millisecond)
		effects, _ := d.Tick(now)
		started += len(effects.Starts)
	}
	assert.Equal(t, 100, started, "the burst fills the pool eventually")
}
