// Package hwlink exchanges HTTP/1.1 requests and answers with upstreams over connections that it keeps itself, and says truthfully how far each exchange got.
//
// The standard library's transport sends some requests again by itself when a kept connection breaks. Here nothing is ever sent twice: a request is written to one connection at most, and what happened to it is reported.
package hwlink

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Settings bound connections to upstreams.
type Settings struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept when the upstream states no time of its own.
	IdleTimeout time.Duration
	// IdleTimeoutMargin is how much earlier than the upstream's own idle timeout a connection is given up, so that a request does not cross its close.
	IdleTimeoutMargin time.Duration
	// MaxIdlePerUpstream bounds the connections that are kept for one upstream.
	MaxIdlePerUpstream int
	// TCPUserTimeout is how long a connection may leave sent bytes without an acknowledgement. It also paces the keep-alive probes that find a connection which something between the ends has forgotten.
	TCPUserTimeout time.Duration
}

// Request is what goes to an upstream.
type Request struct {
	Address string
	Method  string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID and IDHeader let an answer be checked: one that echoes another id belongs to another request.
	ID       string
	IDHeader string
	// MaxConnIdleTime is how long a kept connection may have been idle to be used; 0 is no bound. An upstream may drop an idle connection without a word, and what is sent on it then may be lost or not: a request that can't be repeated had better pay for a new one.
	MaxConnIdleTime time.Duration
	// NewConnection asks for a new connection, on which no answer to an earlier request can arrive.
	NewConnection bool
}

// ExchangeError says how far a failed exchange got.
type ExchangeError struct {
	Address string
	// MaybeSent tells that bytes of the request may have reached the upstream.
	MaybeSent bool
	// IDMismatch tells that an answer to another request came.
	IDMismatch bool
	// ConnectionFailed tells that the connection broke, as it does when the upstream crashes.
	ConnectionFailed bool
	Cause            error
}

// Error names the upstream and the cause.
func (f *ExchangeError) Error() string {
	return "the exchange with " + f.Address + " failed: " + f.Cause.Error()
}

// Unwrap returns the cause.
func (f *ExchangeError) Unwrap() error { return f.Cause }

// IDMismatchError is the cause when an answer belongs to another request.
type IDMismatchError struct {
	Want string
	Got  string
}

// Error says which ids differ.
func (e *IDMismatchError) Error() string {
	if e.Got == "" {
		return "the answer carried no id in place of " + e.Want + " on a connection that had carried others"
	}
	return "the answer carried id " + e.Got + " in place of " + e.Want
}

// FramingError is the cause when an answer's frame can't be relied on.
type FramingError struct {
	Problem string
}

// Error says what is wrong.
func (e *FramingError) Error() string { return "the answer " + e.Problem }

// conn is a connection and its reader.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// head bounds what the reader takes while a head is read.
	head *headReader
	// until is when the connection must not be used any more.
	until time.Time
	// since is when the connection became idle.
	since time.Time
	// used tells that the connection has carried another exchange before.
	used bool
}

// Transport keeps the connections to all upstreams.
type Transport struct {
	settings Settings
	dialer   net.Dialer
	lock     sync.Mutex
	idle     map[string][]*conn
	opened   int64
}

// New returns links without connections.
func New(settings Settings) *Transport {
	return &Transport{
		settings: settings,
		dialer:   Dialer(settings.DialTimeout, settings.TCPUserTimeout),
		idle:     map[string][]*conn{},
	}
}

// Dialer returns a dialer whose connections notice within about the silence timeout that the other end can't be reached any more.
func Dialer(dial, silence time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: dial,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     silence / 2,
			Interval: silence / 4,
			Count:    2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}

// ConnectionsOpened returns the number of connections opened so far.
func (l *Transport) ConnectionsOpened() int64 {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.opened
}

