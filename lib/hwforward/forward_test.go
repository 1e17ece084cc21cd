package hwforward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

func TestTheRequestGoesUnchangedAndTheAnswerComesBackWhole(t *testing.T) {
	var seen http.Header
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		body, _ := io.ReadAll(r.Body)
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		rw.Header().Set("X-Signed", "sig")
		_, _ = io.WriteString(rw, r.Method+" "+r.RequestURI+" "+r.Host+" "+string(body))
	})
	got := w.call(http.MethodPost, "/order/a//b/../c%2f?q=1&q=2", "the body", "X-Account", "forged", "X-Other", "kept")
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, "POST /order/a//b/../c%2f?q=1&q=2 "+host+" the body", got.body)
	assert.Equal(t, "sig", got.header.Get("X-Signed"))
	assert.Equal(t, "harbour", seen.Get("X-Account"), "the account is the key's, whatever the caller says")
	assert.Equal(t, "u0", seen.Get("X-Expect"))
	assert.Equal(t, "kept", seen.Get("X-Other"))
	assert.Empty(t, seen.Get("X-Key"), "upstreams never see keys")
	left, err := strconv.Atoi(seen.Get("X-Left"))
	require.NoError(t, err)
	assert.LessOrEqual(t, left, 2000)
}

// What can't be proved not to have run is never promised, and what must not run twice is sent once.
func TestARequestThatMustNotRunTwice(t *testing.T) {
	for name, c := range map[string]struct {
		first http.HandlerFunc
		want  int
		runs  int
	}{
		"broken connection":           {first: breaks, want: http.StatusBadGateway, runs: 1},
		"503 without a statement":     {first: status(http.StatusServiceUnavailable), want: http.StatusBadGateway, runs: 1},
		"429 without a statement":     {first: status(http.StatusTooManyRequests), want: http.StatusBadGateway, runs: 1},
		"its own failure":             {first: status(http.StatusInternalServerError), want: http.StatusInternalServerError, runs: 1},
		"503 that says it did not":    {first: status(http.StatusServiceUnavailable, "X-Not-Run", "1"), want: http.StatusServiceUnavailable, runs: 3},
		"an answer without signature": {first: func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "x") }, want: http.StatusBadGateway, runs: 1},
		"an encoded answer":           {first: status(http.StatusOK, "Content-Encoding", "gzip"), want: http.StatusBadGateway, runs: 1},
		"another request's answer": {first: func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("X-Id", "another")
			rw.Header().Set("X-Signed", "1")
			// Its own answer is waited for, and never comes.
		}, want: http.StatusGatewayTimeout, runs: 1},
		"a body that breaks off": {first: func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Length", "100")
			good(rw, r)
			panic(http.ErrAbortHandler)
		}, want: http.StatusBadGateway, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, c.first, c.first)
			got := w.call(http.MethodPost, "/order/1", "x", "X-Left", "1000")
			assert.Equal(t, c.want, got.status)
			assert.True(t, got.whole)
			assert.Equal(t, c.runs, w.runs())
			if got.status != http.StatusInternalServerError {
				assert.Empty(t, got.header.Get("X-Signed"), "a failure of the router's own carries no upstream's signature")
			}
		})
	}
}

func TestARefusalByAnUpstreamSendsTheRequestElsewhere(t *testing.T) {
	refusing := status(http.StatusServiceUnavailable, "X-Not-Run", "1")
	w := newWorld(t, refusing, good)
	for range 5 {
		assert.Equal(t, http.StatusOK, w.call(http.MethodPost, "/order/1", "x").status)
	}
}

func TestASafeRequestIsRepeatedElsewhere(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"broken connection": breaks,
		"failure":           status(http.StatusInternalServerError),
		"unsigned answer":   func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "x") },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, first, good)
			for range 4 {
				got := w.call(http.MethodGet, "/safe/1", "")
				assert.Equal(t, http.StatusOK, got.status)
				assert.Equal(t, "good /safe/1", got.body)
			}
		})
	}
}

// Pattern: replicas that take requests and never answer. A safe request goes elsewhere in time, and the silent upstream is avoided.
func TestASafeRequestLeavesASilentUpstream(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	w := newWorld(t, silent, good)
	for range 8 {
		got := w.call(http.MethodGet, "/safe/1", "")
		assert.Equal(t, http.StatusOK, got.status)
	}
	assert.Less(t, w.served[0].Load(), int32(5))
}

