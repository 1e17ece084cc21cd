package hwfront_test

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwfront"
	"github.com/hickorywick/hickorywick/lib/hwlink"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtable"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// plainEdge speaks plain HTTP.
type plainEdge struct{}

func (plainEdge) RequestIDHeader() string                          { return "X-Id" }
func (plainEdge) ParseRequest(*http.Request) hwforward.RequestInfo { return hwforward.RequestInfo{} }

func (plainEdge) ParseResponse(int, http.Header) hwforward.ResponseInfo {
	return hwforward.ResponseInfo{Signed: true}
}

func (plainEdge) CopyResponseHeader(to, _ http.Header) { to.Set("X-Relayed", "1") }

func (plainEdge) UpstreamHeader(_ http.Header, _ hwforward.ForwardInfo) http.Header {
	return http.Header{}
}

func free(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func get(t *testing.T, url string) int {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// A stopping server is not ready, still serves, and ends only when what is in flight has its answer.
func TestStopFinishesWhatIsInFlight(t *testing.T) {
	release, arrived := make(chan struct{}), make(chan struct{}, 1)
	var served atomic.Int32
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if served.Add(1) == 1 {
			arrived <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "done")
	}))
	defer upstream.Close()
	logger := hwevent.New(io.Discard, hwevent.Info)
	router := newRouter(logger)
	callers, ready, metrics := free(t), free(t), free(t)
	server := hwfront.New(hwfront.Settings{
		ClientAddress:           callers,
		ReadinessAddress:        ready,
		MetricsAddress:          metrics,
		ReadinessPath:           "/ready",
		MetricsPath:             "/metrics",
		MaxKeepAliveConnections: 2,
		ShutdownDelay:           50 * time.Millisecond,
		ShutdownTimeout:         time.Minute,
	}, router, logger, time.Now)
	running := hwtask.Start(context.Background(), server.Start)
	require.Eventually(t, func() bool { return get(t, "http://"+ready+"/ready") == http.StatusServiceUnavailable }, 5*time.Second, 5*time.Millisecond)
	router.SetTable(time.Now(), hwtable.New(hwtable.Config{
		Version: 1,
		Routes:  []hwtable.Route{{Host: "127.0.0.1", Prefix: "/", Timeout: time.Minute, Targets: []hwtable.Target{{Pool: "p", Weight: 1}}}},
		Pools:   []hwtable.Pool{{Name: "p"}},
	}))
	router.SetUpstreams(time.Now(), []hwplace.Upstream{{ID: "u", Address: upstream.Listener.Addr().String(), Pool: "p", Slots: 4}})
	router.ConfirmTable(time.Now(), time.Hour)
	require.Equal(t, http.StatusOK, get(t, "http://"+ready+"/ready"))
	require.Equal(t, http.StatusOK, get(t, "http://"+metrics+"/metrics"))

	assertConnectionsAreClosedBeyondTheBound(t, callers)
	served.Store(0)

	first := make(chan int, 1)
	go func() { first <- get(t, "http://"+callers+"/slow") }()
	<-arrived
	stopping := hwtask.Start(context.Background(), server.Stop)
	require.Eventually(t, func() bool { return get(t, "http://"+ready+"/ready") == http.StatusServiceUnavailable }, 5*time.Second, time.Millisecond)
	assert.Equal(t, http.StatusOK, get(t, "http://"+callers+"/quick"), "until the platform has seen it")
	close(release)
	assert.Equal(t, http.StatusOK, <-first)
	require.NoError(t, hwtask.Join(stopping, running))
	assert.Zero(t, get(t, "http://"+callers+"/late"))
}

func newRouter(logger *hwevent.Logger) *hwforward.Router {
	return hwforward.New(hwforward.Settings{
		Placement:       hwplace.Settings{InitialPrefillTokensPerMS: 1, InitialRequestMS: 1},
		Admission:       hwadmit.Settings{MaxWaitRatio: 1, OverShareRange: 1},
		ShareWindow:     time.Second,
		RetryRefillTime: time.Second,
		KeyMaxStaleness: time.Hour,
		DrainTime:       time.Hour,
		BodyTimeout:     time.Second,
		WriteTimeout:    time.Second,
		Quarantine:      hwquarantine.Settings{ReportTTL: time.Minute, MinUpstreams: 2, MaxFingerprints: 10},
	}, hwforward.Dependencies{
		Protocol:  plainEdge{},
		Transport: hwlink.New(hwlink.Settings{DialTimeout: time.Second, TCPUserTimeout: 2 * time.Second}),
		Logger:    logger,
		Clock: hwforward.Clock{
			Now:      time.Now,
			BootTime: func() time.Duration { return time.Hour },
		},
		Random: rand.NewPCG(1, 1),
	})
}

// Pattern: a planned stop in a crest. Requests arrive on new and on kept connections in the very moment in which the listener closes. Each that was let in gets an answer, if only that the instance stops.
func TestAStopAnswersAllThatWasLetIn(t *testing.T) {
	for round := range 5 {
		callers := free(t)
		logger := hwevent.New(io.Discard, hwevent.Error)
		server := hwfront.New(hwfront.Settings{
			ClientAddress:   callers,
			ShutdownTimeout: time.Minute,
		}, newRouter(logger), logger, time.Now)
		running := hwtask.Start(context.Background(), server.Start)
		require.Eventually(t, func() bool { return get(t, "http://"+callers+"/") != 0 }, 5*time.Second, time.Millisecond)
		var conns []net.Conn
		for range 300 {
			conn, err := net.Dial("tcp4", callers)
			require.NoError(t, err)
			conns = append(conns, conn)
		}
		stopping := hwtask.Start(context.Background(), func(ctx context.Context) error {
			time.Sleep(time.Duration(round) * time.Millisecond)
			return server.Stop(ctx)
		})
		for _, conn := range conns {
			_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: yard.example\r\n\r\n")
			require.NoError(t, err)
		}
		for _, conn := range conns {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "no table is in force")
			_ = response.Body.Close()
			_ = conn.Close()
		}
		require.NoError(t, hwtask.Join(stopping, running))
		assert.Zero(t, get(t, "http://"+callers+"/"))
	}
}

// assertConnectionsAreClosedBeyondTheBound asks on more connections than are kept. Pattern: refused callers come again, each time on a new connection.
func assertConnectionsAreClosedBeyondTheBound(t *testing.T, callers string) {
	t.Helper()
	closed := 0
	for range 4 {
		conn, err := net.Dial("tcp4", callers)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET /none HTTP/1.1\r\nHost: another.example\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		if response.Close {
			closed++
		}
	}
	assert.Equal(t, 2, closed)
}
