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

func TestRequestAndResponseAreRelayedUnchanged(t *testing.T) {
	var forwarded http.Header
	f := newFixture(t, func(rw http.ResponseWriter, r *http.Request) {
		forwarded = r.Header.Clone()
		body, _ := io.ReadAll(r.Body)
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		rw.Header().Set("X-Signed", "sig")
		_, _ = io.WriteString(rw, r.Method+" "+r.RequestURI+" "+r.Host+" "+string(body))
	})
	got := f.call(http.MethodPost, "/order/a//b/../c%2f?q=1&q=2", "the body", "X-Account", "forged", "X-Other", "kept")
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, "POST /order/a//b/../c%2f?q=1&q=2 "+host+" the body", got.body)
	assert.Equal(t, "sig", got.header.Get("X-Signed"))
	assert.Equal(t, "harbour", forwarded.Get("X-Account"), "the account is that of the key, whatever the client claims")
	assert.Equal(t, "u0", forwarded.Get("X-Expect"))
	assert.Equal(t, "kept", forwarded.Get("X-Other"))
	assert.Empty(t, forwarded.Get("X-Key"), "keys are never forwarded")
	left, err := strconv.Atoi(forwarded.Get("X-Left"))
	require.NoError(t, err)
	assert.LessOrEqual(t, left, 2000)
}

// A request that is not idempotent must be sent only once if it may have been executed, and the router must not claim that it was not executed unless that is proved.
func TestNonIdempotentRequestIsNotRetriedAfterPossibleExecution(t *testing.T) {
	for name, c := range map[string]struct {
		handler    http.HandlerFunc
		wantStatus int
		wantCount  int
	}{
		"broken connection":     {handler: abortConnection, wantStatus: http.StatusBadGateway, wantCount: 1},
		"503 without X-Not-Run": {handler: respondStatus(http.StatusServiceUnavailable), wantStatus: http.StatusBadGateway, wantCount: 1},
		"429 without X-Not-Run": {handler: respondStatus(http.StatusTooManyRequests), wantStatus: http.StatusBadGateway, wantCount: 1},
		"error of the upstream": {handler: respondStatus(http.StatusInternalServerError), wantStatus: http.StatusInternalServerError, wantCount: 1},
		"503 with X-Not-Run":    {handler: respondStatus(http.StatusServiceUnavailable, "X-Not-Run", "1"), wantStatus: http.StatusServiceUnavailable, wantCount: 3},
		"unsigned response":     {handler: func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "x") }, wantStatus: http.StatusBadGateway, wantCount: 1},
		"encoded response":      {handler: respondStatus(http.StatusOK, "Content-Encoding", "gzip"), wantStatus: http.StatusBadGateway, wantCount: 1},
		"response to another request": {handler: func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("X-Id", "another")
			rw.Header().Set("X-Signed", "1")
			// The router waits for the response to its own request, which never arrives.
		}, wantStatus: http.StatusGatewayTimeout, wantCount: 1},
		"truncated body": {handler: func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Length", "100")
			respondOK(rw, r)
			panic(http.ErrAbortHandler)
		}, wantStatus: http.StatusBadGateway, wantCount: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.handler, c.handler)
			got := f.call(http.MethodPost, "/order/1", "x", "X-Left", "1000")
			assert.Equal(t, c.wantStatus, got.status)
			assert.True(t, got.complete)
			assert.Equal(t, c.wantCount, f.totalRequests())
			if got.status != http.StatusInternalServerError {
				assert.Empty(t, got.header.Get("X-Signed"), "an error of the router itself carries no signature of an upstream")
			}
		})
	}
}

func TestRequestRefusedByUpstreamIsSentToAnother(t *testing.T) {
	refusing := respondStatus(http.StatusServiceUnavailable, "X-Not-Run", "1")
	f := newFixture(t, refusing, respondOK)
	for range 5 {
		assert.Equal(t, http.StatusOK, f.call(http.MethodPost, "/order/1", "x").status)
	}
}

func TestIdempotentRequestIsRetriedAtAnotherUpstream(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"broken connection": abortConnection,
		"error":             respondStatus(http.StatusInternalServerError),
		"unsigned response": func(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "x") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, first, respondOK)
			for range 4 {
				got := f.call(http.MethodGet, "/safe/1", "")
				assert.Equal(t, http.StatusOK, got.status)
				assert.Equal(t, "good /safe/1", got.body)
			}
		})
	}
}

