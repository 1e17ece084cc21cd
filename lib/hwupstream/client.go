// Package hwupstream makes attempts at upstreams over HTTP and says truthfully how far each one got.
package hwupstream

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"
)

// AttemptHeader carries an attempt's id to the upstream, which echoes it.
const AttemptHeader = "X-Attempt-Id"

// Attempt is one try of a request at one upstream.
type Attempt struct {
	ID       string
	Upstream string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	// Repeatable allows a kept connection. Anything else runs on a connection of its own: the HTTP library sends some requests again by itself when a kept connection breaks, and on a fresh one it never does.
	Repeatable bool
	// Silence is how long the upstream may send nothing before the attempt is given up.
	Silence time.Duration
}

// Error says how far a failed attempt got.
type Error struct {
	Upstream string
	// HandedOver tells that bytes may have reached the upstream.
	HandedOver bool
	// Crossed tells that the answer belonged to another attempt.
	Crossed bool
	// Silent tells that the upstream sent nothing for too long.
	Silent bool
	// Died tells that the connection broke while the attempt ran, as it does when the upstream crashes.
	Died  bool
	Cause error
}

// Error names the upstream and the cause.
func (e *Error) Error() string {
	return "the attempt at " + e.Upstream + " failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// SilenceError is the cause of an attempt that was given up because its upstream sent nothing.
type SilenceError struct {
	After time.Duration
}

// Error says for how long.
func (e *SilenceError) Error() string { return "nothing came for " + e.After.String() }

// CrossedError is the cause of an attempt that got another attempt's answer.
type CrossedError struct {
	Sent     string
	Received string
}

// Error says which ids differ.
func (e *CrossedError) Error() string {
	return "the answer carried attempt id " + e.Received + " in place of " + e.Sent
}

// TruncatedError is the cause of a stream that ended before its end mark.
type TruncatedError struct{}

// Error says what was missing.
func (e *TruncatedError) Error() string { return "the stream ended before its end mark" }

// Answer is an upstream's answer whose head has been checked. Close must be called.
type Answer struct {
	Status   int
	Header   http.Header
	attempt  Attempt
	body     io.ReadCloser
	watchdog *watchdog
	cancel   context.CancelFunc
}

// Client keeps one transport per upstream.
type Client struct {
	dial       time.Duration
	transports sync.Map
}

// NewClient returns a client that gives up dialling after the given time.
func NewClient(dial time.Duration) *Client {
	return &Client{
		dial: dial,
	}
}

// The bounds of kept connections, and the keep-alive that finds connections which something between the ends has forgotten.
const (
	idlePerUpstream   = 64
	idleTime          = 30 * time.Second
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	largestHead       = 64 << 10
	// connectionBuffer is small because most open connections carry a stream of small events; larger pieces pass it by.
	connectionBuffer = 1 << 10
)

func (c *Client) transport(upstream string, repeatable bool) *http.Transport {
	key := upstream
	if !repeatable {
		key = "fresh " + upstream
	}
	if kept, found := c.transports.Load(key); found {
		return kept.(*http.Transport)
	}
	dialer := &net.Dialer{
		Timeout: c.dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	fresh := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idlePerUpstream,
		IdleConnTimeout:        idleTime,
		DisableKeepAlives:      !repeatable,
		DisableCompression:     true,
		MaxResponseHeaderBytes: largestHead,
		ReadBufferSize:         connectionBuffer,
		WriteBufferSize:        connectionBuffer,
		// A non-nil empty map keeps the library from changing the protocol.
		TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
	kept, _ := c.transports.LoadOrStore(key, fresh)
	return kept.(*http.Transport)
}

// Forget closes the idle connections to an upstream.
func (c *Client) Forget(upstream string) {
	c.transport(upstream, true).CloseIdleConnections()
}

// Close closes every idle connection.
func (c *Client) Close() {
	c.transports.Range(func(_, transport any) bool {
		transport.(*http.Transport).CloseIdleConnections()
		return true
	})
}

// Do sends an attempt and returns the checked head of its answer.
func (c *Client) Do(ctx context.Context, attempt Attempt) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	watch := newWatchdog(attempt.Silence, cancel)
	var handed atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { handed.Store(true) },
	})
	request, err := newRequest(traced, attempt)
	if err != nil {
		watch.stop()
		cancel()
		return nil, failed(attempt, false, watch, err)
	}
	response, err := c.transport(attempt.Upstream, attempt.Repeatable).RoundTrip(request) //nolint:bodyclose // The answer closes it.
	if err != nil {
		watch.stop()
		cancel()
		return nil, failed(attempt, handed.Load(), watch, err)
	}
	answer := &Answer{
		Status:   response.StatusCode,
		Header:   response.Header,
		attempt:  attempt,
		body:     response.Body,
		watchdog: watch,
		cancel:   cancel,
	}
	if echoed := response.Header.Get(AttemptHeader); echoed != "" && echoed != attempt.ID {
		answer.Close()
		c.Forget(attempt.Upstream)
		return nil, &Error{
			Upstream:   attempt.Upstream,
			HandedOver: true,
			Crossed:    true,
			Cause: &CrossedError{
				Sent:     attempt.ID,
				Received: echoed,
			},
		}
	}
	watch.progress()
	return answer, nil
}

