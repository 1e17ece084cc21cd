// Package hwpeer implements the RPCs between routers over drpc: a server that authenticates its callers, and a client that pools connections and sets a deadline on each call.
package hwpeer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"net"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
)

// keyMetadata is the RPC metadata key for the shared key.
const keyMetadata = "hickorywick-key"

// Security configures how peers authenticate each other: by mutual TLS if TLS is set, and by a shared key if SharedKey is set.
type Security struct {
	SharedKey string
	TLS       *tls.Config
}

// CertificateName is the DNS name in the certificates of all routers. They share one name because the IP addresses of instances change.
const CertificateName = "hickorywick-router"

// MutualTLS returns a TLS configuration for both clients and servers that requires the peer to present a certificate issued by the authority.
func MutualTLS(certificate tls.Certificate, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authority,
		ClientCAs:    authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   CertificateName,
	}
}

// UnauthenticatedError reports a call without the valid shared key.
type UnauthenticatedError struct {
	Method string
}

func (e *UnauthenticatedError) Error() string {
	return "call of " + e.Method + " without a valid shared key"
}

// Handler implements the RPC services that a router offers to its peers.
type Handler interface {
	hwpeerpb.DRPCPeerCommandsServer
	hwpeerpb.DRPCPeerQueriesServer
}

// keyAuthenticator checks the shared key of each call before passing the call to the next handler.
type keyAuthenticator struct {
	next      drpc.Handler
	key       string
	onRefused func(method string)
}

// HandleRPC passes the call on if its metadata contains the shared key or no key is configured.
func (g keyAuthenticator) HandleRPC(stream drpc.Stream, method string) error {
	if g.key != "" {
		metadata, _ := drpcmetadata.Get(stream.Context())
		if subtle.ConstantTimeCompare([]byte(metadata[keyMetadata]), []byte(g.key)) != 1 {
			g.onRefused(method)
			return &UnauthenticatedError{
				Method: method,
			}
		}
	}
	return g.next.HandleRPC(stream, method)
}

// Serve serves the handler on the listener until the context ends. It calls onRefused with the method of each call without a valid shared key.
func Serve(ctx context.Context, listener net.Listener, security Security, handler Handler, traffic *Traffic, onRefused func(method string)) error {
	mux := drpcmux.New()
	if err := hwpeerpb.DRPCRegisterPeerCommands(mux, handler); err != nil {
		return trace.Wrap(err)
	}
	if err := hwpeerpb.DRPCRegisterPeerQueries(mux, handler); err != nil {
		return trace.Wrap(err)
	}
	listener = traffic.WrapListener(listener)
	if security.TLS != nil {
		listener = tls.NewListener(listener, security.TLS)
	}
	server := drpcserver.New(keyAuthenticator{
		next:      mux,
		key:       security.SharedKey,
		onRefused: onRefused,
	})
	return trace.Wrap(server.Serve(ctx, listener))
}

// DialFunc opens a network connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls peers. It pools connections between calls; a call that misses its deadline closes its connection, so that an unresponsive connection is not reused.
type Client struct {
	security Security
	timeout  time.Duration
	dialConn DialFunc
	pool     *drpcpool.Pool[string, drpcpool.Conn]
	traffic  *Traffic
}

// Limits of the connection pool.
const (
	maxIdleConns        = 1024
	maxIdleConnsPerPeer = 4
	idleTimeout         = 30 * time.Second
)

// NewClient returns a client whose calls end within the timeout and whose traffic is added to the given counters. With a nil dial function it uses a net.Dialer.
func NewClient(security Security, timeout time.Duration, open DialFunc, traffic *Traffic) *Client {
	if open == nil {
		dialer := &net.Dialer{
			Timeout: timeout,
		}
		open = dialer.DialContext
	}
	return &Client{
		security: security,
		timeout:  timeout,
		dialConn: open,
		traffic:  traffic,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTimeout,
			Capacity:    maxIdleConns,
			KeyCapacity: maxIdleConnsPerPeer,
		}),
	}
}

// Close closes the pooled connections.
func (c *Client) Close() error { return trace.Wrap(c.pool.Close()) }

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	connection, err := c.dialConn(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "cannot connect to peer %s", address)
	}
	if c.security.TLS != nil {
		connection = tls.Client(connection, c.security.TLS)
	}
	return drpcconn.New(c.traffic.WrapConn(connection)), nil
}

// call invokes one RPC on a pooled connection with the client's timeout and shared key, and counts it.
func call[In, Out proto.Message](ctx context.Context, c *Client, address string, in In, invoke func(context.Context, drpc.Conn, In) (Out, error)) (Out, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if c.security.SharedKey != "" {
		ctx = drpcmetadata.Add(ctx, keyMetadata, c.security.SharedKey)
	}
	connection := c.pool.Get(ctx, address, c.dial)
	out, err := invoke(ctx, connection, in)
	_ = connection.Close()
	c.traffic.Messages.Add(1)
	if err != nil {
		return out, trace.ConnectionProblem(err, "call to peer %s failed", address)
	}
	return out, nil
}

// Report sends a report to a broker and returns its grant.
func (c *Client) Report(ctx context.Context, address string, in *hwpeerpb.ReportRequest) (*hwpeerpb.ReportReply, error) {
	return call(ctx, c, address, in, func(ctx context.Context, connection drpc.Conn, in *hwpeerpb.ReportRequest) (*hwpeerpb.ReportReply, error) {
		return hwpeerpb.NewDRPCPeerCommandsClient(connection).Report(ctx, in)
	})
}

// Gossip probes a peer and exchanges membership rows with it.
func (c *Client) Gossip(ctx context.Context, address string, in *hwpeerpb.GossipRequest) (*hwpeerpb.GossipReply, error) {
	return call(ctx, c, address, in, func(ctx context.Context, connection drpc.Conn, in *hwpeerpb.GossipRequest) (*hwpeerpb.GossipReply, error) {
		return hwpeerpb.NewDRPCPeerCommandsClient(connection).Gossip(ctx, in)
	})
}

// Intend asks the owner of an idempotency key's partition whether the request with this key may run.
func (c *Client) Intend(ctx context.Context, address string, in *hwpeerpb.IntendRequest) (*hwpeerpb.IntendReply, error) {
	return call(ctx, c, address, in, func(ctx context.Context, connection drpc.Conn, in *hwpeerpb.IntendRequest) (*hwpeerpb.IntendReply, error) {
		return hwpeerpb.NewDRPCPeerCommandsClient(connection).Intend(ctx, in)
	})
}

// Conclude reports to the owner of an idempotency key's partition how the request with this key ended.
func (c *Client) Conclude(ctx context.Context, address string, in *hwpeerpb.ConcludeRequest) (*hwpeerpb.ConcludeReply, error) {
	return call(ctx, c, address, in, func(ctx context.Context, connection drpc.Conn, in *hwpeerpb.ConcludeRequest) (*hwpeerpb.ConcludeReply, error) {
		return hwpeerpb.NewDRPCPeerCommandsClient(connection).Conclude(ctx, in)
	})
}

// Document fetches a newer configuration document from a peer.
func (c *Client) Document(ctx context.Context, address string, in *hwpeerpb.DocumentRequest) (*hwpeerpb.DocumentReply, error) {
	return call(ctx, c, address, in, func(ctx context.Context, connection drpc.Conn, in *hwpeerpb.DocumentRequest) (*hwpeerpb.DocumentReply, error) {
		return hwpeerpb.NewDRPCPeerQueriesClient(connection).Document(ctx, in)
	})
}