// An upstream accepts requests and never responds. An idempotent request must be retried at another upstream before its deadline, and the unresponsive upstream must be avoided afterwards.
func TestIdempotentRequestIsRetriedIfUpstreamDoesNotRespond(t *testing.T) {
	unresponsive := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	f := newFixture(t, unresponsive, respondOK)
	for range 8 {
		got := f.call(http.MethodGet, "/safe/1", "")
		assert.Equal(t, http.StatusOK, got.status)
	}
	assert.Less(t, f.requestCounts[0].Load(), int32(5))
}

// An idempotent request is executed at most MaxAttempts times, and the error of the last upstream is relayed unchanged.
func TestMaxAttemptsLimitsExecutions(t *testing.T) {
	failing := respondStatus(http.StatusInternalServerError)
	f := newFixture(t, failing, failing, failing, failing)
	got := f.call(http.MethodGet, "/safe/1", "")
	assert.Equal(t, http.StatusInternalServerError, got.status)
	assert.Equal(t, "failure", got.body)
	assert.Equal(t, 2, f.totalRequests())
}

// Every upstream fails every request. The retries must stay within the retry budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	failing := respondStatus(http.StatusInternalServerError)
	f := newFixture(t, failing, failing, failing)
	const requests = 60
	for range requests {
		f.call(http.MethodGet, "/safe/1", "")
	}
	assert.LessOrEqual(t, f.totalRequests(), requests+5+requests/10+2, "the reserve of 5, a tenth of the requests, and the refill of the reserve")
}

func TestRequestToUnreachableUpstreamIsNotExecuted(t *testing.T) {
	f := newFixture(t, respondOK, respondOK)
	f.upstreams[0].Close()
	for range 6 {
		assert.Equal(t, http.StatusOK, f.call(http.MethodPost, "/order/1", "x").status)
	}
	f.upstreams[1].Close()
	got := f.call(http.MethodPost, "/order/1", "x")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Contains(t, got.body, `"execution":"not-run"`)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
}

func TestRouteTimeoutEndsRequest(t *testing.T) {
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		<-r.Context().Done()
	})
	began := time.Now()
	got := f.call(http.MethodPost, "/order/1", "", "X-Left", "60000")
	assert.Equal(t, http.StatusGatewayTimeout, got.status)
	assert.GreaterOrEqual(t, time.Since(began), 2*time.Second)
	assert.Contains(t, got.body, `"execution":"unknown"`)
}

func TestClientDisconnectCancelsUpstreamRequest(t *testing.T) {
	stopped := make(chan struct{})
	arrived := make(chan struct{})
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		// The server detects a closed connection only after it has read the body.
		_, _ = io.ReadAll(r.Body)
		close(arrived)
		<-r.Context().Done()
		close(stopped)
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+"/order/1", strings.NewReader("x"))
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

func TestAuthenticationAndRouteMatching(t *testing.T) {
	f := newFixture(t, respondOK)
	assert.Equal(t, http.StatusUnauthorized, f.call(http.MethodGet, "/safe/1", "", "X-Key", "wrong").status)
	assert.Equal(t, http.StatusNotFound, f.call(http.MethodGet, "/none/1", "").status)
	assert.Equal(t, http.StatusOK, f.call(http.MethodGet, "/public/1", "", "X-Key", "").status)
	// A newer version removes the key. An older version must not be activated afterwards.
	assert.True(t, f.router.SetTable(f.clock.now(), newTable(3, "other")))
	assert.False(t, f.router.SetTable(f.clock.now(), newTable(2, "key")))
	assert.Equal(t, http.StatusUnauthorized, f.call(http.MethodGet, "/safe/1", "").status)
}

// A router that has not confirmed its table recently must refuse requests that need a key. Either clock may show this: the monotonic clock does not count the time during which the machine is suspended.
func TestAuthenticationRequiresRecentlyConfirmedTable(t *testing.T) {
	for name, advance := range map[string]func(*testClock){
		"cut off":   func(c *testClock) { c.monotonic.Add(int64(5 * time.Second)); c.boot.Add(int64(5 * time.Second)) },
		"suspended": func(c *testClock) { c.boot.Add(int64(5 * time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, respondOK)
			assert.True(t, f.router.Ready(f.clock.now()))
			advance(f.clock)
			assert.False(t, f.router.Ready(f.clock.now()))
			got := f.call(http.MethodGet, "/safe/1", "")
			assert.Equal(t, http.StatusServiceUnavailable, got.status)
			assert.NotEmpty(t, got.header.Get("Retry-After"))
			assert.Equal(t, http.StatusOK, f.call(http.MethodGet, "/public/1", "", "X-Key", "").status)
			assert.Equal(t, http.StatusServiceUnavailable, f.call(http.MethodGet, "/none/1", "").status, "a newer table may define the route")
			f.confirm()
			assert.Equal(t, http.StatusOK, f.call(http.MethodGet, "/safe/1", "").status)
		})
	}
}

