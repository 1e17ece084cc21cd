package hwworld

import (
	"context"
	"net"
	"sync"
)

// Network decides which routers are cut off from their peers, the store and the list. A connection that was open when a cut began stays silent for good, as real ones do.
type Network struct {
	lock sync.Mutex
	cut  map[string]bool
	// owner tells which router listens on an address.
	owner map[string]string
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{
		cut:   map[string]bool{},
		owner: map[string]string{},
	}
}

// Isolate separates a router from everybody else; callers and upstreams still reach it.
func (n *Network) Isolate(router string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.cut[router] = true
}

// Heal ends a cut.
func (n *Network) Heal(router string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	delete(n.cut, router)
}

func (n *Network) own(address, router string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.owner[address] = router
}

func (n *Network) separated(from, address string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.cut[from] || n.cut[n.owner[address]]
}

// Dial returns a dialler for a router.
func (n *Network) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if n.separated(from, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &link{
			Conn:    connection,
			network: n,
			from:    from,
			address: address,
		}, nil
	}
}

// link is a connection that a cut silences.
type link struct {
	net.Conn
	network *Network
	from    string
	address string
	lock    sync.Mutex
	silent  bool
}

func (l *link) silenced() bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.silent = l.silent || l.network.separated(l.from, l.address)
	return l.silent
}

// Read drops what arrives on a silenced connection and goes on waiting.
func (l *link) Read(p []byte) (int, error) {
	for {
		n, err := l.Conn.Read(p)
		if err != nil || !l.silenced() {
			return n, err
		}
	}
}

// Write pretends to send on a silenced connection.
func (l *link) Write(p []byte) (int, error) {
	if l.silenced() {
		return len(p), nil
	}
	return l.Conn.Write(p)
}
