package hwworld

import (
	"context"
	"net"
	"sync"
)

// Network simulates partitions that isolate routers from their peers, the store and the instance list. A connection that was open when a partition began stays a black hole after the partition has healed, as real connections do.
type Network struct {
	lock     sync.Mutex
	isolated map[string]bool
	// listenerOwner maps the address of a peer listener to the name of its router.
	listenerOwner map[string]string
}

// NewNetwork returns a network without partitions.
func NewNetwork() *Network {
	return &Network{
		isolated:      map[string]bool{},
		listenerOwner: map[string]string{},
	}
}

// Isolate partitions a router from its peers, the store and the instance list. Its connections with clients and upstreams are not affected.
func (n *Network) Isolate(router string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.isolated[router] = true
}

// Heal ends the partition of a router.
func (n *Network) Heal(router string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	delete(n.isolated, router)
}

func (n *Network) registerListener(address, router string) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.listenerOwner[address] = router
}

func (n *Network) partitioned(from, address string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.isolated[from] || n.isolated[n.listenerOwner[address]]
}

// Dial returns the dial function of a router. Dialling across a partition blocks until the context ends.
func (n *Network) Dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if n.partitioned(from, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partitionableConn{
			Conn:    connection,
			network: n,
			from:    from,
			address: address,
		}, nil
	}
}

// partitionableConn is a connection that discards all data once a partition has affected it.
type partitionableConn struct {
	net.Conn
	network    *Network
	from       string
	address    string
	lock       sync.Mutex
	blackholed bool
}

func (c *partitionableConn) isBlackholed() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.blackholed = c.blackholed || c.network.partitioned(c.from, c.address)
	return c.blackholed
}

// Read discards data that arrives on a black-holed connection and continues to wait.
func (c *partitionableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isBlackholed() {
			return n, err
		}
	}
}

// Write reports success on a black-holed connection without sending anything.
func (c *partitionableConn) Write(p []byte) (int, error) {
	if c.isBlackholed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
