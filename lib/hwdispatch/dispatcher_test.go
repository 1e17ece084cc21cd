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

func pool(upstreams, slots int) hwdocument.Pool {
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

func accounts(shares ...float64) []hwdocument.Account {
	var all []hwdocument.Account
	for i, share := range shares {
		all = append(all, hwdocument.Account{
			Name:       fmt.Sprintf("account-%d", i),
			Share:      share,
			QueueBound: 1000,
		})
	}
	return all
}

func newDispatcher(p hwdocument.Pool, all []hwdocument.Account) *hwdispatch.Dispatcher {
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
	}, p, all, []string{"router-1"}, rand.NewPCG(1, 2))
}

func request(id, account string) hwdispatch.Request {
	return hwdispatch.Request{
		ID:       id,
		Account:  account,
		Deadline: start.Add(time.Hour),
	}
}

// TestServiceFollowsShares ends the running requests in the order they started. TestServiceFollowsSharesInAnyOrder ends them in any order.
func TestServiceFollowsShares(t *testing.T) {
	served := serveBacklog(300, func(int) int { return 0 })
	assert.InDelta(t, 3, float64(served["account-0"])/float64(served["account-1"]), 0.2)
}

// TestServiceFollowsSharesInAnyOrder bounds the gap for every order in which answers end: what is started and not yet charged, which is at most one request a slot, the one request that the choice between accounts is rounded to, and the requests that end while the sums of pending work are kept.
func TestServiceFollowsSharesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		served := serveBacklog(300, func(running int) int { return rapid.IntRange(0, running-1).Draw(t, "ends") })
		assert.InDelta(t, float64(served["account-0"])/3, served["account-1"], backlogSlots+1+backlogStale)
	})
}

// backlogStale is how many requests end, one every 10 ms, in the 20 ms for which the dispatcher keeps its sums of pending work.
const backlogStale = 2

// backlogSlots is how many requests run at once in serveBacklog.
const backlogSlots = 6

// serveBacklog keeps two accounts with shares of 3 and 1 backlogged until the given number of requests ended, and returns how many of each did. Next picks which of the running requests ends, by its place in the order of starts.
func serveBacklog(requests int, next func(running int) int) map[string]int {
	d := newDispatcher(pool(2, backlogSlots/2), accounts(3, 1))
	now := start
	var running []string
	served := map[string]int{}
	owner := map[string]string{}
	take := func(e hwdispatch.Effects) {
		for _, s := range e.Starts {
			running = append(running, s.ID)
		}
	}
	for i := range 400 {
		for _, account := range []string{"account-0", "account-1"} {
			id := fmt.Sprint(account, "/", i)
			owner[id] = account
			take(d.Enqueue(now, request(id, account)))
		}
	}
	for range requests {
		now = now.Add(10 * time.Millisecond)
		ends := next(len(running))
		id := running[ends]
		running = slices.Delete(running, ends, ends+1)
		served[owner[id]]++
		take(d.Finish(now, id, hwdispatch.AttemptResult{
			Cost: 10,
		}))
	}
	return served
}

func TestRejections(t *testing.T) {
	all := accounts(1)
	all[0].QueueBound = 1
	d := newDispatcher(pool(1, 1), all)
	assert.Len(t, d.Enqueue(start, request("runs", "account-0")).Starts, 1)
	assert.Empty(t, d.Enqueue(start, request("waits", "account-0")).Rejections)
	full := d.Enqueue(start, request("too many", "account-0"))
	require.Len(t, full.Rejections, 1)
	assert.Equal(t, hwerror.KindQueueFull, full.Rejections[0].Kind)
	effects, _ := d.Tick(start.Add(2 * time.Hour))
	require.Len(t, effects.Rejections, 1)
	assert.Equal(t, "waits", effects.Rejections[0].ID)
	assert.Equal(t, hwerror.KindDeadlineCannotBeMet, effects.Rejections[0].Kind)
}

// TestAHopelessRequestIsRefusedAtOnce shows that a request is not queued when the account's queue moves too slowly for its deadline.
func TestAHopelessRequestIsRefusedAtOnce(t *testing.T) {
	d := newDispatcher(pool(1, 1), accounts(1))
	now := start
	for i := range 40 {
		d.Enqueue(now, request(fmt.Sprint(i), "account-0"))
	}
	for i := range 10 {
		now = now.Add(100 * time.Millisecond)
		d.Finish(now, fmt.Sprint(i), hwdispatch.AttemptResult{
			Cost: 10,
		})
	}
	hopeless := request("hopeless", "account-0")
	hopeless.Deadline = now.Add(time.Second)
	rejections := d.Enqueue(now, hopeless).Rejections
	require.Len(t, rejections, 1, "29 requests wait and ten a second start")
	assert.Equal(t, hwerror.KindDeadlineCannotBeMet, rejections[0].Kind)
	patient := request("patient", "account-0")
	patient.Deadline = now.Add(time.Minute)
	assert.Empty(t, d.Enqueue(now, patient).Rejections)
}

func TestADeadUpstreamIsAvoidedAndProbed(t *testing.T) {
	d := newDispatcher(pool(2, 4), accounts(1))
	first := d.Enqueue(start, request("first", "account-0")).Starts[0]
	d.Finish(start, "first", hwdispatch.AttemptResult{
		Failed:        true,
		ConnectFailed: true,
	})
	for i := range 4 {
		id := fmt.Sprint("next-", i)
		assert.NotEqual(t, first.Upstream, d.Enqueue(start, request(id, "account-0")).Starts[0].Upstream)
	}
	assert.Empty(t, d.Enqueue(start, request("waits", "account-0")).Starts, "the other one is full")
	later := start.Add(time.Second)
	effects, _ := d.Tick(later)
	require.Len(t, effects.Starts, 1)
	assert.Equal(t, first.Upstream, effects.Starts[0].Upstream, "after the pause a request probes it")
}

