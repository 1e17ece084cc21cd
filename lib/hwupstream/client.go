// Package hwupstream sends request attempts to upstreams over HTTP and reports how far a failed attempt got, so that the caller can decide whether a retry is safe.
package hwupstream

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"maps"
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
	transport *upstreamTransport
	body      io.ReadCloser
	idleTimer *idleTimer
	cancel    context.CancelFunc
}

// Client sends attempts. It has up to two transports per upstream: one that pools connections and one that opens a connection per request.
type Client struct {
	dialTimeout time.Duration

	lock sync.Mutex
	// transports holds the transports to the listed upstreams.
	transports map[transportKey]*upstreamTransport
	// listed contains the upstreams whose connections are pooled, or is nil for all.
	listed map[string]bool
	// echoing contains the upstreams that have echoed an attempt ID.
	echoing map[string]bool
}

type transportKey struct {
	upstream   string
	idempotent bool
}

// upstreamTransport is the transport of one upstream.
type upstreamTransport struct {
	*hwresponse.Transport
	// retired is set once the upstream is no longer listed.
	retired atomic.Bool
}

// closeIfRetired closes the connections that a request has put back after its upstream had left the list.
func (t *upstreamTransport) closeIfRetired() {
	if t.retired.Load() {
		t.CloseIdleConnections()
	}
}

// NewClient returns a client with the given timeout for establishing a connection.
func NewClient(dialTimeout time.Duration) *Client {
	return &Client{
		dialTimeout: dialTimeout,
		transports:  map[transportKey]*upstreamTransport{},
		echoing:     map[string]bool{},
	}
}

// SetUpstreams limits the pooled connections to those to the given upstreams. Idle connections to others are closed, and those in use are closed after their attempt. Without a call, connections to all upstreams are pooled.
func (c *Client) SetUpstreams(upstreams []string) {
	listed := make(map[string]bool, len(upstreams))
	for _, upstream := range upstreams {
		listed[upstream] = true
	}
	var retired []*upstreamTransport
	c.lock.Lock()
	c.listed = listed
	for key, t := range c.transports {
		if !listed[key.upstream] {
			delete(c.transports, key)
			retired = append(retired, t)
		}
	}
	maps.DeleteFunc(c.echoing, func(upstream string, _ bool) bool { return !listed[upstream] })
	c.lock.Unlock()
	for _, t := range retired {
		t.retired.Store(true)
		t.CloseIdleConnections()
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

// transport returns the transport for attempts to an upstream. One that is not listed gets a transport that pools nothing and is not kept.
func (c *Client) transport(upstream string, idempotent bool) *upstreamTransport {
	key := transportKey{
		upstream:   upstream,
		idempotent: idempotent,
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.listed != nil && !c.listed[upstream] {
		return c.newTransport(false)
	}
	t := c.transports[key]
	if t == nil {
		t = c.newTransport(idempotent)
		c.transports[key] = t
	}
	return t
}

func (c *Client) newTransport(keepAlive bool) *upstreamTransport {
	dialer := &net.Dialer{
		Timeout: c.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	transport := hwresponse.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return hwresponse.NewConn(conn), nil
		},
		MaxIdleConnsPerHost:    maxIdleConnsPerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		DisableKeepAlives:      !keepAlive,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         connBufferBytes,
		WriteBufferSize:        connBufferBytes,
		// A non-nil empty map disables the automatic upgrade to HTTP/2.
		TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
	})
	return &upstreamTransport{
		Transport: transport,
	}
}

// CloseIdleConnections closes the idle pooled connections to an upstream.
func (c *Client) CloseIdleConnections(upstream string) {
	c.transport(upstream, true).CloseIdleConnections()
}

// Close closes the idle connections to all upstreams.
func (c *Client) Close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, t := range c.transports {
		t.CloseIdleConnections()
	}
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
	transport := c.transport(attempt.Upstream, attempt.Idempotent)
	httpResponse, err := transport.RoundTrip(request) //nolint:bodyclose // Response.Close closes it.
	if err != nil {
		timer.stop()
		cancel()
		return nil, newAttemptError(attempt, gotConn.Load(), timer, err)
	}
	response := &Response{
		Status:    httpResponse.StatusCode,
		Header:    httpResponse.Header,
		attempt:   attempt,
		transport: transport,
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
	c.lock.Lock()
	defer c.lock.Unlock()
	if echoed == attempt.ID {
		if c.listed == nil || c.listed[attempt.Upstream] {
			c.echoing[attempt.Upstream] = true
		}
		return false
	}
	echoes := c.echoing[attempt.Upstream]
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
	r.transport.closeIfRetired()
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
