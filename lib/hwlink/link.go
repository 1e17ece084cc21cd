// Package hwlink is an HTTP/1.1 client transport with a connection pool. Its errors state whether the request may have reached the upstream.
//
// The standard library's transport retries some requests by itself when a reused connection breaks. This transport never retries: it writes a request to at most one connection and leaves the decision to retry to its caller.
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

	"github.com/hickorywick/hickorywick/lib/hwresponse"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Settings hold the timeouts and limits of the connections to upstreams.
type Settings struct {
	// DialTimeout limits how long opening a connection may take.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection stays in the pool. A Keep-Alive header of the upstream can shorten it.
	IdleTimeout time.Duration
	// IdleTimeoutMargin is how much earlier than the upstream's own idle timeout a connection expires, so that no request is sent just as the upstream closes the connection.
	IdleTimeoutMargin time.Duration
	// MaxIdlePerUpstream limits the idle connections to one upstream.
	MaxIdlePerUpstream int
	// TCPUserTimeout is how long sent data may stay unacknowledged before the connection fails. The interval of TCP keep-alive probes, which detect a connection whose state a middlebox has dropped, is derived from it.
	TCPUserTimeout time.Duration
}

// Process identifies one start of an upstream. Different starts may have the same address.
type Process struct {
	ID          string
	Incarnation int64
}

// Endpoint is an address and the process behind it.
type Endpoint struct {
	Address string
	Process Process
}

// Request is a request to an upstream.
type Request struct {
	Address string
	// Process is the process to which the request is addressed. It decides only whether the connection is pooled afterwards; see SetEndpoints.
	Process Process
	Method  string
	// Target is the request target, exactly as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the request's ID, and IDHeader the response header in which the upstream echoes it. A response with another ID belongs to another request.
	ID       string
	IDHeader string
	// MaxConnIdleTime is the longest time for which a reused connection may have been idle; 0 means no limit. An upstream may drop an idle connection silently, and whether it received a request sent after that is unknown. A request that must not be retried therefore had better use a new connection.
	MaxConnIdleTime time.Duration
	// Withhold is called once a connection is open, right before the request is sent, which it prevents by returning true. It may be nil.
	Withhold func() bool
	// NewConnection requires a new connection, on which no response to an earlier request can arrive.
	NewConnection bool
}

// conn is a connection with its buffered reader and its state in the pool.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// limiter limits the size of a response head.
	limiter *headLimiter
	// arrived is where the limiter reads from.
	arrived *arrivedReader
	// expiresAt is the time from which the connection must not be reused.
	expiresAt time.Time
	idleSince time.Time
	// process is the one that served the latest exchange.
	process Process
	// reused reports that the connection has carried an earlier exchange.
	reused bool
}

// Transport sends requests to upstreams and pools the connections to them.
type Transport struct {
	settings Settings
	dialer   net.Dialer
	lock     sync.Mutex
	// idle holds the idle connections by upstream address, the most recently used last.
	idle map[string][]*conn
	// endpoints are those whose connections are pooled, or nil for all.
	endpoints map[Endpoint]bool
	// opened counts the attempts to open a connection.
	opened int64
}

// New returns a transport with an empty connection pool.
func New(settings Settings) *Transport {
	return &Transport{
		settings: settings,
		dialer:   Dialer(settings.DialTimeout, settings.TCPUserTimeout),
		idle:     map[string][]*conn{},
	}
}

// Dialer returns a dialer whose connections detect an unreachable peer within about the TCP user timeout, also while they are idle.
func Dialer(dialTimeout, userTimeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     userTimeout / 2,
			Interval: userTimeout / 4,
			Count:    2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}

// ConnectionsOpened returns how many connections were dialled so far, failed attempts included.
func (t *Transport) ConnectionsOpened() int64 {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.opened
}

