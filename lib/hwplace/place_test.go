package hwplace_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

var start = time.Unix(1_700_000_000, 0)

func settings() hwplace.Settings {
	return hwplace.Settings{
		Zone:                      "a",
		CrossZonePenaltyMS:        1,
		InitialPrefillTokensPerMS: 50,
		LoadWeight:                0.5,
		CacheMissWeight:           2,
		FetchCostRatio:            0.35,
		MinFetchTokens:            1000,
		PrefixCacheRatio:          0.6,
		AffinityDiscountRatio:     0.3,
		InitialRequestMS:          60,
	}
}

func upstreams(pool string, count int) []hwplace.Upstream {
	list := make([]hwplace.Upstream, 0, count)
	for i := range count {
		list = append(list, hwplace.Upstream{
			ID:      pool + "-" + strconv.Itoa(i),
			Address: "10.0.0." + strconv.Itoa(i+1) + ":80",
			Zone:    "a",
			Pool:    pool,
			Slots:   64,
		})
	}
	return list
}

func enginePool(count int) *hwplace.Pool {
	p := hwplace.New(settings(), hwplace.NewNotices(), hwplace.NewEvacuations(), 500_000)
	p.SetUpstreams(upstreams("engine", count))
	return p
}

// documentRequest returns a request whose prompt is a long document that other requests share, followed by a segment of its own.
func documentRequest(document, own uint64) hwplace.Request {
	return hwplace.Request{
		Prompt: hwprompt.New("m", 17_000, []hwprompt.Segment{
			{ID: document, Tokens: 13_000},
			{ID: 1<<40 + own, Tokens: 4_000},
		}),
		Random: float64(own%97) / 97,
	}
}

func choose(t *testing.T, p *hwplace.Pool, now time.Time, request hwplace.Request) hwplace.Choice {
	t.Helper()
	choice, found := p.Choose(now, request)
	require.True(t, found)
	return choice
}

// runRequest runs a request that is answered and finished at once.
func runRequest(t *testing.T, p *hwplace.Pool, now time.Time, request hwplace.Request) hwplace.Choice {
	choice := choose(t, p, now, request)
	inFlight := p.Start(now, choice, request)
	p.RecordProgress(now, inFlight)
	p.Finish(now, inFlight, false)
	return choice
}

func Example() {
	pool := hwplace.New(settings(), hwplace.NewNotices(), hwplace.NewEvacuations(), 500_000)
	pool.SetUpstreams(upstreams("engine", 3))
	request := documentRequest(1, 1)
	first, _ := pool.Choose(start, request)
	inFlight := pool.Start(start, first, request)
	pool.RecordProgress(start.Add(200*time.Millisecond), inFlight)
	pool.Finish(start.Add(time.Second), inFlight, false)
	again, _ := pool.Choose(start.Add(time.Second), documentRequest(1, 2))
	fmt.Println(first.PrefillTokens, again.PrefillTokens, first.Upstream.ID == again.Upstream.ID)
	// Output: 17000 4000 true
}

// Many requests share a few long documents. Each document is prefilled by a single engine, once.
func TestSharedDocumentsArePrefilledOnce(t *testing.T) {
	p := enginePool(9)
	prefilled := map[uint64]int{}
	used := map[string]bool{}
	for i := range uint64(650) {
		now := start.Add(time.Duration(i) * 40 * time.Millisecond)
		choice := runRequest(t, p, now, documentRequest(i%65, i))
		prefilled[i%65] += choice.PrefillTokens - 4_000
		used[choice.Upstream.ID] = true
	}
	for document, tokens := range prefilled {
		assert.Equal(t, 13_000, tokens, "document %d", document)
	}
	assert.Len(t, used, 9, "documents are spread over all engines")
}

// Routers without any news of each other send the requests of a document to the same engine.
func TestRoutersAgreeOnAffinityWithoutCommunication(t *testing.T) {
	for document := range uint64(40) {
		assert.Equal(t,
			choose(t, enginePool(9), start, documentRequest(document, 1)).Upstream.ID,
			choose(t, enginePool(9), start, documentRequest(document, 2)).Upstream.ID)
	}
}

