package hwfollow

import (
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// Restoration states for how long what this router knew is kept after the source was restored from a copy, which may lack its newest changes.
type Restoration struct {
	// EvacuationHold is how long evacuations that the copy lacks stay in force. The operator writes them again.
	EvacuationHold time.Duration
	// RemovalMemory is how long before a restoration an upstream may have left for its entry in the copy to be left out. It covers the age of the copy and the outage.
	RemovalMemory time.Duration
	// EntryExpiry is how long such an entry is left out: the upstream does not renew it, so it expires.
	EntryExpiry time.Duration
}

// ReconcileEvacuated returns the newest set of evacuated zones, which is the given one, read from the source, unless it was read before the last. It stays in effect while polls fail. After the source was restored from a copy, zones that the copy lacks are added for a time.
func (r *ListReconciler) ReconcileEvacuated(now time.Time, evacuated hwplace.EvacuatedZones) hwplace.EvacuatedZones {
	return r.reconcileEvacuated(now, evacuated, false, time.Time{})
}

// ReconcilePeerEvacuated is ReconcileEvacuated for the set of another router, which may have added zones itself. Parameter knownFor is how long that router has known a list, or 0 if it doesn't state that.
func (r *ListReconciler) ReconcilePeerEvacuated(now time.Time, evacuated hwplace.EvacuatedZones, knownFor time.Duration) hwplace.EvacuatedZones {
	if knownFor == 0 {
		return r.reconcileEvacuated(now, evacuated, true, time.Time{})
	}
	return r.reconcileEvacuated(now, evacuated, true, now.Add(-knownFor))
}

// reconcileEvacuated reconciles a set that was read by this router, or by another one that has known a list since a time, or for ever if that is zero.
func (r *ListReconciler) reconcileEvacuated(now time.Time, evacuated hwplace.EvacuatedZones, fromPeer bool, knownSince time.Time) hwplace.EvacuatedZones {
	if before := r.evacuated.Revision; !evacuated.Revision.IsBefore(before) {
		switch {
		case !before.IsZero() && evacuated.Revision.Era > before.Era:
			r.heldZones = missingZones(append(slices.Clone(r.evacuated.Zones), r.heldZones...), evacuated.Zones)
			r.heldUntil = now.Add(r.grace.Restoration.EvacuationHold)
			r.heldSince = r.evacuatedAt
		case before.IsZero() && evacuated.Revision.Era > 0:
			// This router has just started, so it can't know when the source was restored. Even if this set was read from the source, a peer may still state what that lacks.
			r.heldUntil = now.Add(r.grace.Restoration.EvacuationHold)
			r.heldSince = now
		case r.evacuatedByPeer && (!fromPeer || knownSince.After(r.heldSince)):
			// The copy may lack what the other router has added. One that has just started does not know that either.
			r.heldZones = append(r.heldZones, missingZones(r.evacuated.Zones, evacuated.Zones)...)
		}
		r.evacuated = evacuated
		r.evacuatedByPeer = fromPeer
		r.evacuatedAt = now
	}
	if !now.Before(r.heldUntil) {
		r.heldZones = nil
	}
	effective := r.evacuated
	if held := missingZones(r.heldZones, effective.Zones); len(held) > 0 {
		effective.Zones = append(slices.Clone(effective.Zones), held...)
	}
	return effective
}

// missingZones returns, each once, the zones that a set lacks.
func missingZones(zones, set []string) []string {
	var missing []string
	for _, zone := range zones {
		if !slices.Contains(set, zone) && !slices.Contains(missing, zone) {
			missing = append(missing, zone)
		}
	}
	return missing
}
