// Package hwupstream sends request attempts to upstreams over HTTP and reports how far a failed attempt got, so that the caller can decide whether a retry is safe.
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

	"github.com/hickorywick/hickorywick/lib/hwresponse"
)

// AttemptIDHeader carries the attempt ID to the upstream, which echoes it in the response.
const AttemptIDHeader = "X-Attempt-Id"

// Attempt is one attempt to send a request to one upstream.
type Attempt struct {
	ID       string
	Upstream string
	Method   string
	Path     string
	Header   http.Header
	Body     []byte
	// Idempotent allows the attempt to reuse a pooled connection. Other attempts use a new connection each: net/http retries some requests by itself when a reused connection breaks, but never on a new one.
	Idempotent bool
	// IdleTimeout is how long the upstream may send nothing before the attempt is cancelled.
	IdleTimeout time.Duration
}

// Error describes a failed attempt and how far it got.
type Error struct {
	Upstream string
	// MaybeSent reports whether bytes of the request may have reached the upstream.
	MaybeSent bool
	// ResponseMismatch reports whether the response belonged to another attempt.
	ResponseMismatch bool
	// IdleTimedOut reports whether the upstream sent nothing for the idle timeout.
	IdleTimedOut bool
	// ConnectionBroken reports whether the connection broke during the attempt, as it does when the upstream crashes.
	ConnectionBroken bool
	Cause            error
}

func (e *Error) Error() string {
	return "attempt at upstream " + e.Upstream + " failed: " + e.Cause.Error()
}

// Unwrap returns the cause of the failure.
func (e *Error) Unwrap() error { return e.Cause }

// IdleTimeoutError is the cause of a failed attempt whose upstream sent nothing for the idle timeout.
type IdleTimeoutError struct {
	Timeout time.Duration
}

func (e *IdleTimeoutError) Error() string { return "upstream sent no data for " + e.Timeout.String() }

// ResponseMismatchError is the cause of a failed attempt that received the response to another attempt.
type ResponseMismatchError struct {
	SentID     string
	ReceivedID string
}

func (e *ResponseMismatchError) Error() string {
	return "response carries attempt ID " + e.ReceivedID + " instead of " + e.SentID
}

// TruncatedStreamError is the cause of a failed attempt whose event stream ended without DoneMarker.
type TruncatedStreamError struct{}

func (e *TruncatedStreamError) Error() string { return "event stream ended before the end marker" }

// Response is an upstream's response whose attempt ID has been checked. The caller must call Close.
type Response struct {
	Status    int
	Header    http.Header
	attempt   Attempt
	body      io.ReadCloser
	idleTimer *idleTimer
	cancel    context.CancelFunc
}

// Client sends attempts. It has up to two transports per upstream: one that pools connections and one that opens a connection per request.
type Client struct {
	dialTimeout time.Duration
	transports  sync.Map
	// echoing holds the upstreams that have echoed an attempt ID.
	echoing sync.Map
}

// NewClient returns a client with the given timeout for establishing a connection.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{
		dialTimeout: dialTimeout,
	}
}

// Limits of the connection pools, and TCP keep-alive settings that detect connections whose state a middlebox, such as a NAT gateway or firewall, has dropped.
const (
	maxIdleConnsPerUpstream = 64
	idleConnTimeout         = 30 * time.Second
	keepAliveIdle           = 5 * time.Second
	keepAliveInterval       = 2 * time.Second
	keepAliveProbes         = 3
	maxResponseHeaderBytes  = 64 << 10
	// connBufferBytes is small because most open connections carry a stream of small events; larger reads and writes bypass the buffer.
	connBufferBytes = 1 << 10
)

func (c *Client) transport(upstream string, idempotent bool) *hwresponse.Transport {
	key := upstream
	if !idempotent {
		key = "fresh " + upstream
	}
	if existing, found := c.transports.Load(key); found {
		return existing.(*hwresponse.Transport)
	}
	dialer := &net.Dialer{
		Timeout: c.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	created := hwresponse.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return hwresponse.NewConn(conn), nil
		},
		MaxIdleConnsPerHost:    maxIdleConnsPerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		DisableKeepAlives:      !idempotent,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
		// A non-nil empty map disables the automatic upgrade to HTTP/2.
		TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
	})
	actual, _ := c.transports.LoadOrStore(key, created)
	return actual.(*hwresponse.Transport)
}

// CloseIdleConnections closes the idle pooled connections to an upstream.
func (c *Client) CloseIdleConnections(upstream string) {
	c.transport(upstream, true).CloseIdleConnections()
}

// Close closes the idle connections to all upstreams.
func (c *Client) Close() {
	c.transports.Range(func(_, transport any) bool {
		transport.(*hwresponse.Transport).CloseIdleConnections()
		return true
	})
}

