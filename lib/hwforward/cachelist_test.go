package hwforward_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtable"
)

// useEngines replaces the pool of the table by one of engines.
func (f *fixture) useEngines() {
	f.router.SetTable(f.clock.now(), hwtable.New(hwtable.Config{
		Version:  2,
		Routes:   routes(),
		Pools:    []hwtable.Pool{{Name: "ledger", Engine: &hwtable.Engine{Slots: 6, CacheTokens: 500_000}}},
		Accounts: []hwtable.Account{{Name: "harbour", APIKeys: []string{"key"}}},
	}))
	f.confirm()
}

// A router starts while the engines have prompts cached. It asks each engine once, and a cached prompt counts as prefilled.
func TestStartingRouterAsksEnginesWhatTheyHaveCached(t *testing.T) {
	f := newFixture(t, respondOK, respondOK)
	f.cacheList = "9000"
	f.useEngines()
	require.Eventually(t, func() bool { return strings.Count(f.log.String(), "cache-listed") == 2 }, 5*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, f.call(http.MethodGet, "/safe/1", "", "X-Tokens", "9000").status)
	assert.Contains(t, f.log.String(), `"read-tokens":0`)
	f.router.SetUpstreams(f.clock.now(), f.list, hwplace.EvacuatedZones{})
	require.NoError(t, f.router.Close())
	assert.EqualValues(t, 2, f.cacheQueries.Load())
}

// A router that gets no list serves requests as before.
func TestUnreadableCacheListIsLogged(t *testing.T) {
	f := newFixture(t, respondOK)
	f.cacheList = "nothing"
	f.useEngines()
	require.Eventually(t, func() bool { return strings.Contains(f.log.String(), "cache-not-listed") }, 5*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, f.call(http.MethodGet, "/safe/1", "", "X-Tokens", "9000").status)
	assert.Contains(t, f.log.String(), `"read-tokens":9000`)
}

// A router that starts while a segment crashes engines must not take the segments that come with it for guilty.
func TestSegmentsThatEnginesListAreNoSuspects(t *testing.T) {
	f := newFixture(t, respondOK)
	f.cacheList = "9000"
	f.useEngines()
	require.Eventually(t, func() bool { return strings.Contains(f.log.String(), "cache-listed") }, 5*time.Second, time.Millisecond)
	now := f.clock.now()
	for upstream := range hwquarantine.UpstreamHash(2) {
		f.router.RecordCrash(now, upstream, f.segment(1), f.segment(crashingSegment))
	}
	assert.Contains(t, f.log.String(), `"segment":"`+f.segment(crashingSegment).String()+`"`)
	assert.NotContains(t, f.log.String(), `"segment":"`+f.segment(1).String()+`"`)
}
