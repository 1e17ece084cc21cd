package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// call is one client attempt.
type call struct {
	method    string
	path      string
	body      string
	key       string
	timeout   time.Duration
	requestID string
	// prefix lists the parts of the prompt, or is empty.
	prefix string
}

// result is what the client saw.
type result struct {
	sentAt time.Time
	status int
	header http.Header
	body   string
	err    error
	// read reports that the whole request was written.
	written bool
	// closed reports that the router closes the channel after this answer.
	closed bool
}

func newRequestID() string { return fmt.Sprintf("%016x", 0x5000000000+requestNumber.Add(1)) }

// send makes one attempt on a new channel, as a client with the platform's headers does.
func (g *rig) send(r *router, c call) result {
	if c.requestID == "" {
		c.requestID = newRequestID()
	}
	conn, err := net.DialTimeout("tcp4", r.front(), time.Second)
	if err != nil {
		g.record.printf("sent      %s to %s: no connection: %v", c.requestID, r.name, err)
		return result{sentAt: time.Now(), err: err}
	}
	defer conn.Close()
	return g.exchange(conn, bufio.NewReader(conn), r.name, c)
}

// exchange sends a request on a channel and reads the answer.
func (g *rig) exchange(conn net.Conn, reader *bufio.Reader, name string, c call) result {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: app.example\r\nX-Hickorywick-Request-Id: %s\r\nX-Hickorywick-Timeout-Ms: %d\r\n", c.method, c.path, c.requestID, c.timeout.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", c.key)
	}
	if c.prefix != "" {
		fmt.Fprintf(&b, "X-Hickorywick-Model: m\r\nX-Hickorywick-Token-Usage: 1460,80\r\nX-Hickorywick-Prefix-Hash: %s\r\n", c.prefix)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	out := result{sentAt: time.Now()}
	_ = conn.SetDeadline(out.sentAt.Add(c.timeout + time.Second))
	g.record.printf("sent      %s %s %s to %s key=%q", c.requestID, c.method, c.path, name, c.key)
	if _, out.err = io.WriteString(conn, b.String()); out.err == nil {
		out.written = true
		var response *http.Response
		response, out.err = http.ReadResponse(reader, &http.Request{Method: c.method})
		if out.err == nil {
			var body []byte
			body, out.err = io.ReadAll(response.Body)
			out.status, out.header, out.body, out.closed = response.StatusCode, response.Header, string(body), response.Close
		}
	}
	if out.err != nil {
		g.record.printf("answered  %s no complete answer: %v", c.requestID, out.err)
	} else {
		g.record.printf("answered  %s %d signature=%q retry-after=%q", c.requestID, out.status, out.header.Get("X-Hickorywick-Response-Signature"), out.header.Get("Retry-After"))
	}
	return out
}