func TestARequestThatTriedAllMayTryAgain(t *testing.T) {
	d := newDispatcher(pool(1, 1), accounts(1))
	again := request("again", "account-0")
	again.Requeued = true
	again.Excluded = []string{"10.0.0.1:80"}
	assert.Len(t, d.Enqueue(start, again).Starts, 1)
}

func TestShortWorkGoesBeforeLongWorkOfItsAccount(t *testing.T) {
	d := newDispatcher(pool(1, 2), accounts(1))
	now := start
	finish := func(id string, hint, cost float64) {
		r := request(id, "account-0")
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
		r := request(id, "account-0")
		r.CostHint = 30
		require.Len(t, d.Enqueue(now, r).Starts, 1)
	}
	for _, id := range []string{"long", "short"} {
		r := request(id, "account-0")
		r.CostHint = map[string]float64{"long": 1500, "short": 30}[id]
		require.Empty(t, d.Enqueue(now, r).Starts)
	}
	starts := d.Finish(now, "busy-1", hwdispatch.AttemptResult{
		Cost: 20,
	}).Starts
	require.Len(t, starts, 1)
	assert.Equal(t, "short", starts[0].ID)
}

// TestEveryRequestEnds enqueues, cancels, finishes and lets time pass in any order: each request is started or rejected or cancelled exactly once, and no upstream runs more than its slots.
func TestEveryRequestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		d := newDispatcher(pool(2, slots), accounts(2, 1))
		now := start
		waiting, running := map[string]string{}, map[string]string{}
		inUse := map[string]int{}
		apply := func(e hwdispatch.Effects) {
			for _, s := range e.Starts {
				if _, found := waiting[s.ID]; !found {
					t.Fatalf("%s started but did not wait", s.ID)
				}
				delete(waiting, s.ID)
				running[s.ID] = s.Upstream
				inUse[s.Upstream]++
				if inUse[s.Upstream] > slots {
					t.Fatalf("%s runs %d", s.Upstream, inUse[s.Upstream])
				}
			}
			for _, r := range e.Rejections {
				if _, found := waiting[r.ID]; !found {
					t.Fatalf("%s rejected but did not wait", r.ID)
				}
				delete(waiting, r.ID)
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r := request(fmt.Sprint(i), fmt.Sprint("account-", rapid.IntRange(0, 1).Draw(t, "account")))
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
			benchmark(b, newDispatcher(pool(32, 36), accounts(shares...)), count)
		})
	}
}

func BenchmarkSlopeDispatchByUpstreams(b *testing.B) {
	for _, upstreams := range []int{9, 32, 100, 219} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			benchmark(b, newDispatcher(pool(upstreams, 1136/upstreams+1), accounts(1, 1, 1, 1)), 4)
		})
	}
}

// benchmark runs requests one after the other beside a thousand that run and a tenth of the accounts that waits.
func benchmark(b *testing.B, d *hwdispatch.Dispatcher, count int) {
	b.ReportAllocs()
	var running []string
	take := func(e hwdispatch.Effects) {
		for _, s := range e.Starts {
			running = append(running, s.ID)
		}
	}
	for i := range 1200 {
		take(d.Enqueue(start, request(fmt.Sprint("warm-", i), fmt.Sprint("account-", i%max(1, count/10)))))
	}
	now := start
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(10 * time.Millisecond)
		take(d.Enqueue(now, request(fmt.Sprint(i), fmt.Sprint("account-", i%max(1, count/10)))))
		take(d.Finish(now, running[0], hwdispatch.AttemptResult{
			Cost: 240,
		}))
		running = running[1:]
	}
}

func BenchmarkSlopeDispatchProgress(b *testing.B) {
	for _, streams := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			d := newDispatcher(pool(32, 64), accounts(1, 1, 1, 1))
			for i := range streams {
				d.Enqueue(start, request(fmt.Sprint(i), fmt.Sprint("account-", i%4)))
			}
			b.ReportAllocs()
			for i := range b.N {
				d.ChargeProgress(start.Add(time.Duration(i)*time.Microsecond), fmt.Sprint(i%streams), float64(i/streams+1))
			}
		})
	}
}

// TestLongWorkStartsAtABoundedPace lets long work arrive all at once on an idle pool: it fills the pool over some ticks, so that the broker hears of others first.
func TestLongWorkStartsAtABoundedPace(t *testing.T) {
	d := newDispatcher(pool(4, 25), accounts(1))
	now := start
	for i := range 60 {
		now = now.Add(200 * time.Millisecond)
		short, long := fmt.Sprint("short-", i), fmt.Sprint("long-", i)
		shortOne := request(short, "account-0")
		shortOne.CostHint = 20
		d.Enqueue(now, shortOne)
		d.Finish(now, short, hwdispatch.AttemptResult{Cost: 10})
		if i < 10 {
			longOne := request(long, "account-0")
			longOne.CostHint = 1200
			d.Enqueue(now, longOne)
			d.Finish(now, long, hwdispatch.AttemptResult{Cost: 600})
		}
	}
	started := 0
	for i := range 200 {
		longOne := request(fmt.Sprint("burst-", i), "account-0")
		longOne.CostHint = 1200
		started += len(d.Enqueue(now, longOne).Starts)
	}
	assert.LessOrEqual(t, started, 4, "the burst")
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
	assert.Equal(t, 100, started, "the pool is full in the end")
}
