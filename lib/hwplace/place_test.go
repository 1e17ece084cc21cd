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

func engines(count int) *hwplace.Pool {
	p := hwplace.New(settings(), 500_000)
	p.SetUpstreams(upstreams("engine", count))
	return p
}

// report is a prompt of a long shared part and a part of its own.
func report(subject, own uint64) hwplace.Request {
	return hwplace.Request{
		Prompt: hwprompt.New("m", 17_000, []hwprompt.Segment{
			{ID: subject, Tokens: 13_000},
			{ID: 1<<40 + own, Tokens: 4_000},
		}),
		Random: float64(own%97) / 97,
	}
}

func choose(t *testing.T, p *hwplace.Pool, now time.Time, ask hwplace.Request) hwplace.Choice {
	t.Helper()
	choice, found := p.Choose(now, ask)
	require.True(t, found)
	return choice
}

// serve runs a request that is answered at once.
func serve(t *testing.T, p *hwplace.Pool, now time.Time, ask hwplace.Request) hwplace.Choice {
	choice := choose(t, p, now, ask)
	ticket := p.Start(now, choice, ask)
	p.RecordProgress(now, ticket)
	p.Finish(now, ticket, false)
	return choice
}

func Example() {
	pool := hwplace.New(settings(), 500_000)
	pool.SetUpstreams(upstreams("engine", 3))
	ask := report(1, 1)
	first, _ := pool.Choose(start, ask)
	ticket := pool.Start(start, first, ask)
	pool.RecordProgress(start.Add(200*time.Millisecond), ticket)
	pool.Finish(start.Add(time.Second), ticket, false)
	again, _ := pool.Choose(start.Add(time.Second), report(1, 2))
	fmt.Println(first.PrefillTokens, again.PrefillTokens, first.Upstream.ID == again.Upstream.ID)
	// Output: 17000 4000 true
}

// Pattern: many requests about a few long subjects. Each subject is read once.
func TestSubjectsAreReadOnce(t *testing.T) {
	p := engines(9)
	read := map[uint64]int{}
	places := map[string]bool{}
	for i := range uint64(650) {
		now := start.Add(time.Duration(i) * 40 * time.Millisecond)
		choice := serve(t, p, now, report(i%65, i))
		read[i%65] += choice.PrefillTokens - 4_000
		places[choice.Upstream.ID] = true
	}
	for subject, tokens := range read {
		assert.Equal(t, 13_000, tokens, "subject %d", subject)
	}
	assert.Len(t, places, 9, "subjects are spread over all engines")
}

// Routers that have not heard of each other send a subject to the same engine.
func TestRoutersAgreeOnAHomeWithoutAsking(t *testing.T) {
	for subject := range uint64(40) {
		assert.Equal(t,
			choose(t, engines(9), start, report(subject, 1)).Upstream.ID,
			choose(t, engines(9), start, report(subject, 2)).Upstream.ID)
	}
}

// Pattern: one hot subject. Its work spills to other engines, which fetch the part in place of reading it.
func TestAHotSubjectSpillsAndIsFetched(t *testing.T) {
	p := engines(9)
	home := serve(t, p, start, report(1, 0)).Upstream
	places := map[string]int{}
	for i := range uint64(60) {
		ask := report(1, i+1)
		choice := choose(t, p, start, ask)
		p.Start(start, choice, ask)
		if places[choice.Upstream.ID] == 0 && choice.Upstream.ID != home.ID {
			assert.NotEmpty(t, choice.FetchFrom, "the first request at another engine fetches")
		}
		places[choice.Upstream.ID]++
	}
	assert.Greater(t, len(places), 3)
	assert.Less(t, places[home.ID], 40)
}

func TestLeavingAndExcludedUpstreamsGetNothing(t *testing.T) {
	p := engines(3)
	list := upstreams("engine", 3)
	list[0].Draining = true
	_, _, leaving := p.SetUpstreams(list)
	assert.Equal(t, []string{"engine-0"}, leaving)
	for i := range uint64(50) {
		ask := report(i, i)
		ask.Excluded = []string{"engine-1"}
		assert.Equal(t, "engine-2", choose(t, p, start, ask).Upstream.ID)
	}
	ask := report(1, 1)
	ask.Excluded = []string{"engine-1", "engine-2"}
	_, found := p.Choose(start, ask)
	assert.False(t, found)
}

// A replica that starts again under its old id holds nothing of before.
func TestAnotherStartForgetsTheCache(t *testing.T) {
	p := engines(1)
	serve(t, p, start, report(1, 1))
	assert.Equal(t, 4_000, choose(t, p, start, report(1, 2)).PrefillTokens)
	list := upstreams("engine", 1)
	list[0].Incarnation = 5
	added, _, _ := p.SetUpstreams(list)
	assert.Equal(t, []string{"engine-0"}, added)
	assert.Equal(t, 17_000, choose(t, p, start, report(1, 2)).PrefillTokens)
}

