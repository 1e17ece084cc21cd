// Package hwpeer carries messages between routers over drpc: a listener that lets only holders of the shared key in, and a client that keeps connections and gives each call a deadline.
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

// keyMetadata is the name under which a call carries the shared key.
const keyMetadata = "hickorywick-key"

// Security says how peers know each other. With a TLS configuration both sides show certificates; the shared key is checked if it is set.
type Security struct {
	SharedKey string
	TLS       *tls.Config
}

// CertificateName is the one name that the certificates of all routers carry, because instances are known by changing IP numbers.
const CertificateName = "hickorywick-router"

// MutualTLS returns a configuration in which both sides show a certificate of the authority.
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

// UnauthenticatedError says that a call came without the shared key.
type UnauthenticatedError struct {
	Method string
}

// Error names the method.
func (e *UnauthenticatedError) Error() string {
	return "a call of " + e.Method + " carried no valid key"
}

// Handler is what a router answers to its peers.
type Handler interface {
	hwpeerpb.DRPCPeerCommandsServer
	hwpeerpb.DRPCPeerQueriesServer
}

type guard struct {
	next    drpc.Handler
	key     string
	refused func(method string)
}

// HandleRPC lets a call pass if it carries the shared key.
func (g guard) HandleRPC(stream drpc.Stream, method string) error {
	if g.key != "" {
		metadata, _ := drpcmetadata.Get(stream.Context())
		if subtle.ConstantTimeCompare([]byte(metadata[keyMetadata]), []byte(g.key)) != 1 {
			g.refused(method)
			return &UnauthenticatedError{
				Method: method,
			}
		}
	}
	return g.next.HandleRPC(stream, method)
}

// Serve answers peers until the context ends.
func Serve(ctx context.Context, listener net.Listener, security Security, handler Handler, traffic *Traffic, refused func(method string)) error {
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
	server := drpcserver.New(guard{
		next:    mux,
		key:     security.SharedKey,
		refused: refused,
	})
	return trace.Wrap(server.Serve(ctx, listener))
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls peers. Connections are kept between calls; a call that misses its deadline closes its connection, so that a silent connection serves no second call.
type Client struct {
	security Security
	timeout  time.Duration
	open     DialFunc
	pool     *drpcpool.Pool[string, drpcpool.Conn]
	traffic  *Traffic
}

// The bounds of the connections that are kept.
const (
	idleConnections     = 1024
	idleConnectionsPeer = 4
	idleTime            = 30 * time.Second
)

// NewClient returns a client whose calls end within the timeout and whose bytes are counted.
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
		open:     open,
		traffic:  traffic,
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleTime,
			Capacity:    idleConnections,
			KeyCapacity: idleConnectionsPeer,
		}),
	}
}

// Close closes the kept connections.
func (c *Client) Close() error { return trace.Wrap(c.pool.Close()) }

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	connection, err := c.open(ctx, "tcp", address)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "peer %s cannot be reached", address)
	}
	if c.security.TLS != nil {
		connection = tls.Client(connection, c.security.TLS)
	}
	return drpcconn.New(c.traffic.WrapConn(connection)), nil
}

// call makes one call with its deadline and counts its bytes.
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
		return out, trace.ConnectionProblem(err, "the call to peer %s failed", address)
	}
	return out, nil
}

// Report sends a report to a broker.
func (c *Client) Report(ctx context.Context, address string, in *hwpeerpb.ReportRequest) (*hwpeerpb.ReportReply, error) {
	return call(ctx, c, address, in, func(ctx context.Context, connection drpc.Conn, in *hwpeerpb.ReportRequest) (*hwpeerpb.ReportReply, error) {
		return hwpeerpb.NewDRPCPeerCommandsClient(connection).Report(ctx, in)
	})
}

// Gossip probes a peer and exchanges rows.
func (c *Client) Gossip(ctx context.Context, address string, in *hwpeerpb.GossipRequest) (*hwpeerpb.GossipReply, error) {
	return call(ctx, c, address, in, func(ctx context.Context, connection drpc.Conn, in *hwpeerpb.GossipRequest) (*hwpeerpb.GossipReply, error) {
		return hwpeerpb.NewDRPCPeerCommandsClient(connection).Gossip(ctx, in)
	})
}

// Intend asks the owner of a key's partition whether a keyed request may run.
func (c *Client) Intend(ctx context.Context, address string, in *hwpeerpb.IntendRequest) (*hwpeerpb.IntendReply, error) {
	return call(ctx, c, address, in, func(ctx context.Context, connection drpc.Conn, in *hwpeerpb.IntendRequest) (*hwpeerpb.IntendReply, error) {
		return hwpeerpb.NewDRPCPeerCommandsClient(connection).Intend(ctx, in)
	})
}

// Conclude tells the owner of a key's partition how a keyed request ended.
func (c *Client) Conclude(ctx context.Context, address string, in *hwpeerpb.ConcludeRequest) (*hwpeerpb.ConcludeReply, error) {
	return call(ctx, c, address, in, func(ctx context.Context, connection drpc.Conn, in *hwpeerpb.ConcludeRequest) (*hwpeerpb.ConcludeReply, error) {
		return hwpeerpb.NewDRPCPeerCommandsClient(connection).Conclude(ctx, in)
	})
}

// Document fetches a newer document from a peer.
func (c *Client) Document(ctx context.Context, address string, in *hwpeerpb.DocumentRequest) (*hwpeerpb.DocumentReply, error) {
	return call(ctx, c, address, in, func(ctx context.Context, connection drpc.Conn, in *hwpeerpb.DocumentRequest) (*hwpeerpb.DocumentReply, error) {
		return hwpeerpb.NewDRPCPeerQueriesClient(connection).Document(ctx, in)
	})
}
