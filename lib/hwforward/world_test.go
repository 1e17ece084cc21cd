package hwforward_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwlink"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtable"
)

// testEdge speaks short headers: X-Id, X-Key, X-Left, X-Account, X-Expect, X-Signed, X-Not-Run, Last-Event-Id.
type testEdge struct{}

func (testEdge) RequestIDHeader() string { return "X-Id" }

func (testEdge) ParseRequest(r *http.Request) hwforward.RequestInfo {
	left, _ := strconv.Atoi(r.Header.Get("X-Left"))
	return hwforward.RequestInfo{
		ID:            r.Header.Get("X-Id"),
		APIKey:        r.Header.Get("X-Key"),
		ClientTimeout: time.Duration(left) * time.Millisecond,
		LastEventID:   r.Header.Get("Last-Event-Id"),
	}
}

func (testEdge) UpstreamHeader(h http.Header, s hwforward.ForwardInfo) http.Header {
	next := h.Clone()
	for _, name := range append(hwforward.HopByHopHeaders, "X-Key") {
		next.Del(name)
	}
	next.Set("X-Left", strconv.FormatInt(s.TimeLeft.Milliseconds(), 10))
	next.Set("X-Account", s.Account)
	next.Set("X-Expect", s.ExpectedUpstream)
	if s.LastEventID != "" {
		next.Set("Last-Event-Id", s.LastEventID)
	}
	return next
}

func (testEdge) ParseResponse(_ int, h http.Header) hwforward.ResponseInfo {
	return hwforward.ResponseInfo{
		Signed:      h.Get("X-Signed") != "",
		NotExecuted: h.Get("X-Not-Run") != "",
	}
}

func (testEdge) CopyResponseHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range hwforward.HopByHopHeaders {
		to.Del(name)
	}
}

// clock is a steady clock and a boot clock, each of which tests may move.
type clock struct {
	steady atomic.Int64
	boot   atomic.Int64
}

func (c *clock) now() time.Time { return time.Now().Add(time.Duration(c.steady.Load())) }

func (c *clock) bootTime() time.Duration { return time.Duration(c.boot.Load()) + time.Hour }

// world is a router before upstreams that tests script.
type world struct {
	t      testing.TB
	router *hwforward.Router
	front  *httptest.Server
	clock  *clock
	log    *lockedBuffer
	links  *hwlink.Transport
	// served counts the requests that reached each upstream.
	served   []*atomic.Int32
	upstream []*httptest.Server
}

type lockedBuffer struct {
	lock   sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.buffer.String()
}

const host = "yard.example"

// routes are the routes of the tests' table, all to one pool.
func routes() []hwtable.Route {
	target := []hwtable.Target{{Pool: "ledger", Weight: 1}}
	route := func(name string) hwtable.Route {
		return hwtable.Route{
			Name:             name,
			Host:             host,
			Prefix:           "/" + name + "/",
			Timeout:          2 * time.Second,
			LatencyObjective: 300 * time.Millisecond,
			MaxAttempts:      2,
			Targets:          target,
		}
	}
	safe, order, stream, resumable, public := route("safe"), route("order"), route("stream"), route("resumable"), route("public")
	safe.Idempotent = true
	stream.Streaming = true
	resumable.Streaming, resumable.Resumable = true, true
	public.Idempotent, public.Public = true, true
	return []hwtable.Route{safe, order, stream, resumable, public}
}

func table(version uint64, keys ...string) *hwtable.Table {
	return hwtable.New(hwtable.Config{
		Version:  version,
		Routes:   routes(),
		Pools:    []hwtable.Pool{{Name: "ledger"}},
		Accounts: []hwtable.Account{{Name: "harbour", APIKeys: keys}},
		Limits:   hwtable.Limits{MaxBodyBytes: 1 << 20},
	})
}

type settings = hwforward.Settings

// newWorld starts a router before upstreams with the given handlers.
func newWorld(t testing.TB, handlers ...http.HandlerFunc) *world {
	t.Helper()
	return newWorldWith(t, func(*settings) {}, handlers...)
}