// A safe request runs at most as often as its route allows, and the last upstream's own failure is relayed as it is.
func TestMaxAttemptsBoundsTheRuns(t *testing.T) {
	failing := status(http.StatusInternalServerError)
	w := newWorld(t, failing, failing, failing, failing)
	got := w.call(http.MethodGet, "/safe/1", "")
	assert.Equal(t, http.StatusInternalServerError, got.status)
	assert.Equal(t, "failure", got.body)
	assert.Equal(t, 2, w.runs())
}

// Pattern: every upstream fails everything. What is sent again stays within the budget.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	failing := status(http.StatusInternalServerError)
	w := newWorld(t, failing, failing, failing)
	const requests = 60
	for range requests {
		w.call(http.MethodGet, "/safe/1", "")
	}
	assert.LessOrEqual(t, w.runs(), requests+5+requests/10+2, "the reserve, a tenth of the requests, and what trickles in")
}

func TestAnUpstreamThatCannotBeReachedHandsNothingOver(t *testing.T) {
	w := newWorld(t, good, good)
	w.upstream[0].Close()
	for range 6 {
		assert.Equal(t, http.StatusOK, w.call(http.MethodPost, "/order/1", "x").status)
	}
	w.upstream[1].Close()
	got := w.call(http.MethodPost, "/order/1", "x")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Contains(t, got.body, `"execution":"not-run"`)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
}

func TestTheRoutesTimeEndsARequest(t *testing.T) {
	w := newWorld(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-r.Context().Done()
	})
	began := time.Now()
	got := w.call(http.MethodPost, "/order/1", "", "X-Left", "60000")
	assert.Equal(t, http.StatusGatewayTimeout, got.status)
	assert.GreaterOrEqual(t, time.Since(began), 2*time.Second)
	assert.Contains(t, got.body, `"execution":"unknown"`)
}

func TestACallerThatGoesStopsTheRun(t *testing.T) {
	stopped := make(chan struct{})
	arrived := make(chan struct{})
	w := newWorld(t, func(_ http.ResponseWriter, r *http.Request) {
		// A server notices a closed connection once it has read the body.
		_, _ = io.ReadAll(r.Body)
		close(arrived)
		<-r.Context().Done()
		close(stopped)
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.front.URL+"/order/1", strings.NewReader("x"))
	require.NoError(t, err)
	request.Host = host
	request.Header.Set("X-Key", "key")
	go func() {
		<-arrived
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(request)
	require.Error(t, err)
	<-stopped
}

func TestKeysAndRoutes(t *testing.T) {
	w := newWorld(t, good)
	assert.Equal(t, http.StatusUnauthorized, w.call(http.MethodGet, "/safe/1", "", "X-Key", "wrong").status)
	assert.Equal(t, http.StatusNotFound, w.call(http.MethodGet, "/none/1", "").status)
	assert.Equal(t, http.StatusOK, w.call(http.MethodGet, "/public/1", "", "X-Key", "").status)
	// A newer version takes the key away, and an older one never comes back.
	assert.True(t, w.router.SetTable(w.clock.now(), table(3, "other")))
	assert.False(t, w.router.SetTable(w.clock.now(), table(2, "key")))
	assert.Equal(t, http.StatusUnauthorized, w.call(http.MethodGet, "/safe/1", "").status)
}

// A router that can't confirm its table refuses what asks for a key, by either clock: the steady one leaves out suspended time.
func TestKeysNeedAFreshTable(t *testing.T) {
	for name, pass := range map[string]func(*clock){
		"cut off":   func(c *clock) { c.steady.Add(int64(5 * time.Second)); c.boot.Add(int64(5 * time.Second)) },
		"suspended": func(c *clock) { c.boot.Add(int64(5 * time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, good)
			assert.True(t, w.router.Ready(w.clock.now()))
			pass(w.clock)
			assert.False(t, w.router.Ready(w.clock.now()))
			got := w.call(http.MethodGet, "/safe/1", "")
			assert.Equal(t, http.StatusServiceUnavailable, got.status)
			assert.NotEmpty(t, got.header.Get("Retry-After"))
			assert.Equal(t, http.StatusOK, w.call(http.MethodGet, "/public/1", "", "X-Key", "").status)
			assert.Equal(t, http.StatusServiceUnavailable, w.call(http.MethodGet, "/none/1", "").status, "the route may be new")
			w.confirm()
			assert.Equal(t, http.StatusOK, w.call(http.MethodGet, "/safe/1", "").status)
		})
	}
}

func TestAStoppingRouterServesForItsDrainTimeAndThenRefuses(t *testing.T) {
	w := newWorld(t, good)
	w.router.StartDraining(w.clock.now())
	assert.False(t, w.router.Ready(w.clock.now()))
	got := w.call(http.MethodGet, "/safe/1", "")
	assert.Equal(t, http.StatusOK, got.status)
	w.clock.steady.Add(int64(1100 * time.Millisecond))
	got = w.call(http.MethodGet, "/safe/1", "")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Contains(t, got.body, `"execution":"not-run"`)
}

func TestAFlawedBodyIsRefused(t *testing.T) {
	w := newWorld(t, good)
	assert.Equal(t, http.StatusRequestEntityTooLarge, w.call(http.MethodPost, "/order/1", strings.Repeat("x", 1<<20+1)).status)
	assert.Zero(t, w.runs())
}

// streamEvents is the number of events of a whole stream.
const streamEvents = 20

// stream answers with events from the id after the caller's last one, and stops as told.
func stream(breakAfter int, torn bool) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		rw.Header().Set("X-Signed", "sig-of-"+r.Header.Get("X-Expect"))
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.WriteHeader(http.StatusOK)
		control := http.NewResponseController(rw)
		for id := first + 1; id <= streamEvents; id++ {
			if breakAfter > 0 && id > breakAfter {
				if torn {
					_, _ = fmt.Fprintf(rw, "id: %d\ndata: ha", id)
					_ = control.Flush()
				}
				panic(http.ErrAbortHandler)
			}
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: %d\n\n", id, id)
			_ = control.Flush()
		}
	}
}

