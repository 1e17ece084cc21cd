package hwforward_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Pattern: a part of the upstreams crashes, or is full, in a crest. What they don't take is admitted again where it goes next, and does not pile up there.
func TestWhatNoUpstreamTookIsAdmittedAgain(t *testing.T) {
	release := make(chan struct{})
	var arrived atomic.Int32
	w := newWorldWith(t, func(s *settings) { s.RetryReserve = 50 }, status(http.StatusServiceUnavailable, "X-Not-Run", "1"), func(rw http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		<-release
		good(rw, r)
	})
	ended := make(chan result, 6)
	for n := range 6 {
		go func() { ended <- w.call(http.MethodPost, "/order/1", "x") }()
		require.Eventually(t, func() bool { return arrived.Load() == int32(n+1) }, 2*time.Second, time.Millisecond)
	}
	began := time.Now()
	got := w.call(http.MethodPost, "/order/1", "x")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Less(t, time.Since(began), time.Second, "at once")
	assert.EqualValues(t, 6, arrived.Load(), "the upstream with six slots got no seventh")
	close(release)
	for range 6 {
		assert.Equal(t, http.StatusOK, (<-ended).status)
	}
}

// Pattern: the store turns this router away and serves the others. It serves on with what they pass on, but callers are sent elsewhere.
func TestARouterThatIsCutOffServesOnAndSendsCallersElsewhere(t *testing.T) {
	w := newWorld(t, good)
	require.True(t, w.router.Ready(w.clock.now()))
	w.router.SetCutOff(true)
	assert.False(t, w.router.Ready(w.clock.now()))
	assert.Equal(t, http.StatusOK, w.call(http.MethodPost, "/order/1", "x").status)
	response, err := http.Get(w.front.URL + "/nowhere/")
	require.NoError(t, err)
	assert.True(t, response.Close, "the caller is to connect anew")
	require.NoError(t, response.Body.Close())
	assert.Contains(t, w.log.String(), "cut-off-changed")
	w.router.SetCutOff(false)
	assert.True(t, w.router.Ready(w.clock.now()))
}
