package hwquota

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// silenceTimeout is how long a peer may be silent before its shares pass to others.
	silenceTimeout = 5 * time.Second
	// forgetTimeout is how long a silent peer still counts among all routers, whose common ranking limits how many believe that they own a share.
	forgetTimeout = time.Minute
	// cutTimeout is how long a silent peer counts in the size of the fleet, also while most are silent. It is well beyond the cuts that are expected: after it, each part of a fleet that is cut for longer counts only itself.
	cutTimeout = 10 * time.Minute
	// startGrace is how long after its start a router owns nothing, because it has not heard all peers yet.
	startGrace = 2 * time.Second
	// For learnTime after its start, a router also owns nothing while it has heard one of its peers fewer than learnUpdates times: where datagrams are lost, others are then still unheard. At a loss of nine in ten, one peer in five thousand is unheard after learnTime.
	learnTime    = 8 * time.Second
	learnUpdates = 3
	// maxObserveGap is the time without any observation after which the process counts as having been paused. Routers send and receive several datagrams a second.
	maxObserveGap = time.Second
	// settleInterval limits how often the silent peers are looked for, at a cost that grows with the fleet.
	settleInterval = 100 * time.Millisecond
	// maxPeers limits the memory for names in datagrams, some 100 bytes each: ten times the largest fleet.
	maxPeers = 4096
)

// ViewSettings describe the router that has a view.
type ViewSettings struct {
	// Router is the router's own name, and StartedAt when its process started.
	Router    string
	StartedAt time.Time
	// ExpectsPeers means that the router knows of other routers from its settings.
	ExpectsPeers bool
	// SeeksPeers means that the router also looks for others elsewhere. It expects peers until SetMayHavePeers tells otherwise.
	SeeksPeers bool
}

// member is a router of the fleet.
type member struct {
	hash    uint64
	heardAt time.Time
	// updates is how many times the peer was heard, at most learnUpdates.
	updates int
	// absent is set while others own the shares of the silent member.
	absent bool
}

// View is one router's view of the routers of its fleet, from when it heard them. It is not safe for concurrent use.
type View struct {
	settings ViewSettings
	hash     uint64
	// mayHavePeers is set as long as a search for other routers has not shown that there are none beside those heard.
	mayHavePeers bool
	// peers are all routers known, keyed by name, without this one.
	peers map[string]*member
	// version rises with each change of the membership.
	version uint64
	// startedAt is when the process started, or when it resumed from a pause that began before it had heard all peers.
	startedAt time.Time
	// observedAt is the time of the last call, and resumedAt when the process was last found to have been paused, or started.
	observedAt time.Time
	resumedAt  time.Time
	settledAt  time.Time
}

// NewView returns the view of a router that has heard nobody.
func NewView(settings ViewSettings) *View {
	return &View{
		settings:     settings,
		hash:         xxhash.Sum64String(settings.Router),
		mayHavePeers: settings.SeeksPeers,
		peers:        map[string]*member{},
		startedAt:    settings.StartedAt,
		observedAt:   settings.StartedAt,
		resumedAt:    settings.StartedAt,
	}
}

// SetMayHavePeers sets whether there may be routers beside those heard.
func (v *View) SetMayHavePeers(may bool) { v.mayHavePeers = may }

// RecordHeard records that a peer was heard.
func (v *View) RecordHeard(now time.Time, peer string) {
	v.Observe(now)
	if peer == v.settings.Router {
		return
	}
	m := v.peers[peer]
	if m == nil {
		if len(v.peers) >= maxPeers {
			return
		}
		m = &member{
			hash: xxhash.Sum64String(peer),
		}
		v.peers[peer] = m
		v.version++
	}
	m.heardAt = now
	m.updates = min(learnUpdates, m.updates+1)
	if m.absent {
		m.absent = false
		v.version++
	}
}

// Observe notes that the process runs. It must be called several times a second, because a longer gap counts as a pause, in which peers could not be heard.
func (v *View) Observe(now time.Time) {
	if now.Sub(v.observedAt) > maxObserveGap {
		v.resumedAt = now
		if v.observedAt.Sub(v.startedAt) < learnTime {
			v.startedAt = now
		}
	}
	if now.After(v.observedAt) {
		v.observedAt = now
	}
	if now.Sub(v.settledAt) >= settleInterval {
		v.settledAt = now
		v.removeSilent(now)
	}
}

