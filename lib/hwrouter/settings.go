// Package hwrouter assembles a router: it owns the listeners, the shared tables and the goroutines that carry out what the decision packages decide.
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

// Coordination is how routers share the slots of a pool.
type Coordination string

const (
	// CoordinationLeased moves slots between routers on lease. It is what the product uses.
	CoordinationLeased Coordination = "leased"
	// CoordinationStatic gives each router an equal part of every upstream; counters are shared. It is a baseline for measurements.
	CoordinationStatic Coordination = "static"
	// CoordinationLocal gives each router an equal part and its own counters only. It is a baseline for measurements.
	CoordinationLocal Coordination = "local"
)

// Settings are a router's settings.
type Settings struct {
	Instance    string
	Zone        string
	Environment string
	Boot        uint64
	// PeersAddress is the IP number and port at which other routers reach this one.
	PeersAddress string
	// InstanceListURL is the URL of the platform's list of instances, or empty for a single instance.
	InstanceListURL string
	OperatorKey     string
	Coordination    Coordination
	Gain            float64
	// Lanes is how short work is told from long work.
	Lanes        hwdispatch.LaneRule
	Security     hwpeer.Security
	Timing       Timing
	MaxBodyBytes int64
}

// Timing are a router's spans of time.
type Timing struct {
	LeaseDuration        time.Duration
	ReportInterval       time.Duration
	HeartbeatInterval    time.Duration
	ProbeInterval        time.Duration
	SuspicionTimeout     time.Duration
	PeerTimeout          time.Duration
	DialTimeout          time.Duration
	ListPollInterval     time.Duration
	StoreRecheckInterval time.Duration
	DrainGrace           time.Duration
	HeaderTimeout        time.Duration
	// BodyTimeout is how long a caller may take to send a request's body.
	BodyTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay open without a request.
	IdleTimeout time.Duration
}

// DefaultTiming are the times for instances in one region.
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

// DefaultGain is how fast a lag is made good, per second. Slots move as requests end, so a gain far above one over the length of the longest requests makes the parts swing.
const DefaultGain = 0.3

// DefaultMaxBodyBytes is the largest request body.
const DefaultMaxBodyBytes = 8 << 20

// Listeners are the open sockets of a router. Operators may be nil.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Dependencies are what a router works with. Store may be nil when the document comes from a file.
type Dependencies struct {
	Listeners  Listeners
	Store      hwstore.Store
	StoreCalls *hwstore.CallCounters
	Logger     *hwevent.Logger
	// Dial opens connections to peers and to the instance list; nil stands for the network itself.
	Dial hwpeer.DialFunc
}

// Validate returns what is wrong with the settings, or nil.
func (s Settings) Validate() error {
	var faults []error
	if s.Instance == "" {
		faults = append(faults, trace.BadParameter("instance must not be empty"))
	}
	if s.Zone == "" {
		faults = append(faults, trace.BadParameter("zone must not be empty"))
	}
	if _, err := net.ResolveTCPAddr("tcp", s.PeersAddress); err != nil {
		faults = append(faults, trace.BadParameter("peers-address %q is not an IP number and a port", s.PeersAddress))
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
