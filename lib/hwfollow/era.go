package hwfollow

import (
	"time"

	"github.com/hickorywick/hickorywick/lib/hwrevision"
)

const (
	// doubtTime is how long the store states an era out of order before a router believes it: longer than any call to the store takes.
	doubtTime = 2 * time.Second
	// minDoubtAnswers is the least number of answers that state it.
	minDoubtAnswers = 3
	// eraValidity is for how long after the store has stated an era a router passes that on: as long as a router may leave the store to the reader and its backup.
	eraValidity = 1500 * time.Millisecond
)

// EraBelief is the era of the store that a router believes, with what speaks for it and against it. The zero value believes none.
//
// An era that can follow the known one is believed at once. Any other one, lower or far above, is believed only if the store goes on to state it: in answers to calls that were sent after the last sign that the known era holds, for doubtTime. A late answer is of a call that was sent before. Signs are the store's answers to this router and to its peers, so a router that alone gets answers of an older era does not believe them.
type EraBelief struct {
	era   uint64
	known bool
	// confirmedAt is the time as of which the store last stated the era to this router, or to a peer that it queried. heardAt is when another peer last told that the store states it.
	confirmedAt time.Time
	heardAt     time.Time
	// heardEra is the highest era that a peer told, of those that can follow, and heardCorrectionAt when a peer last told of one more correction. correctedAt is when this router last believed an era out of order.
	heardEra          uint64
	heardCorrectionAt time.Time
	correctedAt       time.Time
	doubt             eraDoubt
}

// eraDoubt is an era out of order that the store states.
type eraDoubt struct {
	stated  uint64
	answers int
	// since is when the first call was sent whose answer stated it.
	since time.Time
}

// Era returns the era, or 0 if none is known.
func (b EraBelief) Era() uint64 { return b.era }

// ConfirmedEra returns the era if the store has stated it lately, and otherwise 0.
func (b EraBelief) ConfirmedEra(now time.Time) uint64 {
	if now.Sub(b.confirmedAt) >= eraValidity {
		return 0
	}
	return b.era
}

// WithAnswer returns the belief after the store has stated an era in the answer to a call, and whether that is the era believed now.
func (b EraBelief) WithAnswer(stated uint64, sentAt, now time.Time) (EraBelief, bool) {
	if peers := b.heardEra; hwrevision.Corrections(peers) > hwrevision.Corrections(b.era) && sentAt.After(b.heardCorrectionAt) {
		// The peers have waited, and the store confirms what they found.
		if next := hwrevision.WithStatedEra(peers, stated); hwrevision.IsNextEra(peers, next) {
			return b.withCorrection(next, now), true
		}
	}
	next := hwrevision.WithStatedEra(b.era, stated)
	switch {
	case !b.known, next == b.era, hwrevision.IsNextEra(b.era, next) && sentAt.After(b.correctedAt):
		return b.withEra(next, now), true
	case !sentAt.After(b.confirmedAt), !sentAt.After(b.heardAt):
		return b, false
	case b.doubt.stated != stated, !b.doubt.since.After(b.confirmedAt), !b.doubt.since.After(b.heardAt):
		b.doubt = eraDoubt{
			stated: stated,
			since:  sentAt,
		}
	}
	b.doubt.answers++
	if b.doubt.answers < minDoubtAnswers || sentAt.Sub(b.doubt.since) < doubtTime {
		return b, false
	}
	corrected, found := hwrevision.Corrected(b.era, stated)
	if !found {
		return b, false
	}
	return b.withCorrection(corrected, now), true
}

// WithSnapshot returns the belief after a peer that was queried has stated the era of its snapshot of the store, which is as of the given time.
func (b EraBelief) WithSnapshot(era uint64, at time.Time) EraBelief {
	switch {
	case b.known && era < b.era:
		return b
	case b.known && hwrevision.Corrections(era) > hwrevision.Corrections(b.era):
		return b.withCorrection(era, at)
	default:
		return b.withEra(era, at)
	}
}

// WithHeard returns the belief after a peer has told, unasked, which era the store states to it. Such an era is not believed before the store states it to this router too.
func (b EraBelief) WithHeard(era uint64, now time.Time) EraBelief {
	if era == 0 || !hwrevision.IsNextEra(b.era, era) {
		return b
	}
	if hwrevision.Corrections(era) > hwrevision.Corrections(b.heardEra) {
		b.heardCorrectionAt = now
	}
	b.heardEra = max(b.heardEra, era)
	if hwrevision.Corrections(era) == hwrevision.Corrections(b.era) {
		b.heardAt = now
	}
	return b
}

func (b EraBelief) withEra(era uint64, at time.Time) EraBelief {
	b.era = era
	b.known = true
	if at.After(b.confirmedAt) {
		b.confirmedAt = at
	}
	return b
}

func (b EraBelief) withCorrection(era uint64, at time.Time) EraBelief {
	b.correctedAt = at
	b.doubt = eraDoubt{}
	return b.withEra(era, at)
}
