package hwworld

import (
	"net"
	"syscall"

	"github.com/gravitational/trace"
)

// portReservation keeps a port bound without listening on it, so that connections to a killed stand-in are refused and no other process can listen in its place.
type portReservation struct {
	socket int
}

// reservePort binds a loopback address without listening on it.
func reservePort(address string) (*portReservation, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &portReservation{
		socket: socket,
	}
	socketAddress := &syscall.SockaddrInet4{
		Port: tcp.Port,
		Addr: [4]byte(tcp.IP.To4()),
	}
	// Connections that have just been closed still occupy the port, so binding needs SO_REUSEADDR. It is cleared after the bind, since it would allow other sockets to bind the same port.
	err = trace.NewAggregate(
		syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(socket, socketAddress),
		syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0))
	if err != nil {
		r.release()
		return nil, trace.Wrap(err)
	}
	return r, nil
}

// release frees the port. It does nothing on a nil reservation.
func (r *portReservation) release() {
	if r != nil {
		_ = syscall.Close(r.socket)
	}
}
