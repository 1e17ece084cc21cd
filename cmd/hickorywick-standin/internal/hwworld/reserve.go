package hwworld

import (
	"net"
	"syscall"

	"github.com/gravitational/trace"
)

// reservation keeps a port from being given to anybody else while nobody listens on it, so that a killed stand-in refuses connections and no other program answers in its place.
type reservation struct {
	socket int
}

// reserve binds a loopback address without listening.
func reserve(address string) (*reservation, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &reservation{
		socket: socket,
	}
	name := &syscall.SockaddrInet4{
		Port: tcp.Port,
		Addr: [4]byte(tcp.IP.To4()),
	}
	// Connections that have just been cut still hold the port, which reuse overlooks; once bound, reuse would let others overlook this socket.
	err = trace.NewAggregate(
		syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1),
		syscall.Bind(socket, name),
		syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0))
	if err != nil {
		r.release()
		return nil, trace.Wrap(err)
	}
	return r, nil
}

// release gives the port back.
func (r *reservation) release() {
	if r != nil {
		_ = syscall.Close(r.socket)
	}
}
