package hwfollow

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwrevision"
)

// NewestKnown is the newest state of the store that this router knows of. The zero value is ready for use; it is safe for concurrent use.
type NewestKnown struct {
	// version is the highest version of a table in force at this router or a peer.
	version atomic.Uint64

	lock   sync.Mutex
	belief EraBelief
}

// Answered records the era that the store has stated in the answer to a call, and logs a change. It returns the era with the corrections that this router knows, and false if the store's answer is not believed.
func (n *NewestKnown) Answered(logger *hwevent.Logger, stated uint64, sentAt, now time.Time) (era uint64, believed bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	belief, believed := n.belief.WithAnswer(stated, sentAt, now)
	n.setBelief(logger, FromStore, belief)
	return belief.Era(), believed
}

// RaiseEra records an era that the store or a queried peer stated as of a time, and logs a rise with its origin.
func (n *NewestKnown) RaiseEra(logger *hwevent.Logger, from string, era uint64, at time.Time) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.setBelief(logger, from, n.belief.WithSnapshot(era, at))
}

// setBelief replaces the belief. The caller holds lock.
func (n *NewestKnown) setBelief(logger *hwevent.Logger, from string, belief EraBelief) {
	previous, era := n.belief.Era(), belief.Era()
	n.belief = belief
	switch {
	case era == previous:
	case hwrevision.Corrections(era) > hwrevision.Corrections(previous):
		logger.Emit(hwevent.StoreRestoreCorrected, hwevent.With("from", from), hwevent.With("era", era), hwevent.With("stated-era", hwrevision.StatedEra(era)), hwevent.With("previous-era", previous))
	default:
		logger.Emit(hwevent.StoreRestored, hwevent.With("from", from), hwevent.With("era", era), hwevent.With("previous-era", previous))
	}
}

// RaiseVersion records the version of the table in force at this router.
func (n *NewestKnown) RaiseVersion(version uint64) { raise(&n.version, version) }

// Hear records what an update of a peer stated.
func (n *NewestKnown) Hear(now time.Time, version, era uint64) {
	raise(&n.version, version)
	n.lock.Lock()
	defer n.lock.Unlock()
	n.belief = n.belief.WithHeard(era, now)
}

// Era returns the era that this router believes.
func (n *NewestKnown) Era() uint64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.belief.Era()
}

// statedEra returns the newest count of restorations that this router believes or has heard of.
func (n *NewestKnown) statedEra() uint64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	return hwrevision.StatedEra(max(n.belief.era, n.belief.heardEra))
}

// ConfirmedEra returns that era if the store has stated it lately, and otherwise 0.
func (n *NewestKnown) ConfirmedEra(now time.Time) uint64 {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.belief.ConfirmedEra(now)
}

// Version returns the highest version of a table that was in force at this router or a peer.
func (n *NewestKnown) Version() uint64 { return n.version.Load() }

// WriteMetrics writes the newest state as text, one "name value" pair per line.
func (n *NewestKnown) WriteMetrics(w io.Writer) {
	_, _ = fmt.Fprintf(w, "hickorywick_table_version_newest %d\n", n.version.Load())
	_, _ = fmt.Fprintf(w, "hickorywick_store_era %d\n", n.statedEra())
}

// raise raises a value.
func raise(value *atomic.Uint64, to uint64) {
	for previous := value.Load(); previous < to && !value.CompareAndSwap(previous, to); {
		previous = value.Load()
	}
}
