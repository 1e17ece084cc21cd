package hwshare_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwshare"
)

var startTime = time.Unix(1_700_000_000, 0)

// TestServiceTotalsConvergeInAnyMessageOrder merges the totals of several boots in random order with duplicates, so that some totals arrive after newer ones.
func TestServiceTotalsConvergeInAnyMessageOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type message struct {
			boot  hwshare.InstanceBoot
			total float64
		}
		var messages []message
		want := 0.0
		for i := range rapid.IntRange(1, 5).Draw(t, "origins") {
			total := 0.0
			for range rapid.IntRange(1, 6).Draw(t, "messages") {
				total += float64(rapid.IntRange(0, 100).Draw(t, "cost"))
				messages = append(messages, message{
					boot: hwshare.InstanceBoot{
						Instance: fmt.Sprint(i % 3),
						Boot:     uint64(i),
					},
					total: total,
				})
			}
			want += total
		}
		messages = append(messages, rapid.SliceOf(rapid.SampledFrom(messages)).Draw(t, "repeated")...)
		shuffled := rapid.Permutation(messages).Draw(t, "order")
		totals := hwshare.NewServiceTotals()
		growth := 0.0
		for _, m := range shuffled {
			growth += totals.Merge(m.boot, "account", m.total)
		}
		assert.InDelta(t, want, totals.Total("account"), 1e-9)
		assert.InDelta(t, want, growth, 1e-9)
	})
}

func TestIdleTimeEarnsNoCredit(t *testing.T) {
	c := hwshare.NewCounters(hwshare.CounterSettings{
		MaxCatchUp: 1e9,
	})
	c.SetShare("busy", 2)
	c.Charge("busy", 1000)
	c.ObserveBacklog(startTime, "busy", true)
	c.ObserveBacklog(startTime, "idle", true)
	assert.InDelta(t, 500, c.Value("idle"), 1e-9, "idle time must earn no credit")
}

func TestCatchUpIsCapped(t *testing.T) {
	c := hwshare.NewCounters(hwshare.CounterSettings{
		MaxCatchUp: 100,
	})
	c.ObserveBacklog(startTime, "cut-off", true)
	c.ObserveBacklog(startTime, "served", true)
	c.Charge("served", 5000)
	c.ObserveBacklog(startTime.Add(time.Second), "cut-off", true)
	assert.InDelta(t, 4900, c.Value("cut-off"), 1e-9, "the counter must be raised to the catch-up limit")
}

func TestLagSumsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := hwshare.NewCounters(hwshare.CounterSettings{
			MaxCatchUp: 1e12,
		})
		names := []string{"a", "b", "c", "d"}
		for _, name := range names {
			c.SetShare(name, float64(rapid.IntRange(1, 10).Draw(t, "share")))
			c.ObserveBacklog(startTime, name, true)
			c.Charge(name, float64(rapid.IntRange(0, 1000).Draw(t, "cost")))
		}
		sum := 0.0
		for _, name := range names {
			sum += c.Lag(name, nil)
		}
		assert.InDelta(t, 0, sum, 1e-6)
	})
}

func TestEstimateIsKeptPerMagnitudeOfHint(t *testing.T) {
	e := hwshare.NewCostEstimator(100)
	for range 50 {
		e.ObserveFinished("a", 64, 20)
		e.ObserveFinished("a", 2000, 700)
	}
	assert.InDelta(t, 20, e.Estimate("a", 70), 1)
	assert.InDelta(t, 700, e.Estimate("a", 1900), 10)
	assert.LessOrEqual(t, e.Estimate("a", 10), 10.0, "a hint must be an upper bound on the estimate")
}

func TestEstimateOfAnUnseenMagnitudeScalesWithTheHint(t *testing.T) {
	e := hwshare.NewCostEstimator(100)
	for range 50 {
		e.ObserveFinished("a", 50, 20)
	}
	assert.InDelta(t, 800, e.Estimate("a", 2000), 1, "the account's costs are 0.4 of its hints")
}

func TestRunningRequestRaisesTheEstimateOfItsClass(t *testing.T) {
	e := hwshare.NewCostEstimator(100)
	for range 50 {
		e.ObserveFinished("a", 0, 20)
	}
	e.ObserveRunning("a", 0, 10)
	assert.InDelta(t, 20, e.Estimate("a", 0), 1e-9, "a cost below the estimate must not change it")
	e.ObserveRunning("a", 0, 220)
	assert.InDelta(t, 40, e.Estimate("a", 0), 1e-9)
}

