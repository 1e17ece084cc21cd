package hwhedge_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwhedge"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// fleetModel plays requests to engines that stall in spells, on a clock of its own. Engines have room for all requests, so only the spells make them slow.
type fleetModel struct {
	random  *rand.Rand
	engines int
	// spell is the length of a stall, and stalled the part of the time that it takes. With together set, all engines stall at the same time.
	spell    time.Duration
	stalled  float64
	together bool
	// slow is the number of engines that always take four times as long.
	slow int
	// phases is where in the cycle of its spells each engine begins.
	phases []time.Duration
}

func newFleetModel(seed uint64, change func(*fleetModel)) *fleetModel {
	m := &fleetModel{
		random:  rand.New(rand.NewPCG(seed, 3)),
		engines: 20,
		spell:   600 * time.Millisecond,
	}
	change(m)
	for range m.engines {
		m.phases = append(m.phases, time.Duration(m.random.Int64N(int64(time.Minute))))
	}
	return m
}

// latency returns how long a request takes at an engine.
func (m *fleetModel) latency(now time.Time, engine int) time.Duration {
	latency := 40*time.Millisecond + time.Duration(m.random.Int64N(int64(40*time.Millisecond)))
	if engine < m.slow {
		latency *= 4
	}
	if m.stalled == 0 {
		return latency
	}
	cycle := time.Duration(float64(m.spell) / m.stalled)
	phase := now.Sub(start)
	if !m.together {
		phase += m.phases[engine]
	}
	if left := m.spell - phase%cycle; left > 0 {
		latency += left
	}
	return latency
}

// event is a moment at which the policy learns of a latency.
type event struct {
	at      time.Time
	elapsed time.Duration
	cut     bool
}

// eventQueue is a heap of events by their time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// play sends 200 requests a second for two minutes. It returns the quantile of the latencies at 99 percent, and the number of hedges as a ratio of the requests. Decisions are made one request after the other, in the order of arrival.
func (m *fleetModel) play(ratio float64) (slowest time.Duration, hedged float64) {
	const requests = 24_000
	p := hwhedge.New(hwhedge.Settings{
		Ratio: ratio,
	})
	class := hwhedge.NewClass("chat", true, 500)
	var latencies []time.Duration
	var learned eventQueue
	hedges := 0
	now := start
	for range requests {
		now = now.Add(5 * time.Millisecond)
		for len(learned) > 0 && !learned[0].at.After(now) {
			e := heap.Pop(&learned).(event)
			if e.cut {
				p.RecordCut(e.at, class, e.elapsed)
			} else {
				p.RecordLatency(e.at, class, e.elapsed)
			}
		}
		p.RecordRequest(now, 500)
		engine := m.random.IntN(m.engines)
		latency := m.latency(now, engine)
		schedule, _ := p.Schedule(now, class, time.Second)
		end := event{
			at:      now.Add(latency),
			elapsed: latency,
		}
		s := late()
		s.Tokens, s.Estimate = 50, 60*time.Millisecond
		for s.Due = schedule.Late; s.Due > 0 && s.Due < latency; s.Checks++ {
			s.Elapsed = s.Due
			decision := p.Decide(now, s)
			if !decision.Hedge {
				s.Due = decision.CheckAgain
				continue
			}
			p.RecordHedge(now, s.Tokens)
			hedges++
			other := (engine + 1 + m.random.IntN(m.engines-1)) % m.engines
			if second := s.Due + m.latency(now.Add(s.Due), other); second < latency {
				latency = second
				end = event{
					at:      now.Add(second),
					elapsed: second,
					cut:     true,
				}
			}
			break
		}
		heap.Push(&learned, end)
		latencies = append(latencies, latency)
	}
	slices.Sort(latencies)
	return latencies[requests*99/100], float64(hedges) / requests
}

// Each condition is played with and without hedges. The bound is on the quantile at 99 percent as a ratio of the one without hedges.
func TestHedgesShortenTheSlowestAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		change   func(*fleetModel)
		maxRatio float64
	}{
		"engines stall in spells":  {change: func(m *fleetModel) { m.stalled = 0.03 }, maxRatio: 0.5},
		"one engine is slow":       {change: func(m *fleetModel) { m.slow = 1 }, maxRatio: 0.8},
		"all stall at once":        {change: func(m *fleetModel) { m.stalled = 0.03; m.together = true }, maxRatio: 1.05},
		"no engine stalls":         {change: func(*fleetModel) {}, maxRatio: 1.02},
		"most of them are stalled": {change: func(m *fleetModel) { m.stalled = 0.6 }, maxRatio: 1.05},
	} {
		t.Run(name, func(t *testing.T) {
			const ratio = 0.05
			without, none := newFleetModel(1, c.change).play(0)
			with, hedged := newFleetModel(1, c.change).play(ratio)
			t.Logf("99%%: %v without hedges, %v with them; %.4f of the requests hedged", without, with, hedged)
			assert.Zero(t, none)
			assert.LessOrEqual(t, hedged, ratio)
			assert.LessOrEqual(t, with.Seconds(), c.maxRatio*without.Seconds())
		})
	}
}

// The load of a pool rises until requests are refused. Hedges must have ended before: with each load at which one is sent, a new request is still admitted at every upstream, also after the hedge.
func TestHedgesEndBeforeRequestsAreRefused(t *testing.T) {
	admission := hwadmit.Settings{
		MaxWaitRatio:      0.35,
		UnusedShareFactor: 2,
		OverShareFactor:   0.05,
		OverShareRange:    1,
	}
	for _, cacheTokens := range []int{0, 500_000} {
		pool := hwplace.New(hwplace.Settings{
			InitialPrefillTokensPerMS: 45,
			LoadWeight:                0.25,
			CacheMissWeight:           2,
			InitialRequestMS:          60,
			PrefixCacheRatio:          0.6,
		}, hwplace.NewNotices(), hwplace.NewEvacuations(), cacheTokens)
		pool.SetUpstreams([]hwplace.Upstream{{ID: "a", Slots: 6}, {ID: "b", Slots: 6}, {ID: "c", Slots: 6}})
		p := newPolicy(hwhedge.MaxRatio, 1000)
		hedgedAt, refusedAt := 0, 0
		for running := 1; refusedAt == 0; running++ {
			choice, found := pool.Choose(start, hwplace.Request{})
			assert.True(t, found)
			admitted := admission.Decide(hwadmit.Request{
				QueueWait:        choice.QueueWait,
				LatencyObjective: 300 * time.Millisecond,
			}).Admitted
			headroom := pool.Headroom(start)
			s := late()
			s.Slots, s.FreeSlots = headroom.Slots, headroom.FreeSlots
			s.Upstreams, s.WaitingUpstreams = headroom.Upstreams, headroom.Waiting
			s.Admitted, s.Tokens = admitted, 0
			if p.Decide(start, s).Hedge {
				hedgedAt = running
			}
			if !admitted {
				refusedAt = running
			}
			pool.Start(start, choice, hwplace.Request{})
		}
		t.Logf("hedges up to %d requests, refusals from %d", hedgedAt, refusedAt)
		assert.Positive(t, hedgedAt)
		assert.LessOrEqual(t, hedgedAt, 14, "a quarter of the 18 slots is free")
		assert.Greater(t, refusedAt, 18)
	}
}
