package hwload

import "time"

// State is the result of the decisions at one time.
type State struct {
	// Overloaded is whether the router is overloaded.
	Overloaded bool
	// Shedding is whether requests are shed and connections are closed after their answers: the router is overloaded and another one in the zone has room.
	Shedding bool
	// Ratios are the shed ratios, which are 0 unless Shedding is set.
	Ratios Ratios
	// OutOfRotation is whether the router is out of rotation.
	OutOfRotation bool
	// MeanDelay is the mean scheduling delay.
	MeanDelay time.Duration
}

// Shedder decides about load shedding and rotation for one router.
type Shedder struct {
	controller Controller
	rotation   rotation
	peers      peers
}

// NewShedder returns a Shedder of the named router, which has heard no peers.
func NewShedder(name string) *Shedder {
	return &Shedder{
		peers: newPeers(name),
	}
}

// SetPeer records the state of another router in the zone.
func (s *Shedder) SetPeer(now time.Time, name string, state Peer) { s.peers.set(now, name, state) }

// RecordDelay adds a sample of the scheduling delay and returns the new state.
func (s *Shedder) RecordDelay(now time.Time, delay time.Duration) State {
	s.controller.Record(now, delay)
	view := s.peers.view(now)
	overloaded := s.controller.Overloaded()
	s.rotation.decide(now, overloaded, s.controller.insufficient(now, leaveDelay), view)
	state := State{
		Overloaded:    overloaded,
		Shedding:      overloaded && view.room,
		OutOfRotation: s.rotation.out,
		MeanDelay:     s.controller.Mean(),
	}
	if state.Shedding {
		state.Ratios = s.controller.Ratios()
	}
	return state
}

// The Retry-After of a shed request is uniformly distributed between minRetryAfter, in which another router takes a connection, and maxRetryAfter, so that clients refused together don't return together.
const (
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 120 * time.Millisecond
)

// RetryAfter returns the Retry-After of a shed request. Random is a random number in [0, 1).
func RetryAfter(random float64) time.Duration {
	return minRetryAfter + time.Duration(random*float64(maxRetryAfter-minRetryAfter))
}
