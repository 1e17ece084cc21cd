package hwforward_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// commonSegment is the first segment of all prompts of the tests, crashingSegment the one at which upstreams crash.
	commonSegment   = 1
	crashingSegment = 7
	// crashSettleTime covers the confirmation of a crash: the delay of the check and a refused connection.
	crashSettleTime = 120 * time.Millisecond
)

// crashingFleet is a fixture whose upstreams stream a few events, or crash if the prompt contains the crashing segment.
type crashingFleet struct {
	*fixture
	// guilty counts the requests with the crashing segment that reached an upstream.
	guilty  atomic.Int32
	crashes atomic.Int32
	next    atomic.Uint64
}

func newCrashingFleet(t *testing.T, upstreams int) *crashingFleet {
	t.Helper()
	c := &crashingFleet{}
	handlers := make([]http.HandlerFunc, upstreams)
	for i := range handlers {
		var crash sync.Once
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			if !slices.Contains(strings.Split(r.Header.Get("X-Segments"), ","), strconv.Itoa(crashingSegment)) {
				respondEvents(w, r)
				return
			}
			c.guilty.Add(1)
			crash.Do(func() {
				c.crashes.Add(1)
				_ = c.upstreams[i].Listener.Close()
				go c.upstreams[i].CloseClientConnections()
			})
			panic(http.ErrAbortHandler)
		}
	}
	c.fixture = newFixtureWith(t, func(s *settings) { s.RetryReserve = 50 }, handlers...)
	return c
}

// respondEvents streams three events, far enough apart to arrive one by one.
func respondEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Signed", "1")
	for n := range 3 {
		_, _ = io.WriteString(w, fmt.Sprintf("id: %d\ndata: x\n\n", n+1))
		w.(http.Flusher).Flush()
		time.Sleep(2 * time.Millisecond)
	}
}

// send sends a request whose prompt consists of the given segments and one of its own.
func (c *crashingFleet) send(segments ...uint64) callResult {
	c.t.Helper()
	var list []string
	for _, segment := range append(segments, 1_000_000+c.next.Add(1)) {
		list = append(list, strconv.FormatUint(segment, 10))
	}
	return c.call(http.MethodPost, "/resumable/1", "x", "X-Segments", strings.Join(list, ","))
}

// A segment of a prompt crashed every engine that began to answer it, and each request with it was sent to a second engine after the first had crashed. Such requests never equal each other, so counting crashes by request did not stop them.
func TestDifferentRequestsWithACrashingSegmentStopReachingUpstreams(t *testing.T) {
	c := newCrashingFleet(t, 12)
	for n := range uint64(10) {
		assert.Equal(t, http.StatusOK, c.send(commonSegment, 100+n%2).status, "a request without the segment")
	}
	for n := range uint64(12) {
		c.send(commonSegment, crashingSegment)
		time.Sleep(crashSettleTime)
		assert.Equal(t, http.StatusOK, c.send(commonSegment, 100+n%2).status, "a request without the segment")
	}
	assert.LessOrEqual(t, c.crashes.Load(), int32(3), "crashed upstreams")
	assert.LessOrEqual(t, c.guilty.Load(), int32(3), "requests that reached upstreams")
}
