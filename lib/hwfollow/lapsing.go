package hwfollow

import (
	"maps"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// ListReconciler distinguishes upstreams that left from upstreams whose entries expired during an outage of the source. After an outage it retains missing upstreams for a grace period, in which they can register again.
type ListReconciler struct {
	grace  Grace
	outage Outage
	// current are the upstreams of the last list, by ID, including the retained ones; listed is that list without them.
	current map[string]hwplace.Upstream
	listed  []hwplace.Upstream
	// retained are the upstreams that were listed before the outage and have not been listed since it ended.
	retained map[string]hwplace.Upstream
	// missed reports that there was an outage since the last list; inGrace that missing upstreams are retained after one.
	missed  bool
	inGrace bool
	// graceBegan is when the first list after the outage was read, retainedAsOf when the last one before it was.
	graceBegan   time.Time
	retainedAsOf time.Time
	// era is the highest era of the lists, known if hasEra is set. restored reports that it has risen and that the grace period after that has not ended, which it does at graceEnd at the latest.
	era      uint64
	hasEra   bool
	restored bool
	graceEnd time.Time
	// evacuated is the newest set of evacuated zones as it was read, by another router if evacuatedByPeer is set, at evacuatedAt. heldZones stay evacuated until heldUntil although it lacks them.
	evacuated       hwplace.EvacuatedZones
	evacuatedByPeer bool
	evacuatedAt     time.Time
	heldZones       []string
	heldUntil       time.Time
	// heldSince is when the last set from before the restoration was known. A router that got its first list later does not know it.
	heldSince time.Time
	// departures are the upstreams that leave. leftOut is how many entries of the last list were left out because of them.
	departures departures
	leftOut    int
}

// NewListReconciler returns a reconciler without upstreams.
func NewListReconciler(grace Grace) ListReconciler {
	return ListReconciler{
		grace:      grace,
		current:    map[string]hwplace.Upstream{},
		departures: departures{},
	}
}

// SourceFailed records a failed read of the list.
func (r *ListReconciler) SourceFailed(sentAt time.Time) {
	r.missed = true
	r.CallFailed(sentAt)
}

// ListMissed records that the list was left to other routers during an outage.
func (r *ListReconciler) ListMissed() { r.missed = true }

// CallFailed and CallAnswered record calls from which the beginning and the end of an outage are known. A failed call alone does not mean that a list was missed.
func (r *ListReconciler) CallFailed(sentAt time.Time) { r.outage = r.outage.WithFailure(sentAt) }

// CallAnswered records that the source answered a call.
func (r *ListReconciler) CallAnswered(sentAt, answeredAt time.Time) {
	r.outage = r.outage.WithAnswer(sentAt, answeredAt)
}

// EraSeen records the source's era as of which the next list was read; the list before was as of previousAt. If the era has risen, the source was restored from a copy in between: that counts as an outage that has just ended, in which any entry may have been lost.
func (r *ListReconciler) EraSeen(now, previousAt time.Time, era uint64) {
	if r.hasEra && era > r.era {
		r.restored = true
		r.missed = true
		r.outage = r.outage.WithRestoration(previousAt, now, r.grace.AfterFailure)
		_, r.graceEnd = r.grace.ends(r.outage)
		r.departures.restore(now, r.grace.Restoration)
	}
	r.hasEra = true
	r.era = max(r.era, era)
}

// Era returns the highest era of the lists.
func (r *ListReconciler) Era() uint64 { return r.era }

// Reconcile returns the list together with the upstreams that are retained for the grace period. Parameter sinceLast is the time since the source was asked for the previous list. A retained upstream that was draining stays marked as draining. An upstream that has been listed since the outage is not retained when it is missing again: it left.
func (r *ListReconciler) Reconcile(now time.Time, sinceLast time.Duration, list []hwplace.Upstream) []hwplace.Upstream {
	r.CallAnswered(now, now)
	r.departures.confirm(list)
	return r.reconcile(now, now, sinceLast, list)
}

// reconcile is Reconcile for a list that was read at a time.
func (r *ListReconciler) reconcile(now, readAt time.Time, sinceLast time.Duration, list []hwplace.Upstream) []hwplace.Upstream {
	previous := r.current
	list = r.withoutDeparted(now, list)
	if r.missed && (r.restored || sinceLast >= r.grace.MinExpiry) {
		r.retainedAsOf = r.lastComplete(now, sinceLast)
		r.inGrace = true
		r.graceBegan = now
		r.retained = maps.Clone(r.current)
	}
	r.missed = false
	r.setListed(list)
	for _, u := range list {
		delete(r.retained, u.ID)
	}
	if settled, _ := r.grace.ends(r.outage); !settled.IsZero() && !readAt.Before(settled) {
		r.endGrace()
	}
	return r.withRetained(now, previous)
}

// withRetained returns the last list together with the retained upstreams. Parameter previous are the upstreams before, by ID.
func (r *ListReconciler) withRetained(now time.Time, previous map[string]hwplace.Upstream) []hwplace.Upstream {
	merged := slices.Clone(r.listed)
	for id, u := range r.retained {
		// Another outage within the grace period must retain it again.
		r.current[id] = u
		merged = append(merged, u)
	}
	r.remember(now, previous)
	return merged
}

// PeerList is a list that another router has passed on.
type PeerList struct {
	Upstreams []hwplace.Upstream
	// Age is how long ago the other router read it.
	Age time.Duration
	// KnownFor is how long the other router has known a list, or 0 if it doesn't state that.
	KnownFor time.Duration
}

// isComplete reports whether the other router already had a list at a time, so that it retains what has expired since.
func (l PeerList) isComplete(now, since time.Time) bool {
	return l.KnownFor == 0 || !now.Add(-l.KnownFor).After(since)
}

// DropRetained drops the retained upstreams that an older list of another router lacks, takes over which others drain or have been started again, and returns the list after that, or false if nothing changes. The other router knows this, but its list may lack upstreams that this router's has. Nothing is dropped after a restoration of the source, because the other router may not know what the copy lacks, nor if it has known a list for too short a time.
func (r *ListReconciler) DropRetained(now time.Time, older PeerList) ([]hwplace.Upstream, bool) {
	if r.restored || !older.isComplete(now, r.retainedAsOf) && r.mayRetain(now) {
		return nil, false
	}
	kept := make(map[string]hwplace.Upstream, len(r.retained))
	for _, u := range older.Upstreams {
		if retained, found := r.retained[u.ID]; found {
			kept[u.ID] = laterState(retained, u)
		}
	}
	if maps.Equal(kept, r.retained) {
		return nil, false
	}
	r.retained = kept
	if len(kept) == 0 {
		r.endGrace()
	}
	previous := r.current
	r.setListed(r.listed)
	return r.withRetained(now, previous), true
}

// laterState returns the later one of two states of an upstream: that of its later start, or the first one, which drains if the other one does.
func laterState(a, b hwplace.Upstream) hwplace.Upstream {
	if a.Incarnation < b.Incarnation {
		return b
	}
	a.Draining = a.Draining || a.Incarnation == b.Incarnation && b.Draining
	return a
}

// withoutDeparted returns a list without the entries that only a restored copy has.
func (r *ListReconciler) withoutDeparted(now time.Time, list []hwplace.Upstream) []hwplace.Upstream {
	if r.restored {
		r.departures.supersede(now, list, r.current, r.grace.Restoration)
	}
	applied := r.departures.apply(now, list)
	r.leftOut = len(list) - len(applied)
	return applied
}

// LeftOutCount returns the number of entries of the last list that were left out because their upstreams had left before the source was restored from a copy.
func (r *ListReconciler) LeftOutCount() int { return r.leftOut }

// setListed replaces the current upstreams.
func (r *ListReconciler) setListed(list []hwplace.Upstream) {
	r.listed = list
	r.current = make(map[string]hwplace.Upstream, len(list))
	for _, u := range list {
		r.current[u.ID] = u
	}
}

// remember records which upstreams leave. Parameter previous are the upstreams before the last list, by ID.
func (r *ListReconciler) remember(now time.Time, previous map[string]hwplace.Upstream) {
	r.departures.update(now, previous, r.current, r.grace.Restoration.RemovalMemory)
}

func (r *ListReconciler) endGrace() {
	r.inGrace = false
	r.restored = false
	r.retained = nil
}

// InGracePeriod reports whether missing upstreams are retained because an outage has just ended. A list from this period is only valid for a router that had the outage: for other routers, a missing upstream has left.
func (r *ListReconciler) InGracePeriod() bool { return r.inGrace }

// RetainedCount returns the number of upstreams that are retained.
func (r *ListReconciler) RetainedCount() int { return len(r.retained) }

// SinceFailure returns the time since the last failed call was sent.
func (r *ListReconciler) SinceFailure(now time.Time) time.Duration {
	return now.Sub(r.outage.lastFailure)
}

// ExpiresAt returns when the retained upstreams have to be dropped even if no list is read until then, or false if none are retained or if the source is away again.
func (r *ListReconciler) ExpiresAt() (time.Time, bool) {
	_, latest := r.grace.ends(r.outage)
	return latest, r.inGrace && !latest.IsZero()
}

// Expire ends a grace period whose time is over and returns the list without the retained upstreams, or false if there is nothing to end.
func (r *ListReconciler) Expire(now time.Time) ([]hwplace.Upstream, bool) {
	if at, expires := r.ExpiresAt(); !expires || now.Before(at) {
		return nil, false
	}
	r.endGrace()
	previous := r.current
	r.setListed(r.listed)
	r.remember(now, previous)
	return r.listed, true
}

// Reset replaces all upstreams by those of another router, which has retained upstreams itself if need be. After a restoration or an outage of the source, this router retains them too if the other one may have just started, and not know what the copy lacks or what expired. Parameter sinceLast is the time between this list and the previous one.
func (r *ListReconciler) Reset(now time.Time, sinceLast time.Duration, list PeerList) []hwplace.Upstream {
	readAt := now.Add(-list.Age)
	switch {
	case r.restored && now.Before(r.graceEnd):
		return r.reconcile(now, readAt, 0, list.Upstreams)
	case (r.missed || r.inGrace) && !list.isComplete(now, r.lastComplete(now, sinceLast)) && r.mayRetain(now):
		return r.reconcile(now, readAt, sinceLast, list.Upstreams)
	}
	r.missed = false
	r.endGrace()
	previous := r.current
	upstreams := r.withoutDeparted(now, list.Upstreams)
	r.setListed(upstreams)
	r.remember(now, previous)
	return upstreams
}

// lastComplete returns when the last list was read that had all upstreams, which is the previous one outside of a grace period.
func (r *ListReconciler) lastComplete(now time.Time, sinceLast time.Duration) time.Time {
	if r.inGrace {
		return r.retainedAsOf
	}
	return now.Add(-sinceLast)
}

// mayRetain reports whether missing upstreams may still be retained because another router does not know them. While this router gets no answer of the source itself, it can't know when the outage ended, and counts from the first list after it.
func (r *ListReconciler) mayRetain(now time.Time) bool {
	if _, latest := r.grace.ends(r.outage); !latest.IsZero() {
		return now.Before(latest)
	}
	return !r.inGrace || now.Sub(r.graceBegan) < r.grace.AfterRecovery
}
