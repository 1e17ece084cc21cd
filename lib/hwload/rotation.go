package hwload

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxOutPercent bounds the routers of a zone that are out of rotation for load: fewer than this part may be. If more than half were out, the platform would use all.
	maxOutPercent = 40
	// minPeers is the number of other routers in the zone that must be heard: of two routers, none may leave.
	minPeers = 2
	// leaveDelay is how long pressure is at leavePressure before the router leaves rotation. It covers the time in which peers hear of the overload, some datagrams of 220 ms in the largest fleets, and the work that waited for a frozen process.
	leaveDelay = time.Second
	// minHold and maxHold bound how long the router has not been overloaded when it returns.
	minHold = 5 * time.Second
	maxHold = 20 * time.Second
	// relapseTime is the time after a return within which an overload doubles the hold time, because its cause is probably the clients that returned with it.
	relapseTime = 10 * time.Second
	// peerTimeout is how long the state of a peer counts. It is longer than ten updates of the largest fleets.
	peerTimeout = 3 * time.Second
)

// Peer is the state of another router in the zone.
type Peer struct {
	// OutOfRotation is whether it is out of rotation for load.
	OutOfRotation bool
	// Overloaded is whether it is overloaded.
	Overloaded bool
}

// hasRoom reports whether a request that is shed here can be served there.
func (p Peer) hasRoom() bool { return !p.OutOfRotation && !p.Overloaded }

// heardPeer is the newest state of a peer.
type heardPeer struct {
	Peer
	hash    uint64
	heardAt time.Time
}

// zoneView counts the routers heard in the zone, without this one.
type zoneView struct {
	heard int
	room  bool
	// out counts the routers out of rotation, and outBefore those that come first by the hash of their names, an order that is the same at all routers.
	out       int
	outBefore int
	// waitingBefore counts the overloaded routers in rotation that come first.
	waitingBefore int
}

// peers holds the states of the other routers in the zone.
type peers struct {
	hash   uint64
	byName map[string]heardPeer
}

func newPeers(self string) peers {
	return peers{
		hash:   xxhash.Sum64String(self),
		byName: map[string]heardPeer{},
	}
}

func (p peers) set(now time.Time, name string, state Peer) {
	p.byName[name] = heardPeer{
		Peer:    state,
		hash:    xxhash.Sum64String(name),
		heardAt: now,
	}
}

// view summarises the peers that were heard lately and removes the others.
func (p peers) view(now time.Time) zoneView {
	var v zoneView
	for name, peer := range p.byName {
		if now.Sub(peer.heardAt) > peerTimeout {
			delete(p.byName, name)
			continue
		}
		before := peer.hash < p.hash
		v.heard++
		v.room = v.room || peer.hasRoom()
		switch {
		case peer.OutOfRotation:
			v.out++
			if before {
				v.outBefore++
			}
		case peer.Overloaded && before:
			v.waitingBefore++
		}
	}
	return v
}

// maxOut returns the largest number of routers that may be out of rotation, fewer than maxOutPercent of those heard, this one included.
func (v zoneView) maxOut() int {
	if v.heard < minPeers {
		return 0
	}
	return (maxOutPercent*(v.heard+1) - 1) / 100
}

// rotation decides whether the router is in rotation.
type rotation struct {
	out bool
	// overloadedAt is when the router was last overloaded.
	overloadedAt time.Time
	// wasOverloaded is whether it was overloaded at the last decision.
	wasOverloaded bool
	returnedAt    time.Time
	hold          time.Duration
}

// decide updates the decision. The router leaves when shedding is insufficient, and returns when it has not been overloaded for the hold time or too many routers of the zone are out.
func (r *rotation) decide(now time.Time, overloaded, insufficient bool, v zoneView) {
	if overloaded {
		if !r.wasOverloaded && !r.out {
			r.setHold(now)
		}
		r.overloadedAt = now
	}
	r.wasOverloaded = overloaded
	if !r.out {
		// Peers that are overloaded too and come first in the order are left the places.
		r.out = insufficient && v.out+v.waitingBefore < v.maxOut()
		return
	}
	if v.outBefore >= v.maxOut() {
		r.out = false
		return
	}
	if !overloaded && now.Sub(r.overloadedAt) >= r.hold {
		r.out = false
		r.returnedAt = now
	}
}

// setHold sets the hold time when an overload begins in rotation.
func (r *rotation) setHold(now time.Time) {
	if !r.returnedAt.IsZero() && now.Sub(r.returnedAt) < relapseTime {
		r.hold = min(maxHold, 2*r.hold)
		r.returnedAt = time.Time{}
		return
	}
	r.hold = minHold
}
