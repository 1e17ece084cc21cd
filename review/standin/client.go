package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is what a client sends in one attempt, and what it gets.
type request struct {
	method, path, body string
	key                string
	// prefix lists the parts of a prompt, or is empty.
	prefix  string
	timeout time.Duration

	id       string
	router   *router
	sent     time.Time
	ended    time.Time
	status   int
	header   http.Header
	answer   string
	complete bool
}

func (q *request) served() bool { return q.status == http.StatusOK && q.complete }

// send makes one client attempt on a channel of its own.
func (w *world) send(r *router, q request) *request {
	q.id = fmt.Sprintf("%08x%06x", uint32(w.record.start.UnixNano()), w.nextRequest.Add(1))
	q.router = r
	if q.timeout == 0 {
		q.timeout = 4 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	r2, err := http.NewRequestWithContext(ctx, q.method, "http://"+r.front()+q.path, strings.NewReader(q.body))
	if err != nil {
		panic(err)
	}
	r2.Host = host
	r2.Header.Set("X-Hickorywick-Request-Id", q.id)
	r2.Header.Set("X-Hickorywick-Timeout-Ms", fmt.Sprint(q.timeout.Milliseconds()))
	if q.key != "" {
		r2.Header.Set("Authorization", "Token "+q.key)
	}
	if q.prefix != "" {
		r2.Header.Set("X-Hickorywick-Model", "m")
		r2.Header.Set("X-Hickorywick-Token-Usage", "900,80")
		r2.Header.Set("X-Hickorywick-Prefix-Hash", q.prefix)
	}
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	q.sent = time.Now()
	response, err := transport.RoundTrip(r2)
	if err == nil {
		q.status, q.header = response.StatusCode, response.Header
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		q.answer, q.complete = string(body), readErr == nil
	}
	q.ended = time.Now()
	w.record.line("%s %s %s to %s at %.3f: status %d, complete %t, after %d ms", q.id, q.method, q.path, r.name, q.sent.Sub(w.record.start).Seconds(), q.status, q.complete, q.ended.Sub(q.sent).Milliseconds())
	w.lock.Lock()
	w.requests = append(w.requests, &q)
	w.lock.Unlock()
	return &q
}

// every calls a function in a goroutine of its own at each interval until the context ends, and returns when all calls have.
func every(ctx context.Context, interval time.Duration, call func(number int)) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		running := make(chan struct{}, 1000)
		for number := 0; ; number++ {
			select {
			case <-ticker.C:
				running <- struct{}{}
				go func() {
					defer func() { <-running }()
					call(number)
				}()
			case <-ctx.Done():
				for range cap(running) {
					running <- struct{}{}
				}
				return
			}
		}
	}()
	return func() { <-done }
}