// Many requests share one document. The load spills over to other engines, which fetch the document from the cache of the first instead of prefilling it.
func TestHotDocumentSpillsOverAndIsFetched(t *testing.T) {
	p := enginePool(9)
	first := runRequest(t, p, start, documentRequest(1, 0)).Upstream
	requests := map[string]int{}
	for i := range uint64(60) {
		request := documentRequest(1, i+1)
		choice := choose(t, p, start, request)
		p.Start(start, choice, request)
		if requests[choice.Upstream.ID] == 0 && choice.Upstream.ID != first.ID {
			assert.NotEmpty(t, choice.FetchFrom, "the first request at another engine fetches")
		}
		requests[choice.Upstream.ID]++
	}
	assert.Greater(t, len(requests), 3)
	assert.Less(t, requests[first.ID], 40)
}

func TestDrainingAndExcludedUpstreamsAreNotChosen(t *testing.T) {
	p := enginePool(3)
	list := upstreams("engine", 3)
	list[0].Draining = true
	_, _, draining := p.SetUpstreams(list)
	assert.Equal(t, []string{"engine-0"}, draining)
	for i := range uint64(50) {
		request := documentRequest(i, i)
		request.Excluded = []string{"engine-1"}
		assert.Equal(t, "engine-2", choose(t, p, start, request).Upstream.ID)
	}
	request := documentRequest(1, 1)
	request.Excluded = []string{"engine-1", "engine-2"}
	_, found := p.Choose(start, request)
	assert.False(t, found)
}

// A replica that restarts under the same id has an empty cache.
func TestRestartClearsTheCacheIndex(t *testing.T) {
	p := enginePool(1)
	runRequest(t, p, start, documentRequest(1, 1))
	assert.Equal(t, 4_000, choose(t, p, start, documentRequest(1, 2)).PrefillTokens)
	list := upstreams("engine", 1)
	list[0].Incarnation = 5
	added, _, _ := p.SetUpstreams(list)
	assert.Equal(t, []string{"engine-0"}, added)
	assert.Equal(t, 17_000, choose(t, p, start, documentRequest(1, 2)).PrefillTokens)
}

// An engine that sends nothing for its unanswered requests gets no more requests after the grace period, until it makes progress again.
func TestSilentEnginesAreAvoidedUntilTheyMakeProgress(t *testing.T) {
	p := enginePool(5)
	silent := runRequest(t, p, start, documentRequest(1, 1)).Upstream.ID
	request := documentRequest(1, 2)
	inFlight := p.Start(start, choose(t, p, start, request), request)
	require.Equal(t, silent, inFlight.Upstream)
	later := start.Add(3 * time.Second)
	assert.NotEqual(t, silent, choose(t, p, later, documentRequest(1, 3)).Upstream.ID)
	p.RecordProgress(later, inFlight)
	p.Finish(later, inFlight, false)
	assert.Equal(t, silent, choose(t, p, later, documentRequest(1, 3)).Upstream.ID)
}

// A replica that is up but fails requests gets no more of them until the failures have decayed.
func TestFailingUpstreamsAreAvoidedUntilFailuresDecay(t *testing.T) {
	p := hwplace.New(settings(), hwplace.NewNotices(), hwplace.NewEvacuations(), 0)
	p.SetUpstreams(upstreams("service", 3))
	for range 3 {
		request := hwplace.Request{}
		choice := hwplace.Choice{Upstream: upstreams("service", 1)[0]}
		p.Finish(start, p.Start(start, choice, request), true)
	}
	for i := range 50 {
		assert.NotEqual(t, "service-0", choose(t, p, start, hwplace.Request{Random: float64(i) / 50}).Upstream.ID)
	}
	recovered := start.Add(20 * time.Second)
	chosen := map[string]bool{}
	for i := range 50 {
		chosen[choose(t, p, recovered, hwplace.Request{Random: float64(i) / 50}).Upstream.ID] = true
	}
	assert.Len(t, chosen, 3)
}