func TestThresholdBetweenShortAndLong(t *testing.T) {
	cases := []struct {
		name  string
		costs []float64
		found bool
		long  float64
		short float64
	}{
		{
			name:  "similar costs form one group",
			costs: []float64{20, 25, 30},
			found: false,
			long:  0,
			short: 0,
		},
		{
			name:  "one long request in ten",
			costs: []float64{20, 20, 20, 20, 20, 20, 20, 20, 20, 600},
			found: true,
			long:  300,
			short: 60,
		},
		{
			name:  "nine long requests in ten",
			costs: []float64{600, 600, 600, 600, 600, 600, 600, 600, 600, 20},
			found: true,
			long:  300,
			short: 60,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := hwshare.NewThresholdEstimator()
			for range 100 {
				for _, cost := range c.costs {
					e.Observe(cost)
				}
			}
			threshold, found := e.Threshold()
			assert.Equal(t, c.found, found)
			if found {
				assert.Less(t, threshold, c.long)
				assert.Greater(t, threshold, c.short)
			}
		})
	}
}

func TestQueueServesLanesInTheGivenOrder(t *testing.T) {
	cases := []struct {
		name  string
		order hwshare.LaneOrder
		want  []string
	}{
		{
			name:  "short first",
			order: hwshare.ShortFirst,
			want:  []string{"s1", "s2", "l1"},
		},
		{
			name:  "short only",
			order: hwshare.ShortOnly,
			want:  []string{"s1", "s2"},
		},
		{
			name:  "long first",
			order: hwshare.LongFirst,
			want:  []string{"l1", "s1", "s2"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := hwshare.NewQueue[int]()
			for _, id := range []string{"l1", "s1", "s2"} {
				lane := hwshare.ShortLane
				if id[0] == 'l' {
					lane = hwshare.LongLane
				}
				q.Push(hwshare.Entry[int]{
					ID:      id,
					Account: "a",
					Lane:    lane,
					Arrived: startTime,
				})
			}
			var got []string
			for entry, found := q.Pop("a", c.order); found; entry, found = q.Pop("a", c.order) {
				got = append(got, entry.ID)
			}
			assert.Equal(t, c.want, got)
		})
	}
}

// TestQueueLosesNoEntry pushes, pops and expires entries in random order. Each entry must leave the queue by a pop or by its deadline.
func TestQueueLosesNoEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := hwshare.NewQueue[int]()
		queued := map[string]string{}
		now := startTime
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			account := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				id := fmt.Sprint(i)
				queued[id] = account
				q.Push(hwshare.Entry[int]{
					ID:       id,
					Account:  account,
					Arrived:  now,
					Lane:     hwshare.Lane(rapid.IntRange(0, 1).Draw(t, "lane")),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second),
				})
			case 2:
				if entry, found := q.Pop(account, hwshare.ShortFirst); found {
					delete(queued, entry.ID)
				}
			case 3:
				for _, entry := range q.Expire(now) {
					delete(queued, entry.ID)
				}
			}
		}
		for _, entry := range q.Expire(now.Add(time.Hour)) {
			delete(queued, entry.ID)
		}
		assert.Empty(t, queued)
		assert.Empty(t, q.Accounts())
	})
}

// BenchmarkExpire measures a call with many waiting entries of which none has expired.
func BenchmarkExpire(b *testing.B) {
	q := hwshare.NewQueue[int]()
	for i := range 1000 {
		q.Push(hwshare.Entry[int]{
			ID:       fmt.Sprint(i),
			Account:  fmt.Sprint(i % 16),
			Deadline: startTime.Add(time.Hour),
		})
	}
	for b.Loop() {
		q.Expire(startTime)
	}
}

func ExampleCounters() {
	now := time.Unix(1_700_000_000, 0)
	c := hwshare.NewCounters(hwshare.CounterSettings{
		MaxCatchUp:   1000,
		BacklogGrace: time.Second,
	})
	c.SetShare("franchise", 4)
	c.SetShare("brewer", 1)
	c.ObserveBacklog(now, "franchise", true)
	c.ObserveBacklog(now, "brewer", true)
	c.Charge("franchise", 400)
	c.Charge("brewer", 400)
	fmt.Println(c.Value("franchise"), c.Value("brewer"), c.Gap())
	// Output: 100 400 300
}