func events(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", id, id)
	}
	return b.String()
}

func TestAStreamIsRelayed(t *testing.T) {
	w := newWorld(t, stream(0, false))
	got := w.call(http.MethodPost, "/stream/1", "x")
	assert.True(t, got.whole)
	assert.Equal(t, events(1, streamEvents), got.body)
	assert.Equal(t, "sig-of-u0", got.header.Get("X-Signed"))
}

// A stream that may not resume and breaks off looks cut to its caller, with whole events only, and never runs again.
func TestABrokenStreamLooksCut(t *testing.T) {
	w := newWorld(t, stream(7, true), stream(7, true))
	got := w.call(http.MethodPost, "/stream/1", "x")
	assert.False(t, got.whole)
	assert.Equal(t, events(1, 7), got.body)
	assert.Equal(t, 1, w.runs())
}

// A stream that may resume goes on at another upstream, within one answer that keeps its first head, without a gap or a repeat.
func TestAResumableStreamGoesOnElsewhere(t *testing.T) {
	for _, torn := range []bool{false, true} {
		var first atomic.Bool
		either := func(rw http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(false, true) {
				stream(7, torn)(rw, r)
				return
			}
			stream(0, false)(rw, r)
		}
		w := newWorld(t, either, either)
		got := w.call(http.MethodPost, "/resumable/1", "x")
		assert.True(t, got.whole)
		assert.Equal(t, events(1, streamEvents), got.body)
		assert.Equal(t, 2, w.runs())
		for _, count := range w.served {
			assert.EqualValues(t, 1, count.Load(), "each upstream runs it once")
		}
	}
}

// A resumed stream that begins too early does not repeat events.
func TestAResumedStreamRepeatsNothing(t *testing.T) {
	var first atomic.Bool
	either := func(rw http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			stream(7, false)(rw, r)
			return
		}
		r.Header.Del("Last-Event-Id")
		stream(0, false)(rw, r)
	}
	w := newWorld(t, either, either)
	assert.Equal(t, events(1, streamEvents), w.call(http.MethodPost, "/resumable/1", "x").body)
}

// A stream that has begun and can't go on looks cut: no refusal and no upstream's failure is ever written into it.
func TestAStreamThatCannotGoOnLooksCut(t *testing.T) {
	var w *world
	var first atomic.Bool
	leaves := func(rw http.ResponseWriter, r *http.Request) {
		w.router.SetUpstreams(w.clock.now(), nil)
		stream(7, false)(rw, r)
	}
	fails := func(code int) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(false, true) {
				stream(7, false)(rw, r)
				return
			}
			status(code)(rw, r)
		}
	}
	for name, handler := range map[string]http.HandlerFunc{
		"no upstream is left":    leaves,
		"the next one fails":     fails(http.StatusInternalServerError),
		"the next one refuses":   fails(http.StatusNotFound),
		"the next one is no SSE": fails(http.StatusNoContent),
	} {
		t.Run(name, func(t *testing.T) {
			first.Store(false)
			w = newWorld(t, handler, handler)
			got := w.call(http.MethodPost, "/resumable/1", "x")
			assert.False(t, got.whole)
			assert.Equal(t, events(1, 7), got.body)
		})
	}
}