// removeSilent marks the silent peers as absent, but only while the router hears more than half of those present. It forgets the ones silent for long, but only while it hears more than half of all. Otherwise it may itself be cut off, and the others would still use their shares. Names that were hardly ever heard say nothing of a cut, so they are forgotten in any case: nobody may own them, as with datagrams that are garbled.
func (v *View) removeSilent(now time.Time) {
	v.forget(func(m *member) bool { return m.updates < learnUpdates && v.silence(now, m) > forgetTimeout })
	heard, present := 1, 1
	for _, m := range v.peers {
		if !m.absent {
			present++
		}
		if v.silence(now, m) <= silenceTimeout {
			heard++
		}
	}
	if 2*heard <= present {
		return
	}
	for _, m := range v.peers {
		if !m.absent && v.silence(now, m) > silenceTimeout {
			m.absent = true
			v.version++
		}
	}
	if 2*heard > len(v.peers)+1 {
		v.forget(func(m *member) bool { return m.absent && v.silence(now, m) > forgetTimeout })
	}
}

// forget removes the peers that match.
func (v *View) forget(matches func(*member) bool) {
	before := len(v.peers)
	maps.DeleteFunc(v.peers, func(_ string, m *member) bool { return matches(m) })
	if len(v.peers) < before {
		v.version++
	}
}

// silence returns for how long a peer has been silent while this router could hear.
func (v *View) silence(now time.Time, m *member) time.Duration {
	if m.heardAt.Before(v.resumedAt) {
		return now.Sub(v.resumedAt)
	}
	return now.Sub(m.heardAt)
}

// FleetSize returns the number of routers among which the fleet's means are divided, this one included: those that were heard often enough to be no garbled names, and not silent for longer than a cut lasts. While there may be others than those heard, the ones silent for longer count too, and for a router that hears nobody also by its settings: each of a fleet whose datagrams are all lost would count itself alone.
func (v *View) FleetSize(now time.Time) int {
	all, lately, hearsAny := 1, 1, false
	for _, m := range v.peers {
		if m.updates < learnUpdates {
			continue
		}
		silence := v.silence(now, m)
		all++
		if silence <= cutTimeout {
			lately++
		}
		hearsAny = hearsAny || silence <= silenceTimeout
	}
	if v.mayHavePeers || v.settings.ExpectsPeers && !hearsAny {
		return all
	}
	return lately
}

// Size returns the number of all routers known, this one included, and how many of them are absent. The limits on cold upstreams count by it, because one router too many that believes to own a share may crash one.
func (v *View) Size() (known, absent int) {
	for _, m := range v.peers {
		if m.absent {
			absent++
		}
	}
	return len(v.peers) + 1, absent
}

// KnowsFleet reports whether the router knows the fleet well enough to own anything.
func (v *View) KnowsFleet(now time.Time) bool {
	if (v.settings.ExpectsPeers || v.mayHavePeers) && len(v.peers) == 0 {
		return false
	}
	switch age := now.Sub(v.startedAt); {
	case age < startGrace:
		return false
	case age < learnTime:
		for _, m := range v.peers {
			if m.updates < learnUpdates {
				return false
			}
		}
	}
	return true
}

// ranks returns how many routers rank before this one for an upstream: of those that are present, and of all.
func (v *View) ranks(upstream string) (present, all int) {
	hash := xxhash.Sum64String(upstream)
	own := score(hash, v.hash)
	for name, m := range v.peers {
		theirs := score(hash, m.hash)
		if theirs < own || theirs == own && name > v.settings.Router {
			continue
		}
		all++
		if !m.absent {
			present++
		}
	}
	return present, all
}

// score returns the rendezvous score of a router for an upstream. The highest ranks first.
func score(upstream, router uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], upstream)
	binary.LittleEndian.PutUint64(b[8:], router)
	return xxhash.Sum64(b[:])
}