// Do sends an attempt and returns its response once the header has arrived and its attempt ID has been checked.
func (c *Client) Do(ctx context.Context, attempt Attempt) (*Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := newIdleTimer(attempt.IdleTimeout, cancel)
	var gotConn, reused atomic.Bool
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			gotConn.Store(true)
			reused.Store(info.Reused)
		},
	})
	request, err := newRequest(tracedCtx, attempt)
	if err != nil {
		timer.stop()
		cancel()
		return nil, newAttemptError(attempt, false, timer, err)
	}
	httpResponse, err := c.transport(attempt.Upstream, attempt.Idempotent).RoundTrip(request) //nolint:bodyclose // Response.Close closes it.
	if err != nil {
		timer.stop()
		cancel()
		return nil, newAttemptError(attempt, gotConn.Load(), timer, err)
	}
	response := &Response{
		Status:    httpResponse.StatusCode,
		Header:    httpResponse.Header,
		attempt:   attempt,
		body:      httpResponse.Body,
		idleTimer: timer,
		cancel:    cancel,
	}
	if echoed := httpResponse.Header.Get(AttemptIDHeader); c.isMismatch(attempt, echoed, reused.Load()) {
		response.Close()
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
	timer.reset()
	return response, nil
}

// isMismatch reports whether a response belongs to another attempt. Not all upstreams echo the ID. From one that does, a response without it on a reused connection may be a late one to an earlier attempt.
func (c *Client) isMismatch(attempt Attempt, echoed string, reused bool) bool {
	if echoed == attempt.ID {
		c.echoing.Store(attempt.Upstream, true)
		return false
	}
	_, echoes := c.echoing.Load(attempt.Upstream)
	return echoed != "" || reused && echoes
}

func newRequest(ctx context.Context, attempt Attempt) (*http.Request, error) {
	var body io.Reader
	if len(attempt.Body) > 0 {
		// NopCloser hides the bytes.Reader from net/http, which would otherwise set GetBody and could then send the body twice.
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

func newAttemptError(attempt Attempt, maybeSent bool, timer *idleTimer, cause error) *Error {
	failure := &Error{
		Upstream:  attempt.Upstream,
		MaybeSent: maybeSent,
		Cause:     cause,
	}
	if timer.expired.Load() {
		failure.IdleTimedOut = true
		failure.Cause = &IdleTimeoutError{
			Timeout: attempt.IdleTimeout,
		}
		return failure
	}
	// An upstream that sends an invalid response has not crashed.
	var invalid *hwresponse.HeadError
	failure.ConnectionBroken = maybeSent && !errors.As(cause, &invalid) && !errors.Is(cause, context.Canceled) && !errors.Is(cause, context.DeadlineExceeded)
	return failure
}

// Close releases the connection. A connection whose response was not read to its end is closed instead of being reused.
func (r *Response) Close() {
	r.idleTimer.stop()
	r.cancel()
	_ = r.body.Close()
}

// ResponseTooLargeError is the cause of a failed attempt whose response body exceeds the size limit in bytes.
type ResponseTooLargeError struct {
	Limit int64
}

func (e *ResponseTooLargeError) Error() string {
	return "response body is larger than " + strconv.FormatInt(e.Limit, 10) + " bytes"
}

// ReadAll reads the rest of the response body, which may have at most limit bytes. It returns an error for a body shorter than its Content-Length, since net/http reports that.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	var buffer bytes.Buffer
	_, err := io.Copy(&buffer, io.LimitReader(r.bodyReader(), limit+1))
	if err != nil {
		return nil, newAttemptError(r.attempt, true, r.idleTimer, err)
	}
	if int64(buffer.Len()) > limit {
		failure := newAttemptError(r.attempt, true, r.idleTimer, &ResponseTooLargeError{
			Limit: limit,
		})
		// An oversized response is no sign of a crashed upstream.
		failure.ConnectionBroken = false
		return nil, failure
	}
	return buffer.Bytes(), nil
}

// IsStream reports whether the response is a server-sent event stream.
func (r *Response) IsStream() bool {
	return strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
}

// DoneMarker is the data of the event that ends a stream in the OpenAI-compatible format.
const DoneMarker = "[DONE]"

// ReadEvents calls yield for each event of the stream, including the end marker. It returns an error with the cause TruncatedStreamError if the last event is not the end marker.
func (r *Response) ReadEvents(maxEventBytes int, yield func(sse.Event) error) error {
	done := false
	config := &sse.ReadConfig{
		MaxEventSize: maxEventBytes,
	}
	for event, err := range sse.Read(r.bodyReader(), config) {
		if err != nil {
			return newAttemptError(r.attempt, true, r.idleTimer, err)
		}
		done = event.Data == DoneMarker
		if err := yield(event); err != nil {
			return err
		}
	}
	if !done {
		failure := newAttemptError(r.attempt, true, r.idleTimer, &TruncatedStreamError{})
		failure.ConnectionBroken = !failure.IdleTimedOut
		return failure
	}
	return nil
}

func (r *Response) bodyReader() io.Reader {
	return progressReader{
		reader:    r.body,
		idleTimer: r.idleTimer,
	}
}

type progressReader struct {
	reader    io.Reader
	idleTimer *idleTimer
}

// Read restarts the idle timer whenever bytes arrive.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if n > 0 {
		r.idleTimer.reset()
	}
	return n, err
}

// idleTimer cancels an attempt that makes no progress within the timeout.
type idleTimer struct {
	timeout time.Duration
	timer   *time.Timer
	expired atomic.Bool
}

func newIdleTimer(timeout time.Duration, cancel context.CancelFunc) *idleTimer {
	t := &idleTimer{
		timeout: timeout,
	}
	t.timer = time.AfterFunc(timeout, func() {
		t.expired.Store(true)
		cancel()
	})
	return t
}

func (t *idleTimer) reset() { t.timer.Reset(t.timeout) }

func (t *idleTimer) stop() { t.timer.Stop() }
