// Package hwflags defines the router's command-line flags and environment variables.
package hwflags

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// Flags are the router's command-line flags. Kong derives the name of each flag from its field.
type Flags struct {
	Instance         string        `required:"" env:"HICKORYWICK_INSTANCE" help:"Name of this instance, unique in the fleet."`
	Zone             string        `required:"" env:"HICKORYWICK_ZONE" help:"Availability zone of this instance."`
	Environment      string        `default:"production" env:"HICKORYWICK_ENVIRONMENT" help:"Environment whose document is in force."`
	CallersAddress   string        `default:"127.0.0.1:8080" env:"HICKORYWICK_CALLERS_ADDRESS" help:"IP number and port for callers."`
	PeersAddress     string        `default:"127.0.0.1:18001" env:"HICKORYWICK_PEERS_ADDRESS" help:"IP number and port for other routers, as the instance list names it."`
	OperatorsAddress string        `default:"127.0.0.1:8081" env:"HICKORYWICK_OPERATORS_ADDRESS" help:"IP number and port for operators, health and metrics."`
	OperatorKey      string        `required:"" env:"HICKORYWICK_OPERATOR_KEY" help:"Key that operators present as a bearer token."`
	PeerKey          string        `env:"HICKORYWICK_PEER_KEY" help:"Key that routers present to each other; needed off loopback unless certificates are given."`
	PeerCertificate  string        `type:"existingfile" env:"HICKORYWICK_PEER_CERTIFICATE" help:"PEM file of this instance's certificate for mutual TLS between routers."`
	PeerCertKey      string        `type:"existingfile" env:"HICKORYWICK_PEER_CERT_KEY" help:"PEM file of the certificate's private key."`
	PeerAuthority    string        `type:"existingfile" env:"HICKORYWICK_PEER_AUTHORITY" help:"PEM file of the authority that signed the routers' certificates."`
	Store            string        `env:"HICKORYWICK_STORE" help:"URL of the platform's key-value service."`
	StoreTimeout     time.Duration `default:"1s" env:"HICKORYWICK_STORE_TIMEOUT" help:"Longest time of one call to the store."`
	InstanceList     string        `env:"HICKORYWICK_INSTANCE_LIST" help:"URL of the platform's list of instances; without it the router is alone."`
	Document         string        `type:"existingfile" env:"HICKORYWICK_DOCUMENT" help:"Document file for a trial without a store."`
	Coordination     string        `default:"leased" enum:"leased,static,local" env:"HICKORYWICK_COORDINATION" help:"How routers share slots: leased is the product, static and local are baselines."`
	Gain             float64       `default:"0.3" env:"HICKORYWICK_GAIN" help:"How fast a client account's lag is made good, per second."`
	Lanes            string        `default:"split" enum:"split,mean,one" env:"HICKORYWICK_LANES" help:"How short work is told from long work: split is the product, mean and one are for comparison."`
	Lease            time.Duration `default:"2s" env:"HICKORYWICK_LEASE" help:"How long slots may be used without an answer from their broker."`
	DrainGrace       time.Duration `default:"5s" env:"HICKORYWICK_DRAIN_GRACE" help:"How long a stopping router still accepts requests, until the balancer has seen that it is not ready."`
	BodyBytes        int64         `default:"8388608" env:"HICKORYWICK_BODY_BYTES" help:"Largest request body in bytes."`
	LogLevel         string        `default:"info" enum:"debug,info,warn,error" env:"HICKORYWICK_LOG_LEVEL" help:"Least severe level of events to log."`
	Check            bool          `help:"Check the settings and the document file, then exit."`
}

// RouterSettings validates the flags and converts them to the settings of the router, with now as its boot number.
func (f Flags) RouterSettings(now time.Time) (hwrouter.Settings, error) {
	times := hwrouter.DefaultTiming()
	times.LeaseDuration = f.Lease
	times.DrainGrace = f.DrainGrace
	security, err := f.peerSecurity()
	if err != nil {
		return hwrouter.Settings{}, trace.Wrap(err)
	}
	settings := hwrouter.Settings{
		Instance:        f.Instance,
		Zone:            f.Zone,
		Environment:     f.Environment,
		Boot:            uint64(now.UnixNano()),
		PeersAddress:    f.PeersAddress,
		InstanceListURL: f.InstanceList,
		OperatorKey:     f.OperatorKey,
		Coordination:    hwrouter.Coordination(f.Coordination),
		Gain:            f.Gain,
		Lanes:           hwdispatch.LaneRule(f.Lanes),
		Security:        security,
		Timing:          times,
		MaxBodyBytes:    f.BodyBytes,
	}
	return settings, trace.NewAggregate(settings.Validate(), f.validate())
}

func (f Flags) validate() error {
	var errs []error
	if (f.Store == "") == (f.Document == "") {
		errs = append(errs, trace.BadParameter("give either --store or --document"))
	}
	addresses := map[string]string{
		"callers-address":   f.CallersAddress,
		"operators-address": f.OperatorsAddress,
	}
	for name, address := range addresses {
		if _, err := net.ResolveTCPAddr("tcp", address); err != nil {
			errs = append(errs, trace.BadParameter("%s %q is not an IP number and a port", name, address))
		}
	}
	if f.BodyBytes <= 0 {
		errs = append(errs, trace.BadParameter("body-bytes must be above 0"))
	}
	if f.StoreTimeout <= 0 {
		errs = append(errs, trace.BadParameter("store-timeout must be above 0"))
	}
	return trace.NewAggregate(errs...)
}

func (f Flags) peerSecurity() (hwpeer.Security, error) {
	security := hwpeer.Security{
		SharedKey: f.PeerKey,
	}
	if f.PeerCertificate == "" && f.PeerCertKey == "" && f.PeerAuthority == "" {
		return security, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.PeerCertificate, f.PeerCertKey)
	if err != nil {
		return security, trace.BadParameter("cannot load peer-certificate with peer-cert-key: %v", err)
	}
	authority, err := os.ReadFile(f.PeerAuthority)
	if err != nil {
		return security, trace.BadParameter("peer-authority cannot be read: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return security, trace.BadParameter("peer-authority contains no PEM certificate")
	}
	security.TLS = hwpeer.MutualTLS(certificate, pool)
	return security, nil
}

// Level returns the log level.
func (f Flags) Level() hwevent.Level {
	return map[string]hwevent.Level{
		"debug": hwevent.Debug,
		"info":  hwevent.Info,
		"warn":  hwevent.Warn,
		"error": hwevent.Error,
	}[f.LogLevel]
}

// Listen opens the listeners for callers, peers and operators.
func (f Flags) Listen() (hwrouter.Listeners, error) {
	var listeners [3]net.Listener
	for i, address := range []string{f.CallersAddress, f.PeersAddress, f.OperatorsAddress} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return hwrouter.Listeners{}, trace.Wrap(err)
		}
		listeners[i] = listener
	}
	return hwrouter.Listeners{
		Callers:   listeners[0],
		Peers:     listeners[1],
		Operators: listeners[2],
	}, nil
}

// maxIdleStoreConnections is the number of idle connections to the store that are kept open.
const maxIdleStoreConnections = 4

// NewStore returns a client of the platform's key-value service, or nil when the document comes from a file.
func (f Flags) NewStore() *hwstore.Etcd {
	if f.Store == "" {
		return nil
	}
	return hwstore.NewEtcd(f.Store, f.StoreTimeout, &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleStoreConnections,
			IdleConnTimeout:     time.Minute,
		},
	})
}
