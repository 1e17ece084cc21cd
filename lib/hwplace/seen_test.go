package hwplace_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// sendObservations passes the observations of one router to another, as datagrams do.
func sendObservations(now time.Time, from, to *hwplace.Pool, router string) {
	for _, observation := range from.TakeObservations(now, 100) {
		to.RecordPeerObservation(now, router, observation)
	}
}

// Many routers send requests to one engine between two peer reports, so that none knows of the others' requests. The queue length that the engine reports in one answer corrects the estimates of all routers.
func TestReportedQueueReachesAllRouters(t *testing.T) {
	local, peer := enginePool(1), enginePool(1)
	for i := range uint64(10) {
		request := documentRequest(i, i)
		peer.Start(start, choose(t, peer, start, request), request)
	}
	peer.RecordLoad(start, "engine-0", hwplace.Load{Running: 16, Waiting: 12, Slots: 16})
	for i := range uint64(50) {
		// A router learns the mean number of tokens to prefill from its own requests.
		runRequest(t, local, start.Add(-time.Second), documentRequest(100, 100+i))
	}
	assert.Zero(t, choose(t, local, start, documentRequest(1, 1)).QueueWait)
	sendObservations(start.Add(100*time.Millisecond), peer, local, "there")
	later := start.Add(100 * time.Millisecond)
	wait := choose(t, local, later, documentRequest(1, 1)).QueueWait
	assert.Greater(t, wait, 300*time.Millisecond, "twelve requests wait")
	assert.Less(t, choose(t, local, later.Add(500*time.Millisecond), documentRequest(1, 1)).QueueWait, wait, "the weight of a report falls with its age")
	assert.Zero(t, choose(t, local, later.Add(time.Second), documentRequest(1, 1)).QueueWait)
	assert.Empty(t, peer.TakeObservations(later, 100), "an observation is sent once")
}

// In a large fleet under little load, most loads that engines report add nothing to what the peers know. They must not take up space in datagrams.
func TestKnownLoadsAreNotSentToPeers(t *testing.T) {
	p := enginePool(1)
	p.SetPeerLoads(start, "there", []hwplace.PeerLoad{{Upstream: hwplace.HashID("engine-0"), Running: 3}})
	p.RecordLoad(start, "engine-0", hwplace.Load{Running: 3, Slots: 16})
	assert.Empty(t, p.TakeObservations(start, 100))
	p.RecordLoad(start, "engine-0", hwplace.Load{Running: 4, Slots: 16})
	assert.Len(t, p.TakeObservations(start, 100), 1)
	p.RecordLoad(start, "engine-0", hwplace.Load{Running: 1, Waiting: 1, Slots: 16})
	assert.Len(t, p.TakeObservations(start, 100), 1)
}

// Requests sent after a load report are added to it, and an older report is ignored.
func TestLocalRequestsAddToTheReportedLoad(t *testing.T) {
	p := enginePool(1)
	p.RecordLoad(start, "engine-0", hwplace.Load{Running: 16, Waiting: 4, Slots: 16})
	before := choose(t, p, start, documentRequest(1, 1)).QueueWait
	request := documentRequest(1, 1)
	p.Start(start, choose(t, p, start, request), request)
	after := choose(t, p, start, documentRequest(2, 2)).QueueWait
	assert.Greater(t, after, before+340*time.Millisecond-time.Millisecond, "17,000 tokens at 50 a millisecond")
	p.RecordPeerObservation(start, "there", hwplace.Observation{Upstream: hwplace.HashID("engine-0"), Age: time.Second})
	assert.Equal(t, after, choose(t, p, start, documentRequest(2, 2)).QueueWait)
}

// An engine crashes in a large fleet. Others avoid it after two routers have failed to connect to it. The reports of a single router don't suffice, because it may be cut off from the network itself and fail to connect anywhere.
func TestUpstreamsUnreachableForTwoRoutersAreAvoided(t *testing.T) {
	failures := func(p *hwplace.Pool) map[string]float64 {
		byUpstream := map[string]float64{}
		for i := range uint64(60) {
			choice := choose(t, p, start, documentRequest(i, i))
			byUpstream[choice.Upstream.ID] = choice.RecentFailures
		}
		return byUpstream
	}
	first, second, local := enginePool(3), enginePool(3), enginePool(3)
	for _, upstream := range []string{"engine-0", "engine-1", "engine-2"} {
		first.RecordConnectFailure(start, upstream)
	}
	sendObservations(start, first, local, "first")
	sendObservations(start, first, local, "first")
	assert.Equal(t, map[string]float64{"engine-0": 0, "engine-1": 0, "engine-2": 0}, failures(local))
	second.RecordConnectFailure(start, "engine-1")
	sendObservations(start, second, local, "second")
	assert.NotContains(t, failures(local), "engine-1", "no request is sent there")
	assert.Len(t, failures(local), 2)
}

// Peers report prompt tokens that the engine has prefilled in the meantime. A rate estimated from them would be too high.
func TestStalePeerLoadsDoNotRaiseThePrefillRate(t *testing.T) {
	p := enginePool(1)
	for i := range uint64(300) {
		now := start.Add(time.Duration(i) * time.Second)
		p.SetPeerLoads(now, "there", []hwplace.PeerLoad{{Upstream: hwplace.HashID("engine-0"), PendingTokens: 50_000, Running: 5}})
		request := documentRequest(1_000+i, i)
		inFlight := p.Start(now, choose(t, p, now, request), request)
		p.RecordProgress(now.Add(700*time.Millisecond), inFlight)
		p.Finish(now.Add(time.Second), inFlight, false)
	}
	tokensPerMS, _ := p.LearnedRates()
	assert.InDelta(t, 50, tokensPerMS, 1, "samples with much work ahead are ignored")
}