// newWorldWith is newWorld with other settings than usual.
func newWorldWith(t testing.TB, change func(*settings), handlers ...http.HandlerFunc) *world {
	t.Helper()
	w := &world{
		t:     t,
		clock: &clock{},
		log:   &lockedBuffer{},
	}
	w.links = hwlink.New(hwlink.Settings{
		DialTimeout:        200 * time.Millisecond,
		IdleTimeout:        10 * time.Second,
		MaxIdlePerUpstream: 8,
		TCPUserTimeout:     2 * time.Second,
	})
	chosen := settings{
		Placement: hwplace.Settings{
			InitialPrefillTokensPerMS: 50,
			LoadWeight:                1,
			CacheMissWeight:           1,
			InitialRequestMS:          10,
		},
		Admission: hwadmit.Settings{
			MaxWaitRatio:   0.5,
			OverShareRange: 1,
		},
		ShareWindow:       time.Second,
		RetryRatio:        0.1,
		RetryReserve:      5,
		RetryRefillTime:   15 * time.Second,
		KeyMaxStaleness:   4 * time.Second,
		TableMaxStaleness: 2 * time.Second,
		BodyMemoryLimit:   20 << 20,
		BodyTimeout:       2 * time.Second,
		WriteTimeout:      2 * time.Second,
		DrainTime:         time.Second,
		Quarantine: hwquarantine.Settings{
			ReportTTL:       time.Minute,
			MinUpstreams:    2,
			MaxFingerprints: 100,
		},
	}
	change(&chosen)
	w.router = hwforward.New(chosen, hwforward.Dependencies{
		Protocol:  testEdge{},
		Transport: w.links,
		Logger:    hwevent.New(w.log, hwevent.Info),
		Clock: hwforward.Clock{
			Now:      w.clock.now,
			BootTime: w.clock.bootTime,
		},
		Random: rand.NewPCG(1, 2),
	})
	w.router.SetTable(w.clock.now(), table(1, "key"))
	w.confirm()
	list := make([]hwplace.Upstream, 0, len(handlers))
	for i, handler := range handlers {
		count := &atomic.Int32{}
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			count.Add(1)
			handler(rw, r)
		}))
		t.Cleanup(server.Close)
		w.served = append(w.served, count)
		w.upstream = append(w.upstream, server)
		list = append(list, hwplace.Upstream{
			ID:      "u" + strconv.Itoa(i),
			Address: server.Listener.Addr().String(),
			Pool:    "ledger",
			Slots:   6,
		})
	}
	w.router.SetUpstreams(w.clock.now(), list)
	w.front = httptest.NewServer(w.router)
	t.Cleanup(w.front.Close)
	return w
}

func (w *world) confirm() { w.router.ConfirmTable(w.clock.now(), w.clock.bootTime()) }

// runs returns how many requests reached upstreams.
func (w *world) runs() int {
	sum := 0
	for _, count := range w.served {
		sum += int(count.Load())
	}
	return sum
}

// result is what a caller sees.
type result struct {
	status int
	header http.Header
	body   string
	// whole tells that the answer came to its end.
	whole bool
}

// call sends a request with the key and reads the answer.
func (w *world) call(method, path, body string, header ...string) result {
	w.t.Helper()
	request, err := http.NewRequest(method, w.front.URL+path, strings.NewReader(body))
	require.NoError(w.t, err)
	request.Host = host
	request.Header.Set("X-Id", strconv.FormatUint(rand.Uint64(), 16))
	request.Header.Set("X-Key", "key")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(request)
	if err != nil {
		return result{}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode,
		header: response.Header,
		body:   string(read),
		whole:  err == nil,
	}
}

// good answers as a sound upstream does.
func good(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signed", "1")
	_, _ = io.WriteString(w, "good "+r.RequestURI)
}

// status answers with a signed failure.
func status(code int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "1")
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(code)
		_, _ = io.WriteString(w, "failure")
	}
}

// breaks closes the connection without an answer.
func breaks(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
