package hwforward_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// runs counts the executions of each request.
type runs struct {
	lock   sync.Mutex
	counts map[string]int
}

func (c *runs) add(id string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.counts[id]++
}

func (c *runs) count(id string) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.counts[id]
}

// runStamp is the field of an answer that names the run it comes from.
const runStamp = "X-Run"

// randomUpstream behaves at random: it answers at once, late or never, fails, breaks off, or refuses. Each execution has a number of its own, which all parts of its answer carry.
func randomUpstream(executed *runs, seed uint64) http.HandlerFunc {
	var lock sync.Mutex
	random := rand.New(rand.NewPCG(seed, 5))
	var number atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		lock.Lock()
		kind, delay := random.IntN(12), time.Duration(random.IntN(120))*time.Millisecond
		lock.Unlock()
		if kind == 0 {
			respondStatus(http.StatusServiceUnavailable, "X-Not-Run", "1")(w, r)
			return
		}
		executed.add(r.Header.Get("X-Id"))
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		run := strconv.FormatInt(number.Add(1), 10)
		w.Header().Set(runStamp, run)
		switch kind {
		case 1:
			abortConnection(w, r)
		case 2:
			respondStatus(http.StatusInternalServerError)(w, r)
		case 3:
			<-r.Context().Done()
		case 4:
			w.Header().Set("Content-Length", "100")
			respondOK(w, r)
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Signed", "1")
			if strings.HasPrefix(r.RequestURI, "/safe") || strings.HasPrefix(r.RequestURI, "/order") {
				_, _ = io.WriteString(w, strings.Repeat("run "+run+"\n", 3))
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			for id := 1; id <= 3; id++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, run)
				w.(http.Flusher).Flush()
			}
		}
	}
}

// Upstreams misbehave at random and callers leave at random, many at the same time. A request that may run once must run once at most, any other at most as often as it may be attempted; a complete answer must come from one run; and nothing may stay reserved or counted as running.
func TestHedgingKeepsItsPromisesWhateverUpstreamsDo(t *testing.T) {
	for seed := range uint64(3) {
		executed := &runs{
			counts: map[string]int{},
		}
		upstream := randomUpstream(executed, seed)
		f := newHedgingFixture(t, 5, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Warm") != "" {
				respondOK(w, r)
				return
			}
			upstream(w, r)
		})
		f.router.RecordLatencies(f.clock.now(), "ledger", 20*time.Millisecond, 2000)
		f.setSlots(200)
		f.setMaxAttempts(3)
		limits := map[string]int{"safe": 3, "resumable": 3, "order": 1, "stream": 1}
		random := rand.New(rand.NewPCG(seed, 9))
		var group sync.WaitGroup
		for route, limit := range limits {
			for n := range 25 {
				id := fmt.Sprintf("%s-%d", route, n)
				patience := time.Duration(50+random.IntN(2000)) * time.Millisecond
				group.Go(func() {
					got := f.callWithin(t, patience, "/"+route+"/1", id)
					assert.LessOrEqual(t, executed.count(id), limit, id)
					if got.status != http.StatusOK || !got.complete {
						return
					}
					run := got.header.Get(runStamp)
					want := strings.Repeat("run "+run+"\n", 3)
					if route == "resumable" || route == "stream" {
						want = fmt.Sprintf("id: 1\ndata: %[1]s\n\nid: 2\ndata: %[1]s\n\nid: 3\ndata: %[1]s\n\n", run)
					}
					assert.Equal(t, want, got.body, id)
				})
			}
		}
		group.Wait()
		assert.Eventually(t, func() bool { return f.router.InFlight() == 0 }, 2*time.Second, time.Millisecond)
		assert.Empty(t, f.router.TakePeerUpdate(f.clock.now()).Loads, "no slot counts as taken")
		assert.Equal(t, "0", f.metric("hickorywick_body_bytes_held"))
		assert.NotEqual(t, "0", f.metric("hickorywick_hedges_sent_total"))
		sent, err := strconv.Atoi(f.metric("hickorywick_hedges_sent_total"))
		require.NoError(t, err)
		won, err := strconv.Atoi(f.metric("hickorywick_hedges_won_total"))
		require.NoError(t, err)
		lost, err := strconv.Atoi(f.metric("hickorywick_hedges_lost_total"))
		require.NoError(t, err)
		assert.Equal(t, sent, won+lost)
		for id, count := range executed.counts {
			assert.LessOrEqual(t, count, limits[strings.Split(id, "-")[0]], id)
		}
	}
}

// callWithin sends a request of a caller that leaves after a time.
func (f *fixture) callWithin(t *testing.T, patience time.Duration, path, id string) callResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+path, strings.NewReader("x"))
	if !assert.NoError(t, err) {
		return callResult{}
	}
	request.Host = host
	request.Header.Set("X-Id", id)
	request.Header.Set("X-Key", "key")
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(request)
	if err != nil {
		return callResult{}
	}
	body, err := io.ReadAll(response.Body)
	assert.NoError(t, response.Body.Close())
	return callResult{
		status:   response.StatusCode,
		header:   response.Header,
		body:     string(body),
		complete: err == nil,
	}
}

// The upstream of the hedge accepts no connections any more: the first attempt goes on, and its answer is relayed.
func TestAHedgeToALostUpstreamLeavesTheFirstAttemptAlone(t *testing.T) {
	var f *fixture
	var sends atomic.Int32
	f = newHedgingFixture(t, 2, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Warm") != "" {
			respondOK(w, r)
			return
		}
		for f.metric("hickorywick_hedges_sent_total") == "0" && r.Context().Err() == nil {
			time.Sleep(5 * time.Millisecond)
		}
		after(100*time.Millisecond, streamHandler(0, false))(w, r)
	})
	lose := func(upstream string) {
		if sends.Add(1) == 2 {
			u, _ := strconv.Atoi(upstream[1:])
			_ = f.upstreams[u].Listener.Close()
			f.transport.CloseIdleConnections(f.list[u].Address)
		}
	}
	f.beforeConnect.Store(&lose)
	got := f.call(http.MethodGet, "/resumable/1", "")
	assert.Equal(t, encodedEvents(1, streamLength), got.body)
	assert.EqualValues(t, 2, sends.Load())
	assert.Equal(t, 1, f.totalRequests())
	assert.Contains(t, f.log.String(), `"hedge-winner":"first"`)
}

// A peer router is lost, and its last report of loads has expired: hedges must not stay suppressed by a load that is gone.
func TestLoadsOfALostPeerDoNotSuppressHedges(t *testing.T) {
	var stopped atomic.Int32
	f := newHedgingFixture(t, 2, inTurn(stall(&stopped), respondOK))
	var loads []hwplace.PeerLoad
	for _, u := range f.list {
		loads = append(loads, hwplace.PeerLoad{
			Upstream: hwplace.HashID(u.ID),
			Running:  u.Slots,
		})
	}
	f.router.ApplyPeerUpdate(f.clock.now(), "lost", hwforward.PeerUpdate{
		Loads: map[string][]hwplace.PeerLoad{"ledger": loads},
	})
	f.clock.monotonic.Add(int64(1600 * time.Millisecond))
	assert.Equal(t, http.StatusOK, f.call(http.MethodGet, "/safe/1", "").status)
	assert.Equal(t, "1", f.metric("hickorywick_hedges_won_total"))
}