// CloseIdleConnections closes the idle connections to an upstream.
func (l *Transport) CloseIdleConnections(address string) {
	l.lock.Lock()
	idle := l.idle[address]
	delete(l.idle, address)
	l.lock.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// take returns a sound idle connection, the one used last first. When that one has been idle for too long, all others have.
func (l *Transport) take(now time.Time, address string, maxIdle time.Duration) *conn {
	l.lock.Lock()
	defer l.lock.Unlock()
	idle := l.idle[address]
	for len(idle) > 0 {
		c := idle[len(idle)-1]
		if maxIdle > 0 && now.Sub(c.since) > maxIdle {
			return nil
		}
		idle = idle[:len(idle)-1]
		l.idle[address] = idle
		if now.Before(c.until) && quiet(c) {
			return c
		}
		_ = c.Close()
	}
	delete(l.idle, address)
	return nil
}

// quiet reports whether nothing came on an idle connection: neither its end nor bytes that belong to no request.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := unix.Read(int(fd), one[:])
		sound = err == unix.EAGAIN
		return true
	})
	return err == nil && sound
}

func (l *Transport) put(now time.Time, address string, c *conn, keep time.Duration) {
	c.until = now.Add(keep)
	c.since = now
	c.used = true
	l.lock.Lock()
	defer l.lock.Unlock()
	idle := l.idle[address]
	if keep <= 0 || len(idle) >= l.settings.MaxIdlePerUpstream {
		_ = c.Close()
		return
	}
	l.idle[address] = append(idle, c)
}

func (l *Transport) dial(ctx context.Context, address string) (*conn, error) {
	l.lock.Lock()
	l.opened++
	l.lock.Unlock()
	c, err := l.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func newConn(c net.Conn) *conn {
	bounded := &headReader{
		source: c,
		left:   unbounded,
	}
	return &conn{
		Conn:   c,
		reader: bufio.NewReaderSize(bounded, readBuffer),
		head:   bounded,
	}
}

// readBuffer is small because most connections carry small events; larger reads pass it by. In bytes.
const readBuffer = 4 << 10

// head returns the request's head as it goes over the wire.
func head(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writing to a buffer does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// smallBody is the size up to which head and body are written together before the answer is read, in bytes: it fits the socket's buffer.
const smallBody = 32 << 10

// Do sends a request and returns the head of its answer. Cancelling the context closes the connection, which ends the run at the upstream.
func (l *Transport) Do(ctx context.Context, now time.Time, r *Request) (*Response, *ExchangeError) {
	var c *conn
	// Without an id, nothing would tell the answer from a late one to an earlier request.
	if anonymous := r.IDHeader != "" && r.ID == ""; !r.NewConnection && !anonymous {
		c = l.take(now, r.Address, r.MaxConnIdleTime)
	}
	if c == nil {
		opened, err := l.dial(ctx, r.Address)
		if err != nil {
			return nil, &ExchangeError{
				Address:          r.Address,
				ConnectionFailed: true,
				Cause:            err,
			}
		}
		c = opened
	}
	// The context's end wakes whatever waits on the connection.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	a := &Response{
		links:   l,
		conn:    c,
		stop:    stop,
		ended:   ctx.Err,
		request: r,
	}
	if err := a.send(); err != nil {
		a.Close()
		return nil, &ExchangeError{
			Address:          r.Address,
			MaybeSent:        true,
			ConnectionFailed: true,
			Cause:            err,
		}
	}
	if failure := a.readHead(); failure != nil {
		a.Close()
		return nil, failure
	}
	return a, nil
}

// Response is an upstream's answer whose head was read. Close must be called; Finish before it keeps the connection.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 when it is not known in advance.
	Length int64
	Body   io.Reader

	links *Transport
	conn  *conn
	stop  func() bool
	// ended returns an error once the exchange was cancelled.
	ended   func() error
	request *Request
	// written is set for a body that is written beside the reading; it is closed when all is written.
	written <-chan error
	// unframed answers end with their connection.
	unframed bool
	closing  bool
	closed   bool
}

