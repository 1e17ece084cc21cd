package hwforward_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// withHeader adds header fields to the responses of a handler.
func withHeader(handler http.HandlerFunc, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		handler(w, r)
	}
}

// An upstream says in an answer that it leaves, and the list still shows it ready. It got requests until the list changed.
func TestAnUpstreamThatSaysItLeavesGetsNoFurtherRequests(t *testing.T) {
	for name, leaving := range map[string]http.HandlerFunc{
		"success":          respondOK,
		"stream":           respondEvents,
		"client error":     respondStatus(http.StatusNotFound),
		"server error":     respondStatus(http.StatusInternalServerError),
		"refusal":          respondStatus(http.StatusServiceUnavailable, "X-Not-Run", "1"),
		"unproven refusal": respondStatus(http.StatusServiceUnavailable),
		"unsigned":         func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Id", r.Header.Get("X-Id")) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, withHeader(leaving, "X-Leaving", "1"), respondEvents)
			for range 12 {
				f.call(http.MethodPost, "/resumable/1", "x")
				f.router.SetUpstreams(f.clock.now(), f.list, hwplace.EvacuatedZones{})
			}
			assert.LessOrEqual(t, f.requestCounts[0].Load(), int32(1))
			assert.Contains(t, f.log.String(), `"source":"answer"`)
			assert.Len(t, f.router.TakePeerUpdate(f.clock.now()).Leaving, 1, "the peers are told")
		})
	}
}

// advance lets time pass on both clocks, with the table confirmed at the end.
func (f *fixture) advance(d time.Duration) {
	f.clock.monotonic.Add(int64(d))
	f.clock.boot.Add(int64(d))
	f.confirm()
}

// A peer has heard that an upstream leaves.
func TestAPeersWordKeepsRequestsAwayForATime(t *testing.T) {
	f := newFixture(t, respondOK, respondOK)
	f.clock.stop()
	f.router.ApplyPeerUpdate(f.clock.now(), "peer", hwforward.PeerUpdate{
		Leaving: []hwplace.LifetimeHash{f.list[0].Lifetime().Hash()},
	})
	for range 8 {
		assert.Equal(t, http.StatusOK, f.call(http.MethodGet, "/safe/1", "").status)
	}
	assert.Zero(t, f.requestCounts[0].Load())
	f.advance(6 * time.Second)
	require.Eventually(t, func() bool {
		f.call(http.MethodGet, "/safe/1", "")
		return f.requestCounts[0].Load() > 0
	}, 2*time.Second, time.Millisecond, "without a word of its own it is used again")
}

// An upstream refuses with Retry-After. Retries and new requests pressed it all the same.
func TestAnUpstreamThatAsksForAPauseGetsNoFurtherRequests(t *testing.T) {
	f := newFixture(t, respondStatus(http.StatusServiceUnavailable, "X-Not-Run", "1", "X-Pause", "10"), respondOK)
	for range 12 {
		assert.Equal(t, http.StatusOK, f.call(http.MethodPost, "/order/1", "x").status)
	}
	assert.LessOrEqual(t, f.requestCounts[0].Load(), int32(1))
	assert.Contains(t, f.log.String(), "upstream-pausing")
}

// All upstreams of a pool pause. Callers are refused at once, truthfully, and come back after the first end.
func TestCallersOfAPausingPoolReturnAtTheEarliestEnd(t *testing.T) {
	var pausing atomic.Bool
	pausing.Store(true)
	pauses := func(seconds int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if pausing.Load() {
				respondStatus(http.StatusServiceUnavailable, "X-Not-Run", "1", "X-Pause", strconv.Itoa(seconds))(w, r)
				return
			}
			respondOK(w, r)
		}
	}
	f := newFixture(t, pauses(3600), pauses(4))
	f.clock.stop()
	f.call(http.MethodPost, "/order/1", "x")
	reached := f.totalRequests()
	assert.LessOrEqual(t, reached, 2)
	for range 10 {
		got := f.call(http.MethodPost, "/order/1", "x")
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.GreaterOrEqual(t, seconds, 4.0)
		assert.LessOrEqual(t, seconds, 5.0)
	}
	assert.Equal(t, reached, f.totalRequests(), "none of them reached an upstream")
	pausing.Store(false)
	f.advance(4500 * time.Millisecond)
	assert.Equal(t, http.StatusOK, f.call(http.MethodPost, "/order/1", "x").status)
}