// Pattern: a fifth of the engines goes dark. Nothing more goes there once it has been silent for a while, and it comes back with its first sign.
func TestSilentEnginesAreAvoidedUntilTheyAnswer(t *testing.T) {
	p := engines(5)
	dark := serve(t, p, start, report(1, 1)).Upstream.ID
	ask := report(1, 2)
	ticket := p.Start(start, choose(t, p, start, ask), ask)
	require.Equal(t, dark, ticket.Upstream)
	later := start.Add(3 * time.Second)
	assert.NotEqual(t, dark, choose(t, p, later, report(1, 3)).Upstream.ID)
	p.RecordProgress(later, ticket)
	p.Finish(later, ticket, false)
	assert.Equal(t, dark, choose(t, p, later, report(1, 3)).Upstream.ID)
}

// Pattern: replicas that fail part of their requests though they are up.
func TestFailingUpstreamsAreAvoidedAndTriedAgain(t *testing.T) {
	p := hwplace.New(settings(), 0)
	p.SetUpstreams(upstreams("service", 3))
	for range 3 {
		ask := hwplace.Request{}
		choice := hwplace.Choice{Upstream: upstreams("service", 1)[0]}
		p.Finish(start, p.Start(start, choice, ask), true)
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

// Work that other routers have sent counts like the router's own, until they fall silent.
func TestPeersWorkCounts(t *testing.T) {
	p := engines(2)
	busy := serve(t, p, start, report(1, 1)).Upstream.ID
	p.SetPeerLoads(start, "router-2", []hwplace.PeerLoad{{Upstream: hwplace.HashID(busy), PendingTokens: 100_000, Running: 20}})
	choice := choose(t, p, start, report(1, 2))
	assert.NotEqual(t, busy, choice.Upstream.ID)
	assert.Equal(t, busy, choose(t, p, start.Add(time.Minute), report(1, 2)).Upstream.ID)
}

// The wait is the work ahead, not the request's own reading.
func TestTheWaitIsTheWorkAhead(t *testing.T) {
	p := engines(1)
	assert.Zero(t, choose(t, p, start, report(1, 1)).QueueWait)
	ask := report(1, 1)
	p.Start(start, choose(t, p, start, ask), ask)
	assert.Equal(t, 340*time.Millisecond, choose(t, p, start, report(2, 2)).QueueWait, "17,000 tokens at 50 a millisecond")
}

// An upstream that says that its machine is slow gets less.
func TestSlowUpstreamsGetLess(t *testing.T) {
	p := hwplace.New(settings(), 0)
	p.SetUpstreams(upstreams("service", 3))
	for i := range 10 {
		p.RecordLoad(start.Add(time.Duration(i)*100*time.Millisecond), "service-1", hwplace.Load{Slots: 6, SlowdownPercent: 500})
	}
	for i := range 50 {
		assert.NotEqual(t, "service-1", choose(t, p, start.Add(time.Second), hwplace.Request{Random: float64(i) / 50}).Upstream.ID)
	}
}

// Whatever the order of answers and ends, nothing is counted twice.
func TestTicketsSettleOnce(t *testing.T) {
	p := engines(1)
	ask := report(1, 1)
	ticket := p.Start(start, choose(t, p, start, ask), ask)
	for range 2 {
		p.RecordProgress(start, ticket)
	}
	assert.Len(t, p.LocalLoads(), 1)
	for range 2 {
		p.Finish(start, ticket, false)
	}
	assert.Empty(t, p.LocalLoads())
	assert.Zero(t, choose(t, p, start, report(2, 2)).QueueWait)
}

// Pattern: upstreams are replaced one after the other. What one that leaves has read is fetched from it in place of being read again.
func TestPartsAreFetchedFromALeavingUpstream(t *testing.T) {
	p := engines(3)
	holder := serve(t, p, start, report(1, 1)).Upstream
	list := upstreams("engine", 3)
	for i := range list {
		list[i].Draining = list[i].ID == holder.ID
	}
	p.SetUpstreams(list)
	choice := choose(t, p, start, report(1, 2))
	assert.NotEqual(t, holder.ID, choice.Upstream.ID)
	assert.Equal(t, holder.Address, choice.FetchFrom)
	assert.Equal(t, 4_000, choice.PrefillTokens)
	assert.Equal(t, time.Duration(4_000+0.35*13_000)*time.Millisecond/50, choice.PrefillTime)
}
