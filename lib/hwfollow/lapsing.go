package hwfollow

import (
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// ListReconciler tells upstreams that left from those whose entries only lapsed while the source could not be asked.
type ListReconciler struct {
	lapse time.Duration
	known map[string]hwplace.Upstream
	// awaited are the upstreams that were known before an outage and have not been listed since it ended.
	awaited map[string]hwplace.Upstream
	// lost tells that the last question failed, regained is when one succeeded again.
	lost     bool
	regained time.Time
}

// NewListReconciler returns a Lapsing that knows no upstream. Lapse is how long after an outage missing entries count as lapsed.
func NewListReconciler(lapse time.Duration) ListReconciler {
	return ListReconciler{
		lapse: lapse,
		known: map[string]hwplace.Upstream{},
	}
}

// SourceFailed notes a failed question.
func (l *ListReconciler) SourceFailed(time.Time) { l.lost = true }

// Reconcile returns the list with the upstreams that are missing for a moment only. One that was leaving stays leaving; one that was listed since the outage and is missing again has left.
func (l *ListReconciler) Reconcile(now time.Time, list []hwplace.Upstream) []hwplace.Upstream {
	if l.lost {
		l.lost = false
		l.regained = now
		l.awaited = l.known
	}
	l.known = make(map[string]hwplace.Upstream, len(list))
	for _, u := range list {
		l.known[u.ID] = u
		delete(l.awaited, u.ID)
	}
	if !l.InGracePeriod(now) {
		l.awaited = nil
		return list
	}
	merged := slices.Clone(list)
	for id, u := range l.awaited {
		// Another outage must find it again.
		l.known[id] = u
		merged = append(merged, u)
	}
	return merged
}

// InGracePeriod reports whether lists are being completed after an outage. Such a list is right only for a router that had the outage: to others, what is missing has left.
func (l *ListReconciler) InGracePeriod(now time.Time) bool {
	return !l.regained.IsZero() && now.Sub(l.regained) < l.lapse
}

// Reset takes a list that needs no completing.
func (l *ListReconciler) Reset(list []hwplace.Upstream) {
	l.lost = false
	l.awaited = nil
	l.known = make(map[string]hwplace.Upstream, len(list))
	for _, u := range list {
		l.known[u.ID] = u
	}
}