func newRequest(ctx context.Context, attempt Attempt) (*http.Request, error) {
	var body io.Reader
	if len(attempt.Body) > 0 {
		// The plain reader hides the body's bytes from the library, so that it cannot rewind and send them twice.
		body = io.NopCloser(bytes.NewReader(attempt.Body))
	}
	request, err := http.NewRequestWithContext(ctx, attempt.Method, "http://"+attempt.Upstream+attempt.Path, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(attempt.Body))
	for name, values := range attempt.Header {
		request.Header[name] = values
	}
	request.Header.Set(AttemptHeader, attempt.ID)
	return request, nil
}

func failed(attempt Attempt, handed bool, watch *watchdog, cause error) *Error {
	failure := &Error{
		Upstream:   attempt.Upstream,
		HandedOver: handed,
		Cause:      cause,
	}
	if watch.barked.Load() {
		failure.Silent = true
		failure.Cause = &SilenceError{
			After: attempt.Silence,
		}
		return failure
	}
	failure.Died = handed && !errors.Is(cause, context.Canceled) && !errors.Is(cause, context.DeadlineExceeded)
	return failure
}

// Close releases the connection; one whose answer was not read to its end is closed and not used again.
func (a *Answer) Close() {
	a.watchdog.stop()
	a.cancel()
	_ = a.body.Close()
}

// LargerError is the cause of an answer that goes beyond the limit.
type LargerError struct {
	Limit int64
}

// Error names the limit.
func (e *LargerError) Error() string {
	return "the answer is larger than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// Whole reads the rest of the answer, which may have at most limit bytes. The HTTP library reports a body shorter than its announced length as an error.
func (a *Answer) Whole(limit int64) ([]byte, error) {
	var buffer bytes.Buffer
	_, err := io.Copy(&buffer, io.LimitReader(a.progressing(), limit+1))
	if err != nil {
		return nil, failed(a.attempt, true, a.watchdog, err)
	}
	if int64(buffer.Len()) > limit {
		failure := failed(a.attempt, true, a.watchdog, &LargerError{
			Limit: limit,
		})
		// The upstream lives; it only says too much.
		failure.Died = false
		return nil, failure
	}
	return buffer.Bytes(), nil
}

// IsStream reports whether the answer is an event stream.
func (a *Answer) IsStream() bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// EndMark is the data of the event that ends a stream in the OpenAI-compatible format.
const EndMark = "[DONE]"

// Events yields the events of a stream up to and including its end mark. A stream that ends earlier is truncated.
func (a *Answer) Events(largest int, yield func(sse.Event) error) error {
	ended := false
	config := &sse.ReadConfig{
		MaxEventSize: largest,
	}
	for event, err := range sse.Read(a.progressing(), config) {
		if err != nil {
			return failed(a.attempt, true, a.watchdog, err)
		}
		ended = event.Data == EndMark
		if err := yield(event); err != nil {
			return err
		}
	}
	if !ended {
		failure := failed(a.attempt, true, a.watchdog, &TruncatedError{})
		failure.Died = !failure.Silent
		return failure
	}
	return nil
}

func (a *Answer) progressing() io.Reader {
	return progressReader{
		reader:   a.body,
		watchdog: a.watchdog,
	}
}

type progressReader struct {
	reader   io.Reader
	watchdog *watchdog
}

// Read passes bytes on and notes progress.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.watchdog.progress()
	}
	return n, err
}

// watchdog cancels an attempt when nothing happens for too long.
type watchdog struct {
	silence time.Duration
	timer   *time.Timer
	barked  atomic.Bool
}

func newWatchdog(silence time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{
		silence: silence,
	}
	w.timer = time.AfterFunc(silence, func() {
		w.barked.Store(true)
		cancel()
	})
	return w
}

func (w *watchdog) progress() { w.timer.Reset(w.silence) }

func (w *watchdog) stop() { w.timer.Stop() }
