package hwlink

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// IdleState is the state of the idle connections to an upstream.
type IdleState int

const (
	// IdleNone means that there are none, so that nothing is known of the upstream.
	IdleNone IdleState = iota
	// IdleOpen means that the upstream has not closed all of them.
	IdleOpen
	// IdleClosed means that the upstream has closed or reset all of them.
	IdleClosed
)

// IdleState looks at the idle connections to the upstream without using them.
func (t *Transport) IdleState(now time.Time, address string) IdleState {
	t.lock.Lock()
	defer t.lock.Unlock()
	state := IdleNone
	for _, c := range t.idle[address] {
		if !now.Before(c.expiresAt) {
			continue
		}
		if isOpen(c) {
			return IdleOpen
		}
		state = IdleClosed
	}
	return state
}

// isOpen reports whether the peer has neither closed nor reset the connection.
func isOpen(c *conn) bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = n > 0 || err == unix.EAGAIN
	})
	return err == nil && open
}
