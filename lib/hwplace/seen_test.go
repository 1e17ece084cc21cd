package hwplace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// tell passes on what one router saw to another, as datagrams do.
func tell(now time.Time, from, to *hwplace.Pool, router string) {
	for _, seen := range from.TakeObservations(now, 100) {
		to.RecordPeerObservation(now, router, seen)
	}
}

// Pattern: many routers send to one engine between two reports, so that none knows of the others' work. What the engine says of its queue in one answer corrects the estimate of all.
func TestWhatAnEngineSaysOfItsQueueReachesAllRouters(t *testing.T) {
	here, there := engines(1), engines(1)
	for i := range uint64(10) {
		ask := report(i, i)
		there.Start(start, choose(t, there, start, ask), ask)
	}
	there.RecordLoad(start, "engine-0", hwplace.Load{Running: 16, Waiting: 12, Slots: 16})
	for i := range uint64(50) {
		// Routers know how much a request reads on average from their own.
		serve(t, here, start.Add(-time.Second), report(100, 100+i))
	}
	assert.Zero(t, choose(t, here, start, report(1, 1)).QueueWait)
	tell(start.Add(100*time.Millisecond), there, here, "there")
	later := start.Add(100 * time.Millisecond)
	told := choose(t, here, later, report(1, 1)).QueueWait
	assert.Greater(t, told, 300*time.Millisecond, "twelve requests wait")
	assert.Less(t, choose(t, here, later.Add(500*time.Millisecond), report(1, 1)).QueueWait, told, "what was said counts less and less")
	assert.Zero(t, choose(t, here, later.Add(time.Second), report(1, 1)).QueueWait)
	assert.Empty(t, there.TakeObservations(later, 100), "it is told once")
}

// Pattern: a calm fleet of hundreds. What engines say adds nothing to what routers know, and takes no room in datagrams.
func TestLoadsThatAreKnownAreNotTold(t *testing.T) {
	p := engines(1)
	p.SetPeerLoads(start, "there", []hwplace.PeerLoad{{Upstream: hwplace.HashID("engine-0"), Running: 3}})
	p.RecordLoad(start, "engine-0", hwplace.Load{Running: 3, Slots: 16})
	assert.Empty(t, p.TakeObservations(start, 100))
	p.RecordLoad(start, "engine-0", hwplace.Load{Running: 4, Slots: 16})
	assert.Len(t, p.TakeObservations(start, 100), 1)
	p.RecordLoad(start, "engine-0", hwplace.Load{Running: 1, Waiting: 1, Slots: 16})
	assert.Len(t, p.TakeObservations(start, 100), 1)
}

// What a router sends after a report adds to it, and an older report changes nothing.
func TestOwnWorkAddsToWhatAnEngineSaid(t *testing.T) {
	p := engines(1)
	p.RecordLoad(start, "engine-0", hwplace.Load{Running: 16, Waiting: 4, Slots: 16})
	before := choose(t, p, start, report(1, 1)).QueueWait
	ask := report(1, 1)
	p.Start(start, choose(t, p, start, ask), ask)
	after := choose(t, p, start, report(2, 2)).QueueWait
	assert.Greater(t, after, before+340*time.Millisecond-time.Millisecond, "17,000 tokens at 50 a millisecond")
	p.RecordPeerObservation(start, "there", hwplace.Observation{Upstream: hwplace.HashID("engine-0"), Age: time.Second})
	assert.Equal(t, after, choose(t, p, start, report(2, 2)).QueueWait)
}

// Pattern: an engine crashes in a large fleet. Two routers that could not connect warn all others, while one that can't connect anywhere, because it is cut off itself, does not.
func TestUpstreamsThatTwoRoutersMissedAreAvoided(t *testing.T) {
	trouble := func(p *hwplace.Pool) map[string]float64 {
		seen := map[string]float64{}
		for i := range uint64(60) {
			choice := choose(t, p, start, report(i, i))
			seen[choice.Upstream.ID] = choice.RecentFailures
		}
		return seen
	}
	first, second, here := engines(3), engines(3), engines(3)
	for _, upstream := range []string{"engine-0", "engine-1", "engine-2"} {
		first.RecordConnectFailure(start, upstream)
	}
	tell(start, first, here, "first")
	tell(start, first, here, "first")
	assert.Equal(t, map[string]float64{"engine-0": 0, "engine-1": 0, "engine-2": 0}, trouble(here))
	second.RecordConnectFailure(start, "engine-1")
	tell(start, second, here, "second")
	assert.NotContains(t, trouble(here), "engine-1", "nothing is sent there")
	assert.Len(t, trouble(here), 2)
}

// Pattern: peers report work that has been read meanwhile. An engine does not look faster for it.
func TestStaleReportsDoNotMakeAnEngineLookFast(t *testing.T) {
	p := engines(1)
	for i := range uint64(300) {
		now := start.Add(time.Duration(i) * time.Second)
		p.SetPeerLoads(now, "there", []hwplace.PeerLoad{{Upstream: hwplace.HashID("engine-0"), PendingTokens: 50_000, Running: 5}})
		ask := report(1_000+i, i)
		ticket := p.Start(now, choose(t, p, now, ask), ask)
		p.RecordProgress(now.Add(700*time.Millisecond), ticket)
		p.Finish(now.Add(time.Second), ticket, false)
	}
	tokensPerMS, _ := p.LearnedRates()
	assert.InDelta(t, 50, tokensPerMS, 1, "nothing is learned from what may have been read before")
}