func TestACallerMayResumeItself(t *testing.T) {
	w := newWorld(t, stream(0, false))
	assert.Equal(t, events(6, streamEvents), w.call(http.MethodPost, "/resumable/1", "x", "Last-Event-Id", "5").body)
}

// Pattern: a request that crashes every upstream that runs it. It is stopped after two, here and at a router that hears of it.
func TestARequestThatCrashesUpstreamsIsStopped(t *testing.T) {
	crash := func(i int, w **world) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.RequestURI, "deadly") {
				// The listener goes with the process.
				_ = (*w).upstream[i].Listener.Close()
				panic(http.ErrAbortHandler)
			}
			good(rw, r)
		}
	}
	var w *world
	w = newWorld(t, crash(0, &w), crash(1, &w), crash(2, &w))
	other := newWorld(t, good)
	for range 2 {
		assert.Equal(t, http.StatusBadGateway, w.call(http.MethodPost, "/order/deadly", "x").status)
		// Whether the upstream crashed is looked up just after.
		time.Sleep(200 * time.Millisecond)
	}
	before := w.runs()
	got := w.call(http.MethodPost, "/order/deadly", "x")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, before, w.runs())
	assert.Equal(t, http.StatusOK, w.call(http.MethodPost, "/order/fine", "x").status)
	assert.Contains(t, w.log.String(), `"name":"request-quarantined"`)

	other.router.ApplyPeerUpdate(other.clock.now(), "w", w.router.TakePeerUpdate(w.clock.now()))
	assert.Equal(t, http.StatusServiceUnavailable, other.call(http.MethodPost, "/order/deadly", "x").status)
	assert.Zero(t, other.runs())
}

// A connection that breaks at an upstream that still listens is no strike, however often it happens.
func TestBrokenConnectionsAloneAreNoStrikes(t *testing.T) {
	w := newWorld(t, breaks, breaks, breaks)
	for range 4 {
		w.call(http.MethodPost, "/order/unlucky", "x")
		time.Sleep(60 * time.Millisecond)
	}
	assert.Equal(t, http.StatusBadGateway, w.call(http.MethodPost, "/order/unlucky", "x").status)
}

func TestAnUpstreamThatLeavesGetsNothingMore(t *testing.T) {
	w := newWorld(t, good, good)
	list := make([]hwplace.Upstream, 0, len(w.upstream))
	for i, u := range w.upstream {
		list = append(list, hwplace.Upstream{
			ID:       "u" + strconv.Itoa(i),
			Address:  u.Listener.Addr().String(),
			Pool:     "ledger",
			Slots:    6,
			Draining: i == 0,
		})
	}
	w.router.SetUpstreams(w.clock.now(), list)
	for range 10 {
		assert.Equal(t, http.StatusOK, w.call(http.MethodGet, "/safe/1", "").status)
	}
	assert.Zero(t, w.served[0].Load())
}

// Each way that a request ends writes one line that names it and says why.
func TestEveryEndIsLogged(t *testing.T) {
	w := newWorld(t, good)
	w.call(http.MethodGet, "/safe/1", "", "X-Id", "id-good")
	w.call(http.MethodGet, "/none/1", "", "X-Id", "id-none")
	for id, event := range map[string]string{"id-good": "request-finished", "id-none": "request-refused"} {
		found := 0
		for line := range strings.Lines(w.log.String()) {
			if strings.Contains(line, `"request-id":"`+id+`"`) {
				assert.Contains(t, line, `"name":"`+event+`"`)
				found++
			}
		}
		assert.Equal(t, 1, found, id)
	}
}

func TestMetricsCountEnds(t *testing.T) {
	w := newWorld(t, good)
	w.call(http.MethodGet, "/safe/1", "")
	w.call(http.MethodGet, "/none/1", "")
	var b strings.Builder
	w.router.WriteMetrics(&b, w.clock.now())
	for _, line := range []string{
		"hickorywick_requests_total 2\n",
		`hickorywick_requests_ended_total{end="request-finished"} 1`,
		`hickorywick_requests_ended_total{end="unknown-route"} 1`,
		"hickorywick_first_byte_milliseconds_count 1\n",
		`hickorywick_pool_upstreams{pool="ledger"} 1`,
	} {
		assert.Contains(t, b.String(), line)
	}
}
