package hwlink

import (
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetEndpoints limits the pool to connections to the given endpoints. Idle connections to others are closed, and those in use are closed after their exchange. Without a call, connections to all endpoints are pooled.
func (t *Transport) SetEndpoints(endpoints []Endpoint) {
	listed := make(map[Endpoint]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e] = true
	}
	var closing []*conn
	t.lock.Lock()
	t.endpoints = listed
	for address, idle := range t.idle {
		kept := slices.DeleteFunc(idle, func(c *conn) bool {
			left := !t.isPooled(address, c.process)
			if left {
				closing = append(closing, c)
			}
			return left
		})
		if len(kept) == 0 {
			delete(t.idle, address)
			continue
		}
		t.idle[address] = kept
	}
	t.lock.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// isPooled reports whether connections to an endpoint are pooled. The lock must be held.
func (t *Transport) isPooled(address string, process Process) bool {
	return t.endpoints == nil || t.endpoints[Endpoint{
		Address: address,
		Process: process,
	}]
}

// CloseIdleConnections closes the idle connections to the given upstream.
func (t *Transport) CloseIdleConnections(address string) {
	t.lock.Lock()
	idle := t.idle[address]
	delete(t.idle, address)
	t.lock.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// takeIdle removes and returns the most recently used idle connection that is still usable, or nil if there is none. If the most recently used one exceeds maxIdle, so do all others.
func (t *Transport) takeIdle(now time.Time, address string, maxIdle time.Duration) *conn {
	t.lock.Lock()
	defer t.lock.Unlock()
	idle := t.idle[address]
	for len(idle) > 0 {
		c := idle[len(idle)-1]
		if maxIdle > 0 && now.Sub(c.idleSince) > maxIdle {
			return nil
		}
		idle = idle[:len(idle)-1]
		t.idle[address] = idle
		if now.Before(c.expiresAt) && noDataPending(c) {
			return c
		}
		_ = c.Close()
	}
	delete(t.idle, address)
	return nil
}

// noDataPending reports whether an idle connection is still open and has received no bytes, which would belong to no request.
func noDataPending(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := unix.Read(int(fd), one[:])
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}

// putIdle adds a connection to the pool, or closes it if the pool is full, its endpoint has left or the idle timeout is not positive.
func (t *Transport) putIdle(now time.Time, address string, process Process, c *conn, idleTimeout time.Duration) {
	c.expiresAt = now.Add(idleTimeout)
	c.idleSince = now
	c.process = process
	c.reused = true
	t.lock.Lock()
	defer t.lock.Unlock()
	idle := t.idle[address]
	if idleTimeout <= 0 || len(idle) >= t.settings.MaxIdlePerUpstream || !t.isPooled(address, process) {
		_ = c.Close()
		return
	}
	t.idle[address] = append(idle, c)
}