// send writes the request. A long body is written beside the reading of the answer, because an upstream may answer before it has read it.
func (a *Response) send() error {
	top := head(a.request)
	if len(a.request.Body) <= smallBody {
		_, err := a.conn.Write(append(top, a.request.Body...))
		return err
	}
	if _, err := a.conn.Write(top); err != nil {
		return err
	}
	// Closing the connection ends the writing.
	a.written = hwtask.Start(context.Background(), func(context.Context) error {
		_, err := a.conn.Write(a.request.Body)
		return err
	})
	return nil
}

// strayAnswers bounds the answers to other requests that are skipped on one connection.
const strayAnswers = 2

// readHead reads the answer's head. An answer that echoes another id came late for an earlier request: it is skipped if its end is known and near.
func (a *Response) readHead() *ExchangeError {
	for skipped := 0; ; skipped++ {
		response, err := a.finalHead() //nolint:bodyclose // Closing the body would read it; the connection is closed or drained instead.
		if err != nil {
			return a.failed(err, broken(err))
		}
		echoed := response.Header.Get(a.request.IDHeader)
		if a.request.IDHeader == "" || echoed == a.request.ID || echoed == "" && !a.conn.used {
			a.take(response)
			return nil
		}
		crossed := a.failed(&IDMismatchError{
			Want: a.request.ID,
			Got:  echoed,
		}, false)
		crossed.IDMismatch = true
		if skipped >= strayAnswers || echoed == "" || unframed(response, a.request.Method) || !drained(response.Body, strayBytes) {
			return crossed
		}
	}
}

// drained reads a body to its end and reports whether it came within the bound.
func drained(body io.Reader, bound int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, bound+1))
	return err == nil && n <= bound
}

// unframed reports whether an answer has no length and ends with its connection.
func unframed(response *http.Response, method string) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && method != http.MethodHead
}

// broken reports whether a failed read says that the connection ended, in place of carrying bytes that are no answer.
func broken(err error) bool {
	var network *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

func (a *Response) take(response *http.Response) {
	a.Status = response.StatusCode
	a.Header = response.Header
	a.Length = response.ContentLength
	a.Body = response.Body
	a.closing = response.Close
	a.unframed = unframed(response, a.request.Method)
}

func (a *Response) failed(cause error, broken bool) *ExchangeError {
	return &ExchangeError{
		Address:          a.request.Address,
		MaybeSent:        true,
		ConnectionFailed: broken,
		Cause:            cause,
	}
}

// CloseDelimited reports whether the answer has no length and ends with its connection.
func (a *Response) CloseDelimited() bool { return a.unframed }

// SetReadDeadline bounds the wait for the next bytes of the answer.
func (a *Response) SetReadDeadline(at time.Time) error {
	if err := a.conn.SetReadDeadline(at); err != nil {
		return err
	}
	// The cancellation may have set its own deadline just before.
	if err := a.ended(); err != nil {
		return err
	}
	return nil
}

// ReleaseConnection keeps the connection for another request if there is no doubt about it. The body must have been read to its end.
func (a *Response) ReleaseConnection(now time.Time) {
	if a.closed {
		return
	}
	if a.unframed || a.closing || a.conn.reader.Buffered() > 0 || !a.allWritten() || !a.stop() {
		a.Close()
		return
	}
	if a.conn.SetDeadline(time.Time{}) != nil {
		a.Close()
		return
	}
	a.closed = true
	a.links.put(now, a.request.Address, a.conn, a.links.keepFor(a.Header))
}

// allWritten reports whether the whole request went out.
func (a *Response) allWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// keepFor returns how long a connection may stay idle after an answer.
func (l *Transport) keepFor(header http.Header) time.Duration {
	for _, word := range strings.Split(header.Get("Keep-Alive"), ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(word), "timeout="); found {
			if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
				return min(l.settings.IdleTimeout, time.Duration(seconds)*time.Second-l.settings.IdleTimeoutMargin)
			}
		}
	}
	return l.settings.IdleTimeout
}

// Close closes the connection, which ends the request's run at the upstream if it still goes on.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.stop()
	_ = a.conn.Close()
}

// CanConnect reports whether an upstream takes a new connection.
func (l *Transport) CanConnect(ctx context.Context, address string) bool {
	c, err := l.dial(ctx, address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