// Loads that a peer reports count like the router's own, until the report expires.
func TestPeerLoadsCountUntilTheyExpire(t *testing.T) {
	p := enginePool(2)
	busy := runRequest(t, p, start, documentRequest(1, 1)).Upstream.ID
	p.SetPeerLoads(start, "router-2", []hwplace.PeerLoad{{Upstream: hwplace.HashID(busy), PendingTokens: 100_000, Running: 20}})
	choice := choose(t, p, start, documentRequest(1, 2))
	assert.NotEqual(t, busy, choice.Upstream.ID)
	assert.Equal(t, busy, choose(t, p, start.Add(time.Minute), documentRequest(1, 2)).Upstream.ID)
}

func TestQueueWaitExcludesOwnPrefill(t *testing.T) {
	p := enginePool(1)
	assert.Zero(t, choose(t, p, start, documentRequest(1, 1)).QueueWait)
	request := documentRequest(1, 1)
	p.Start(start, choose(t, p, start, request), request)
	assert.Equal(t, 340*time.Millisecond, choose(t, p, start, documentRequest(2, 2)).QueueWait, "17,000 tokens at 50 a millisecond")
}

// An upstream that reports a slowdown is avoided.
func TestSlowUpstreamsAreAvoided(t *testing.T) {
	p := hwplace.New(settings(), hwplace.NewNotices(), hwplace.NewEvacuations(), 0)
	p.SetUpstreams(upstreams("service", 3))
	for i := range 10 {
		p.RecordLoad(start.Add(time.Duration(i)*100*time.Millisecond), "service-1", hwplace.Load{Slots: 6, SlowdownPercent: 500})
	}
	for i := range 50 {
		assert.NotEqual(t, "service-1", choose(t, p, start.Add(time.Second), hwplace.Request{Random: float64(i) / 50}).Upstream.ID)
	}
}

// Repeated calls of RecordProgress and Finish for the same request have no further effect on the counts.
func TestProgressAndFinishCountOnce(t *testing.T) {
	p := enginePool(1)
	request := documentRequest(1, 1)
	inFlight := p.Start(start, choose(t, p, start, request), request)
	for range 2 {
		p.RecordProgress(start, inFlight)
	}
	assert.Len(t, p.LocalLoads(), 1)
	for range 2 {
		p.Finish(start, inFlight, false)
	}
	assert.Empty(t, p.LocalLoads())
	assert.Zero(t, choose(t, p, start, documentRequest(2, 2)).QueueWait)
}

// During a rolling replacement, prefixes in the cache of a draining upstream are fetched from it instead of being prefilled again.
func TestPrefixesAreFetchedFromADrainingUpstream(t *testing.T) {
	p := enginePool(3)
	holder := runRequest(t, p, start, documentRequest(1, 1)).Upstream
	list := upstreams("engine", 3)
	for i := range list {
		list[i].Draining = list[i].ID == holder.ID
	}
	p.SetUpstreams(list)
	choice := choose(t, p, start, documentRequest(1, 2))
	assert.NotEqual(t, holder.ID, choice.Upstream.ID)
	assert.Equal(t, holder.Address, choice.FetchFrom)
	assert.Equal(t, 4_000, choice.PrefillTokens)
	assert.Equal(t, time.Duration(4_000+0.35*13_000)*time.Millisecond/50, choice.PrefillTime)
}

// All routers lose power and restart, while the engines keep their caches. A restarted router that asks the engines sends each prompt to where it is cached, and estimates the wait from what is left to prefill. Without the lists every document would count as uncached.
func TestRestartedRouterUsesWhatEnginesHaveCached(t *testing.T) {
	p := enginePool(4)
	const documents = 12
	for i := range uint64(documents) {
		p.RecordCacheList("engine-"+strconv.Itoa(int(i)%4), []hwprompt.CachedSegment{
			{Model: "m", Segment: hwprompt.Segment{ID: i, Tokens: 13_000}},
		})
	}
	for i := range uint64(documents) {
		choice := choose(t, p, start, documentRequest(i, i))
		assert.Equal(t, "engine-"+strconv.Itoa(int(i)%4), choice.Upstream.ID)
		assert.Equal(t, 4_000, choice.PrefillTokens)
		assert.Empty(t, choice.FetchFrom)
	}
	p.RecordCacheList("unlisted", []hwprompt.CachedSegment{{Model: "m", Segment: hwprompt.Segment{ID: 1, Tokens: 1}}})
}