func TestDrainingRouterRefusesRequestsAfterDrainTime(t *testing.T) {
	f := newFixture(t, respondOK)
	f.router.StartDraining(f.clock.now())
	assert.False(t, f.router.Ready(f.clock.now()))
	got := f.call(http.MethodGet, "/safe/1", "")
	assert.Equal(t, http.StatusOK, got.status)
	f.clock.monotonic.Add(int64(1100 * time.Millisecond))
	got = f.call(http.MethodGet, "/safe/1", "")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Contains(t, got.body, `"execution":"not-run"`)
}

func TestTooLargeRequestBodyIsRefused(t *testing.T) {
	f := newFixture(t, respondOK)
	assert.Equal(t, http.StatusRequestEntityTooLarge, f.call(http.MethodPost, "/order/1", strings.Repeat("x", 1<<20+1)).status)
	assert.Zero(t, f.totalRequests())
}

// streamLength is the number of events of a complete stream.
const streamLength = 20

// streamHandler responds with the events that follow Last-Event-Id. If breakAfter is above 0, it closes the connection after that event; with partialEvent, it sends a part of the next event first.
func streamHandler(breakAfter int, partialEvent bool) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		rw.Header().Set("X-Id", r.Header.Get("X-Id"))
		rw.Header().Set("X-Signed", "sig-of-"+r.Header.Get("X-Expect"))
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.WriteHeader(http.StatusOK)
		control := http.NewResponseController(rw)
		for id := first + 1; id <= streamLength; id++ {
			if breakAfter > 0 && id > breakAfter {
				if partialEvent {
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

func encodedEvents(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", id, id)
	}
	return b.String()
}

func TestStreamIsRelayed(t *testing.T) {
	f := newFixture(t, streamHandler(0, false))
	got := f.call(http.MethodPost, "/stream/1", "x")
	assert.True(t, got.complete)
	assert.Equal(t, encodedEvents(1, streamLength), got.body)
	assert.Equal(t, "sig-of-u0", got.header.Get("X-Signed"))
}

// If a stream that is not resumable breaks off, the client must see a truncated response with complete events only, and the request must not be sent again.
func TestBrokenStreamIsTruncatedAtEventBoundary(t *testing.T) {
	f := newFixture(t, streamHandler(7, true), streamHandler(7, true))
	got := f.call(http.MethodPost, "/stream/1", "x")
	assert.False(t, got.complete)
	assert.Equal(t, encodedEvents(1, 7), got.body)
	assert.Equal(t, 1, f.totalRequests())
}

// A resumable stream that breaks off must continue at another upstream within the same response, without missing or repeated events.
func TestResumableStreamContinuesAtAnotherUpstream(t *testing.T) {
	for _, partialEvent := range []bool{false, true} {
		var first atomic.Bool
		breaksOnce := func(rw http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(false, true) {
				streamHandler(7, partialEvent)(rw, r)
				return
			}
			streamHandler(0, false)(rw, r)
		}
		f := newFixture(t, breaksOnce, breaksOnce)
		got := f.call(http.MethodPost, "/resumable/1", "x")
		assert.True(t, got.complete)
		assert.Equal(t, encodedEvents(1, streamLength), got.body)
		assert.Equal(t, 2, f.totalRequests())
		for _, count := range f.requestCounts {
			assert.EqualValues(t, 1, count.Load(), "each upstream executes the request once")
		}
	}
}

// Events that a resumed stream repeats must not be relayed again.
func TestResumedStreamDropsDuplicateEvents(t *testing.T) {
	var first atomic.Bool
	breaksOnce := func(rw http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			streamHandler(7, false)(rw, r)
			return
		}
		r.Header.Del("Last-Event-Id")
		streamHandler(0, false)(rw, r)
	}
	f := newFixture(t, breaksOnce, breaksOnce)
	assert.Equal(t, encodedEvents(1, streamLength), f.call(http.MethodPost, "/resumable/1", "x").body)
}

// If a stream has begun and can't be resumed, the response must be truncated: neither a refusal nor an upstream's error may be written into it.
func TestStreamThatCannotBeResumedIsTruncated(t *testing.T) {
	var f *fixture
	var first atomic.Bool
	removesUpstreams := func(rw http.ResponseWriter, r *http.Request) {
		f.router.SetUpstreams(f.clock.now(), nil, hwplace.EvacuatedZones{})
		streamHandler(7, false)(rw, r)
	}
	fails := func(code int) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			if first.CompareAndSwap(false, true) {
				streamHandler(7, false)(rw, r)
				return
			}
			respondStatus(code)(rw, r)
		}
	}
	for name, handler := range map[string]http.HandlerFunc{
		"no upstream is left":              removesUpstreams,
		"next upstream fails":              fails(http.StatusInternalServerError),
		"next upstream refuses":            fails(http.StatusNotFound),
		"next response is no event stream": fails(http.StatusNoContent),
	} {
		t.Run(name, func(t *testing.T) {
			first.Store(false)
			f = newFixture(t, handler, handler)
			got := f.call(http.MethodPost, "/resumable/1", "x")
			assert.False(t, got.complete)
			assert.Equal(t, encodedEvents(1, 7), got.body)
		})
	}
}

