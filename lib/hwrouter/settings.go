// Package hwrouter assembles a router. It owns the listeners, the shared state and the goroutines that act on the decisions of the state machines in the other packages.
//
// Lock order: the membership lock, then a broker's lock, then a pool's lock. No lock is held while a message is sent or a file or socket is read.
package hwrouter

import (
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// Coordination is the way in which routers share the slots of a pool.
type Coordination string

const (
	// CoordinationLeased has a broker lease slots to routers as needed. It is the mode for production.
	CoordinationLeased Coordination = "leased"
	// CoordinationStatic gives each router an equal part of every upstream's slots; account counters are shared. It is a baseline for measurements.
	CoordinationStatic Coordination = "static"
	// CoordinationLocal gives each router an equal part of every upstream's slots; account counters are not shared. It is a baseline for measurements.
	CoordinationLocal Coordination = "local"
)

// Settings are a router's settings.
type Settings struct {
	Instance    string
	Zone        string
	Environment string
	// Boot identifies this start of the instance; a later start has a larger number.
	Boot uint64
	// PeersAddress is the IP address and port at which other routers reach this one.
	PeersAddress string
	// InstanceListURL is the URL of the platform's list of instances, or empty for a single instance.
	InstanceListURL string
	OperatorKey     string
	Coordination    Coordination
	// Gain is how fast an account's lag in service is made up, per second; see DefaultGain.
	Gain float64
	// Lanes is the rule by which short requests are distinguished from long ones.
	Lanes        hwdispatch.LaneRule
	Security     hwpeer.Security
	Timing       Timing
	MaxBodyBytes int64
}

// Timing holds a router's intervals and timeouts.
type Timing struct {
	LeaseDuration     time.Duration
	ReportInterval    time.Duration
	HeartbeatInterval time.Duration
	ProbeInterval     time.Duration
	// SuspicionTimeout is how long a suspected instance may refute the suspicion before it counts as dead.
	SuspicionTimeout time.Duration
	PeerTimeout      time.Duration
	DialTimeout      time.Duration
	ListPollInterval time.Duration
	// StoreRecheckInterval is how long a watch may be silent before the store is read again.
	StoreRecheckInterval time.Duration
	// DrainGrace is how long a stopping instance goes on accepting requests, so that the load balancer can notice that it is not ready.
	DrainGrace    time.Duration
	HeaderTimeout time.Duration
	// BodyTimeout is how long a caller may take to send a request's body.
	BodyTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay open without a request.
	IdleTimeout time.Duration
}

// DefaultTiming returns the values for instances in one region.
func DefaultTiming() Timing {
	return Timing{
		LeaseDuration:        2 * time.Second,
		ReportInterval:       50 * time.Millisecond,
		HeartbeatInterval:    500 * time.Millisecond,
		ProbeInterval:        200 * time.Millisecond,
		SuspicionTimeout:     time.Second,
		PeerTimeout:          300 * time.Millisecond,
		DialTimeout:          time.Second,
		ListPollInterval:     time.Second,
		StoreRecheckInterval: 10 * time.Second,
		DrainGrace:           5 * time.Second,
		HeaderTimeout:        10 * time.Second,
		BodyTimeout:          30 * time.Second,
		IdleTimeout:          2 * time.Minute,
	}
}

// DefaultGain is the fraction of an account's lag in service that is made up per second. Slots move only as requests end, so a gain far above one divided by the duration of the longest requests makes the allocation oscillate.
const DefaultGain = 0.3

// DefaultMaxBodyBytes is the default size limit of a request body.
const DefaultMaxBodyBytes = 8 << 20

// Listeners are the open sockets of a router. Operators may be nil.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Dependencies are the resources that a router uses. Store may be nil if the document comes from a file.
type Dependencies struct {
	Listeners  Listeners
	Store      hwstore.Store
	StoreCalls *hwstore.CallCounters
	Logger     *hwevent.Logger
	// Dial opens connections to peers and to the instance list. If it is nil, a net.Dialer is used.
	Dial hwpeer.DialFunc
}

// Validate returns an error that names all invalid settings, or nil.
func (s Settings) Validate() error {
	var faults []error
	if s.Instance == "" {
		faults = append(faults, trace.BadParameter("instance must not be empty"))
	}
	if s.Zone == "" {
		faults = append(faults, trace.BadParameter("zone must not be empty"))
	}
	if _, err := net.ResolveTCPAddr("tcp", s.PeersAddress); err != nil {
		faults = append(faults, trace.BadParameter("peers-address %q is not an IP address and port", s.PeersAddress))
	}
	if s.Coordination != CoordinationLeased && s.Coordination != CoordinationStatic && s.Coordination != CoordinationLocal {
		faults = append(faults, trace.BadParameter("coordination %q is not leased, static or local", s.Coordination))
	}
	if s.Lanes != hwdispatch.SplitLanes && s.Lanes != hwdispatch.MeanLanes && s.Lanes != hwdispatch.SingleLane {
		faults = append(faults, trace.BadParameter("lanes %q is not split, mean or one", s.Lanes))
	}
	if s.Security.SharedKey == "" && s.Security.TLS == nil && !isLoopback(s.PeersAddress) {
		faults = append(faults, trace.BadParameter("peers-address is not loopback, so a shared key or certificates are needed"))
	}
	if s.Timing.ReportInterval <= 0 || s.Timing.LeaseDuration < 4*s.Timing.HeartbeatInterval {
		faults = append(faults, trace.BadParameter("lease must last at least four heartbeats"))
	}
	return trace.NewAggregate(faults...)
}

func isLoopback(address string) bool {
	tcp, err := net.ResolveTCPAddr("tcp", address)
	return err == nil && tcp.IP.IsLoopback()
}
