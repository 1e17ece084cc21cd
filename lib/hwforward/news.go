package hwforward

import (
	"math"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwversion"
)

// Prefill reports that an upstream processes a segment of a prompt and therefore has it in its prefix cache afterwards.
type Prefill struct {
	Pool     string
	Upstream hwplace.IDHash
	Prefix   hwprompt.ChainedSegment
}

// PeerUpdate is the state that a router shares with its peers. Loads and AccountUsage replace what the router sent before; the other fields contain only what is new since the last update.
type PeerUpdate struct {
	// Loads is the router's own work at upstreams, by pool.
	Loads map[string][]hwplace.PeerLoad
	// Observations are the observations of upstreams since the last update, by pool.
	Observations map[string][]hwplace.Observation
	// AccountUsage is nil if the update does not include it.
	AccountUsage map[string]hwadmit.Usage
	Prefills     []Prefill
	// SegmentReports are about requests, and segments of prompts, at which upstreams crash.
	SegmentReports []hwquarantine.SegmentReport
	// Leaving are the upstreams that have told this router lately that they leave.
	Leaving []hwplace.LifetimeHash
	// Zone is the router's zone, or empty if it states none. OutOfRotation is whether it is out of rotation for load, Overloaded whether it has no room for the requests that others shed.
	Zone          string
	OutOfRotation bool
	Overloaded    bool
	// KnowsCrashes is whether the router knows what crashes upstreams, as far as the fleet does.
	KnowsCrashes bool
	// TableVersion is the version of the table in force, or 0 without one. StoreEra is the store's era if the store has stated it lately, to the router or to a peer that it queried, and otherwise 0.
	TableVersion uint64
	StoreEra     uint64
	// Versions is what the router knows of the versions in service. It is stated only while SeeksVersions of a peer is set, which says that this one has not followed the lists for long enough.
	Versions      []hwversion.Report
	SeeksVersions bool
}

// Limits on the contents of one update.
const (
	maxPrefillsPerUpdate     = 200
	maxObservationsPerUpdate = 100
	// maxSegmentReportsPerUpdate keeps them below 3.5 kB of a datagram.
	maxSegmentReportsPerUpdate = 100
	maxLeavingPerUpdate        = 200
)

// usageInterval is the minimum time between two updates that include the accounts' usage. The usage is averaged over seconds, so it changes slowly.
const usageInterval = 600 * time.Millisecond

// TakePeerUpdate returns the next update for the peers and removes its contents from what is pending. What exceeds the limits stays pending for the next update.
func (r *Router) TakePeerUpdate(now time.Time) PeerUpdate {
	r.lock.Lock()
	defer r.lock.Unlock()
	update := PeerUpdate{
		Loads:        make(map[string][]hwplace.PeerLoad, len(r.pools)),
		Observations: make(map[string][]hwplace.Observation, len(r.pools)),
		TableVersion: r.tableVersion(),
		StoreEra:     r.newestKnown.ConfirmedEra(now),
	}
	if now.Sub(r.usageSentAt) >= usageInterval {
		r.usageSentAt = now
		update.AccountUsage = r.shares.LocalUsage(now)
	}
	for name, p := range r.pools {
		if loads := p.LocalLoads(); len(loads) > 0 {
			update.Loads[name] = loads
		}
		if observations := p.TakeObservations(now, maxObservationsPerUpdate); len(observations) > 0 {
			update.Observations[name] = observations
		}
		r.logSpeedChanges(now, name, p)
	}
	update.Prefills, r.pendingUpdate.Prefills = splitAt(r.pendingUpdate.Prefills, maxPrefillsPerUpdate)
	update.SegmentReports = r.takeSegmentReports(now)
	update.KnowsCrashes = r.knowsCrashes(now)
	r.observeFleet(now)
	update.Leaving = r.notices.LeavingToShare(now, maxLeavingPerUpdate)
	r.addVersions(now, &update)
	r.shedding.addState(&update)
	return update
}

// splitAt splits a list after at most n entries.
func splitAt[T any](list []T, n int) (head, tail []T) {
	if len(list) <= n {
		return list, nil
	}
	return list[:n:n], list[n:]
}

// ApplyPeerUpdate merges an update from a peer.
func (r *Router) ApplyPeerUpdate(now time.Time, peer string, update PeerUpdate) {
	r.shedding.setPeer(now, peer, update)
	r.newestKnown.Hear(now, update.TableVersion, update.StoreEra)
	r.lock.Lock()
	defer r.lock.Unlock()
	if update.AccountUsage != nil {
		r.shares.SetPeerUsage(now, peer, update.AccountUsage)
	}
	for name, p := range r.pools {
		p.SetPeerLoads(now, peer, update.Loads[name])
		for _, observation := range update.Observations[name] {
			p.RecordPeerObservation(now, peer, observation)
		}
	}
	for _, prefill := range update.Prefills {
		if p := r.pools[prefill.Pool]; p != nil {
			p.RecordCachedSegment(prefill.Upstream, prefill.Prefix)
		}
	}
	r.fleet.RecordHeard(now, peer)
	r.mergeSegmentReports(now, peer, update.SegmentReports)
	if update.KnowsCrashes {
		r.segments.Caution().HeardFromPeer(now)
	}
	r.applyPeerLeaving(now, update.Leaving)
	r.mergeVersions(now, update)
}

// logSpeedChanges logs the upstreams of a pool whose speed factor has changed considerably.
func (r *Router) logSpeedChanges(now time.Time, pool string, p *hwplace.Pool) {
	for _, change := range p.TakeSpeedChanges(now) {
		r.logger.Emit(hwevent.UpstreamSpeedChanged, hwevent.With("upstream", change.Upstream), hwevent.With("pool", pool), hwevent.With("from-percent", int(math.Round(100*change.From))), hwevent.With("to-percent", int(math.Round(100*change.To))))
	}
}