func (t *Transport) dial(ctx context.Context, address string) (*conn, error) {
	t.lock.Lock()
	t.opened++
	t.lock.Unlock()
	c, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func newConn(c net.Conn) *conn {
	arrived := &arrivedReader{
		conn:      c,
		remaining: unlimited,
	}
	limiter := &headLimiter{
		source:    arrived,
		remaining: unlimited,
	}
	return &conn{
		Conn:    c,
		reader:  bufio.NewReaderSize(limiter, readBufferBytes),
		limiter: limiter,
		arrived: arrived,
	}
}

// readBufferBytes is small because most connections carry small events; a read larger than the buffer bypasses it.
const readBufferBytes = 4 << 10

// encodeRequest returns the request head in wire format, with spare capacity for the body.
func encodeRequest(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// singleWriteBytes is the largest body that is written together with the head before the response is read: it fits into the socket's send buffer.
const singleWriteBytes = 32 << 10

// pastDeadline is a deadline that interrupts the reads and writes that wait on a connection.
var pastDeadline = time.Unix(1, 0)

// Do sends a request and returns the response once its head has been read. Cancelling the context interrupts the exchange; the connection is then closed, which ends the request's execution at the upstream.
func (t *Transport) Do(ctx context.Context, now time.Time, r *Request) (*Response, *ExchangeError) {
	var c *conn
	// Without an ID, a late response to an earlier request on the same connection could not be detected.
	if missingID := r.IDHeader != "" && r.ID == ""; !r.NewConnection && !missingID {
		c = t.takeIdle(now, r.Address, r.MaxConnIdleTime)
	}
	if c == nil {
		opened, err := t.dial(ctx, r.Address)
		if err != nil {
			return nil, &ExchangeError{
				Address:          r.Address,
				ConnectionFailed: true,
				Cause:            err,
			}
		}
		c = opened
	}
	if r.Withhold != nil && r.Withhold() {
		_ = c.Close()
		return nil, &ExchangeError{
			Address: r.Address,
			Cause:   &WithheldError{},
		}
	}
	c.arrived.begin(ctx)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	resp := &Response{
		transport: t,
		conn:      c,
		stop:      stop,
		cancelErr: ctx.Err,
		request:   r,
	}
	if err := resp.send(); err != nil {
		resp.Close()
		return nil, &ExchangeError{
			Address:          r.Address,
			MaybeSent:        true,
			ConnectionFailed: true,
			Cause:            err,
		}
	}
	if failure := resp.readHead(); failure != nil {
		resp.Close()
		return nil, failure
	}
	return resp, nil
}

// Response is an upstream's response whose head has been read. Close must be called. ReleaseConnection, called before Close, keeps the connection for reuse.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is not known in advance.
	Length int64
	Body   io.Reader

	transport *Transport
	conn      *conn
	stop      func() bool
	// cancelErr returns an error once the exchange was cancelled.
	cancelErr func() error
	request   *Request
	// bodyWritten receives the result of a body write that runs concurrently with reading the response, and is then closed. It is nil for a small body.
	bodyWritten <-chan error
	// closeDelimited reports that the end of the connection marks the end of the body.
	closeDelimited bool
	// connectionClose reports that the upstream closes the connection after this response.
	connectionClose bool
	// done is set once the connection was closed or returned to the pool.
	done bool
}

// send writes the request. A large body is written concurrently with reading the response, because an upstream may respond before it has read the whole body.
func (resp *Response) send() error {
	head := encodeRequest(resp.request)
	if len(resp.request.Body) <= singleWriteBytes {
		_, err := resp.conn.Write(append(head, resp.request.Body...))
		return err
	}
	if _, err := resp.conn.Write(head); err != nil {
		return err
	}
	// Closing the connection ends this task.
	resp.bodyWritten = hwtask.Start(context.Background(), func(context.Context) error {
		_, err := resp.conn.Write(resp.request.Body)
		return err
	})
	return nil
}

// maxSkippedResponses limits how many responses to other requests are skipped on one connection.
const maxSkippedResponses = 2

// readHead reads the response head. A response with another ID is a late one to an earlier request: it is skipped if its body is delimited and short.
func (resp *Response) readHead() *ExchangeError {
	for skipped := 0; ; skipped++ {
		response, err := resp.readFinalHead() //nolint:bodyclose // Closing the body would read it; the connection is closed or drained instead.
		if err != nil {
			return resp.newError(err, isConnectionError(err))
		}
		echoedID := response.Header.Get(resp.request.IDHeader)
		if resp.request.IDHeader == "" || echoedID == resp.request.ID || echoedID == "" && !resp.conn.reused {
			resp.setHead(response)
			return nil
		}
		mismatch := resp.newError(&IDMismatchError{
			Want: resp.request.ID,
			Got:  echoedID,
		}, false)
		mismatch.IDMismatch = true
		if skipped >= maxSkippedResponses || echoedID == "" || hwresponse.IsCloseDelimited(response, resp.request.Method) || !drain(hwresponse.NewBody(response), maxSkippedBodyBytes) {
			return mismatch
		}
	}
}

// drain reads and discards a body and reports whether it ended within the limit, in bytes.
func drain(body io.Reader, limit int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	return err == nil && n <= limit
}

// isConnectionError reports whether a read failed because the connection ended or broke, as opposed to receiving bytes that are no valid response.
func isConnectionError(err error) bool {
	var networkErr *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &networkErr)
}

