package hwforward

import (
	"time"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

// Prefill says that an upstream reads a part of a prompt, and so holds it afterwards.
type Prefill struct {
	Pool     string
	Upstream hwplace.IDHash
	Prefix   hwprompt.ChainedSegment
}

// PeerUpdate is what a router tells its peers: its present work and its accounts' use as a whole, readings and strikes since it last told them.
type PeerUpdate struct {
	Loads map[string][]hwplace.PeerLoad
	// Observations is what was seen of upstreams, by pool, since it was last told.
	Observations map[string][]hwplace.Observation
	// AccountUsage is nil when it is not told this time.
	AccountUsage map[string]hwadmit.Usage
	Prefills     []Prefill
	Strikes      []hwquarantine.CrashReport
}

// The bounds of what one message tells.
const (
	newsReadings = 200
	newsSeen     = 100
	newsStrikes  = 20
)

// useEvery is the time between two tellings of the accounts' use, which is averaged over seconds.
const useEvery = 600 * time.Millisecond

// TakePeerUpdate returns the news for the peers and counts them as told. Readings beyond the bound wait for the next time.
func (r *Router) TakePeerUpdate(now time.Time) PeerUpdate {
	r.lock.Lock()
	defer r.lock.Unlock()
	told := PeerUpdate{
		Loads:        make(map[string][]hwplace.PeerLoad, len(r.pools)),
		Observations: make(map[string][]hwplace.Observation, len(r.pools)),
	}
	if now.Sub(r.toldUse) >= useEvery {
		r.toldUse = now
		told.AccountUsage = r.shares.LocalUsage(now)
	}
	for name, p := range r.pools {
		if loads := p.LocalLoads(); len(loads) > 0 {
			told.Loads[name] = loads
		}
		if seen := p.TakeObservations(now, newsSeen); len(seen) > 0 {
			told.Observations[name] = seen
		}
	}
	told.Prefills, r.news.Prefills = cut(r.news.Prefills, newsReadings)
	told.Strikes, r.news.Strikes = cut(r.news.Strikes, newsStrikes)
	return told
}

// cut splits a list after a number of entries.
func cut[T any](list []T, most int) (head, tail []T) {
	if len(list) <= most {
		return list, nil
	}
	return list[:most:most], list[most:]
}

// ApplyPeerUpdate takes a peer's news.
func (r *Router) ApplyPeerUpdate(now time.Time, peer string, news PeerUpdate) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if news.AccountUsage != nil {
		r.shares.SetPeerUsage(now, peer, news.AccountUsage)
	}
	for name, p := range r.pools {
		p.SetPeerLoads(now, peer, news.Loads[name])
		for _, seen := range news.Observations[name] {
			p.RecordPeerObservation(now, peer, seen)
		}
	}
	for _, reading := range news.Prefills {
		if p := r.pools[reading.Pool]; p != nil {
			p.RecordCachedSegment(reading.Upstream, reading.Prefix)
		}
	}
	r.strike(now, news.Strikes, false)
}