func TestClientResumesStreamWithLastEventID(t *testing.T) {
	f := newFixture(t, streamHandler(0, false))
	assert.Equal(t, encodedEvents(6, streamLength), f.call(http.MethodPost, "/resumable/1", "x", "Last-Event-Id", "5").body)
}

// A request crashes every upstream that executes it. It must be quarantined after 2 crashes, at this router and at a peer that receives its update.
func TestRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	crash := func(i int, f **fixture) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.RequestURI, "deadly") {
				// A crashed process no longer listens.
				_ = (*f).upstreams[i].Listener.Close()
				panic(http.ErrAbortHandler)
			}
			respondOK(rw, r)
		}
	}
	var f *fixture
	f = newFixture(t, crash(0, &f), crash(1, &f), crash(2, &f))
	peer := newFixture(t, respondOK)
	for range 2 {
		assert.Equal(t, http.StatusBadGateway, f.call(http.MethodPost, "/order/deadly", "x").status)
		// The router checks shortly afterwards whether the upstream has crashed.
		time.Sleep(200 * time.Millisecond)
	}
	before := f.totalRequests()
	got := f.call(http.MethodPost, "/order/deadly", "x")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, before, f.totalRequests())
	assert.Equal(t, http.StatusOK, f.call(http.MethodPost, "/order/fine", "x").status)
	assert.Contains(t, f.log.String(), `"name":"request-quarantined"`)

	peer.router.ApplyPeerUpdate(peer.clock.now(), "w", f.router.TakePeerUpdate(f.clock.now()))
	assert.Equal(t, http.StatusServiceUnavailable, peer.call(http.MethodPost, "/order/deadly", "x").status)
	assert.Zero(t, peer.totalRequests())
}

// A failed connection to an upstream that still accepts connections must not count as a crash, however often it happens.
func TestConnectionFailureWithoutCrashIsNotReported(t *testing.T) {
	f := newFixture(t, abortConnection, abortConnection, abortConnection)
	for range 4 {
		f.call(http.MethodPost, "/order/unlucky", "x")
		time.Sleep(60 * time.Millisecond)
	}
	assert.Equal(t, http.StatusBadGateway, f.call(http.MethodPost, "/order/unlucky", "x").status)
}

func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	f := newFixture(t, respondOK, respondOK)
	list := make([]hwplace.Upstream, 0, len(f.upstreams))
	for i, u := range f.upstreams {
		list = append(list, hwplace.Upstream{
			ID:       "u" + strconv.Itoa(i),
			Address:  u.Listener.Addr().String(),
			Pool:     "ledger",
			Slots:    6,
			Draining: i == 0,
		})
	}
	f.router.SetUpstreams(f.clock.now(), list, hwplace.EvacuatedZones{})
	for range 10 {
		assert.Equal(t, http.StatusOK, f.call(http.MethodGet, "/safe/1", "").status)
	}
	assert.Zero(t, f.requestCounts[0].Load())
}

// The end of each request must be logged in exactly one line, with an event that matches the outcome.
func TestRequestEndIsLoggedOnce(t *testing.T) {
	f := newFixture(t, respondOK)
	f.call(http.MethodGet, "/safe/1", "", "X-Id", "id-good")
	f.call(http.MethodGet, "/none/1", "", "X-Id", "id-none")
	for id, event := range map[string]string{"id-good": "request-finished", "id-none": "request-refused"} {
		found := 0
		for line := range strings.Lines(f.log.String()) {
			if strings.Contains(line, `"request-id":"`+id+`"`) {
				assert.Contains(t, line, `"name":"`+event+`"`)
				found++
			}
		}
		assert.Equal(t, 1, found, id)
	}
}

func TestMetricsCountOutcomes(t *testing.T) {
	f := newFixture(t, respondOK)
	f.call(http.MethodGet, "/safe/1", "")
	f.call(http.MethodGet, "/none/1", "")
	var b strings.Builder
	f.router.WriteMetrics(&b, f.clock.now())
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