func (resp *Response) setHead(response *http.Response) {
	resp.Status = response.StatusCode
	resp.Header = response.Header
	resp.Length = response.ContentLength
	resp.connectionClose = response.Close
	resp.closeDelimited = hwresponse.IsCloseDelimited(response, resp.request.Method)
	body := hwresponse.NewBody(response)
	if resp.closeDelimited {
		body = body.WithEndCheck(resp.checkRequestReceived)
	}
	resp.Body = body
}

// checkRequestReceived returns an error if the connection ended before the upstream had received the whole request.
//
// The end of the connection alone does not show that. A socket reports a reset once: if the write of the request takes the error, reads see a regular end.
func (resp *Response) checkRequestReceived() error {
	if resp.bodyWritten != nil {
		// A write that is still waiting would wait on, because the upstream may have closed only its own direction.
		if err := resp.conn.SetWriteDeadline(pastDeadline); err != nil {
			return err
		}
		if err := <-resp.bodyWritten; err != nil {
			return &hwresponse.EarlyCloseError{
				Cause: err,
			}
		}
	}
	return hwresponse.CheckReceived(resp.conn.Conn)
}

func (resp *Response) newError(cause error, connectionFailed bool) *ExchangeError {
	return &ExchangeError{
		Address:          resp.request.Address,
		MaybeSent:        true,
		ConnectionFailed: connectionFailed,
		Cause:            cause,
	}
}

// CloseDelimited reports whether the body ends with the connection, so that a truncated body can't be detected.
func (resp *Response) CloseDelimited() bool { return resp.closeDelimited }

// SetReadDeadline sets the time until which reads of the body wait for data.
func (resp *Response) SetReadDeadline(at time.Time) error {
	if err := resp.conn.SetReadDeadline(at); err != nil {
		return err
	}
	// A concurrent cancellation may have set its deadline just before this one replaced it.
	if err := resp.cancelErr(); err != nil {
		return err
	}
	return nil
}

// ReleaseConnection returns the connection to the pool if it is safe to reuse, and closes it otherwise. The body must have been read to its end.
func (resp *Response) ReleaseConnection(now time.Time) {
	if resp.done {
		return
	}
	if resp.closeDelimited || resp.connectionClose || resp.conn.reader.Buffered() > 0 || !resp.requestWritten() || !resp.stop() {
		resp.Close()
		return
	}
	if resp.conn.SetDeadline(time.Time{}) != nil {
		resp.Close()
		return
	}
	resp.done = true
	resp.conn.arrived.end()
	resp.transport.putIdle(now, resp.request.Address, resp.request.Process, resp.conn, resp.transport.idleTimeoutAfter(resp.Header))
}

// requestWritten reports whether the whole request was written.
func (resp *Response) requestWritten() bool {
	if resp.bodyWritten == nil {
		return true
	}
	select {
	case err := <-resp.bodyWritten:
		return err == nil
	default:
		return false
	}
}

// idleTimeoutAfter returns how long a connection may stay idle after a response with the given header: the timeout in its Keep-Alive field less the margin, but at most the transport's own idle timeout.
func (t *Transport) idleTimeoutAfter(header http.Header) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(parameter), "timeout="); found {
			if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
				return min(t.settings.IdleTimeout, time.Duration(seconds)*time.Second-t.settings.IdleTimeoutMargin)
			}
		}
	}
	return t.settings.IdleTimeout
}

// Close closes the connection unless it was released. Closing it ends the request's execution at the upstream if it is still running.
func (resp *Response) Close() {
	if resp.done {
		return
	}
	resp.done = true
	resp.stop()
	_ = resp.conn.Close()
}

// Probe opens a connection to the upstream and closes it again. The error is that of the attempt.
func (t *Transport) Probe(ctx context.Context, address string) error {
	c, err := t.dial(ctx, address)
	if err != nil {
		return err
	}
	_ = c.Close()
	return nil
}
