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

// AttemptIDHeader carries an attempt's id to the upstream, which echoes it.
const AttemptIDHeader = "X-Attempt-Id"

// Attempt is one try of a request at one upstream.
type Attempt struct {
	ID       string
	Upstream string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	// Idempotent allows a kept connection. Anything else runs on a connection of its own: the HTTP library sends some requests again by itself when a kept connection breaks, and on a fresh one it never does.
	Idempotent bool
	// IdleTimeout is how long the upstream may send nothing before the attempt is given up.
	IdleTimeout time.Duration
}

// Error says how far a failed attempt got.
type Error struct {
	Upstream string
	// MaybeSent tells that bytes may have reached the upstream.
	MaybeSent bool
	// ResponseMismatch tells that the answer belonged to another attempt.
	ResponseMismatch bool
	// IdleTimedOut tells that the upstream sent nothing for too long.
	IdleTimedOut bool
	// ConnectionBroken tells that the connection broke while the attempt ran, as it does when the upstream crashes.
	ConnectionBroken bool
	Cause            error
}

// Error names the upstream and the cause.
func (e *Error) Error() string {
	return "the attempt at " + e.Upstream + " failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// IdleTimeoutError is the cause of an attempt that was given up because its upstream sent nothing.
type IdleTimeoutError struct {
	Timeout time.Duration
}

// Error says for how long.
func (e *IdleTimeoutError) Error() string { return "nothing came for " + e.Timeout.String() }

// ResponseMismatchError is the cause of an attempt that got another attempt's answer.
type ResponseMismatchError struct {
	SentID     string
	ReceivedID string
}

// Error says which ids differ.
func (e *ResponseMismatchError) Error() string {
	return "the answer carried attempt id " + e.ReceivedID + " in place of " + e.SentID
}

// TruncatedStreamError is the cause of a stream that ended before its end mark.
type TruncatedStreamError struct{}

// Error says what was missing.
func (e *TruncatedStreamError) Error() string { return "the stream ended before its end mark" }

// Response is an upstream's answer whose head has been checked. Close must be called.
type Response struct {
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

// CloseIdleConnections closes the idle connections to an upstream.
func (c *Client) CloseIdleConnections(upstream string) {
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
func (c *Client) Do(ctx context.Context, attempt Attempt) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	watch := newWatchdog(attempt.IdleTimeout, cancel)
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
	response, err := c.transport(attempt.Upstream, attempt.Idempotent).RoundTrip(request) //nolint:bodyclose // The answer closes it.
	if err != nil {
		watch.stop()
		cancel()
		return nil, failed(attempt, handed.Load(), watch, err)
	}
	answer := &Response{
		Status:   response.StatusCode,
		Header:   response.Header,
		attempt:  attempt,
		body:     response.Body,
		watchdog: watch,
		cancel:   cancel,
	}
	if echoed := response.Header.Get(AttemptIDHeader); echoed != "" && echoed != attempt.ID {
		answer.Close()
		c.CloseIdleConnections(attempt.Upstream)
		return nil, &Error{
			Upstream:         attempt.Upstream,
			MaybeSent:        true,
			ResponseMismatch: true,
			Cause: &ResponseMismatchError{
				SentID:     attempt.ID,
				ReceivedID: echoed,
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
	request.Header.Set(AttemptIDHeader, attempt.ID)
	return request, nil
}

func failed(attempt Attempt, handed bool, watch *watchdog, cause error) *Error {
	failure := &Error{
		Upstream:  attempt.Upstream,
		MaybeSent: handed,
		Cause:     cause,
	}
	if watch.barked.Load() {
		failure.IdleTimedOut = true
		failure.Cause = &IdleTimeoutError{
			Timeout: attempt.IdleTimeout,
		}
		return failure
	}
	failure.ConnectionBroken = handed && !errors.Is(cause, context.Canceled) && !errors.Is(cause, context.DeadlineExceeded)
	return failure
}

// Close releases the connection; one whose answer was not read to its end is closed and not used again.
func (a *Response) Close() {
	a.watchdog.stop()
	a.cancel()
	_ = a.body.Close()
}

// ResponseTooLargeError is the cause of an answer that goes beyond the limit.
type ResponseTooLargeError struct {
	Limit int64
}

// Error names the limit.
func (e *ResponseTooLargeError) Error() string {
	return "the answer is larger than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// ReadAll reads the rest of the answer, which may have at most limit bytes. The HTTP library reports a body shorter than its announced length as an error.
func (a *Response) ReadAll(limit int64) ([]byte, error) {
	var buffer bytes.Buffer
	_, err := io.Copy(&buffer, io.LimitReader(a.progressing(), limit+1))
	if err != nil {
		return nil, failed(a.attempt, true, a.watchdog, err)
	}
	if int64(buffer.Len()) > limit {
		failure := failed(a.attempt, true, a.watchdog, &ResponseTooLargeError{
			Limit: limit,
		})
		// The upstream lives; it only says too much.
		failure.ConnectionBroken = false
		return nil, failure
	}
	return buffer.Bytes(), nil
}

// IsStream reports whether the answer is an event stream.
func (a *Response) IsStream() bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// DoneMarker is the data of the event that ends a stream in the OpenAI-compatible format.
const DoneMarker = "[DONE]"

// ReadEvents yields the events of a stream up to and including its end mark. A stream that ends earlier is truncated.
func (a *Response) ReadEvents(largest int, yield func(sse.Event) error) error {
	ended := false
	config := &sse.ReadConfig{
		MaxEventSize: largest,
	}
	for event, err := range sse.Read(a.progressing(), config) {
		if err != nil {
			return failed(a.attempt, true, a.watchdog, err)
		}
		ended = event.Data == DoneMarker
		if err := yield(event); err != nil {
			return err
		}
	}
	if !ended {
		failure := failed(a.attempt, true, a.watchdog, &TruncatedStreamError{})
		failure.ConnectionBroken = !failure.IdleTimedOut
		return failure
	}
	return nil
}

func (a *Response) progressing() io.Reader {
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
