package hwfollow

import (
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwrevision"
)

// offerReason is why a table that the store or a peer offered was not taken.
type offerReason string

// The reasons.
const (
	olderEra      offerReason = "older-era"
	eraOutOfOrder offerReason = "era-out-of-order"
	olderRevision offerReason = "older-revision"
	olderVersion  offerReason = "older-version"
	undecodable   offerReason = "undecodable"
)

// offer is a table that the store or a peer offered. A version of 0 is not known.
type offer struct {
	from     string
	revision hwrevision.Revision
	version  uint64
	age      time.Duration
}

func offerOf(result TableResult) offer {
	o := offer{
		from:     result.From,
		revision: result.Revision,
		age:      result.Age,
	}
	if result.Table != nil {
		o.version = result.Table.Version()
	}
	return o
}

func offerIn(snapshot Snapshot) offer {
	return offer{
		from:     snapshot.From,
		revision: snapshot.Revision,
		version:  snapshot.Version,
		age:      snapshot.TableAge,
	}
}

// maxOfferOrigins bounds the origins for which offerLogger remembers what it has logged.
const maxOfferOrigins = 256

// offerLogger logs offers that were not taken. An origin that repeats an offer is logged once.
type offerLogger struct {
	logger *hwevent.Logger
	logged map[string]loggedOffer
}

// loggedOffer identifies an offer of an origin and why it was not taken.
type loggedOffer struct {
	reason   offerReason
	revision hwrevision.Revision
	version  uint64
}

func newOfferLogger(logger *hwevent.Logger) offerLogger {
	return offerLogger{
		logger: logger,
		logged: map[string]loggedOffer{},
	}
}

// log logs an offer that was not taken, unless it was the last one that was logged of its origin.
func (l *offerLogger) log(o offer, reason offerReason) {
	entry := loggedOffer{
		reason:   reason,
		revision: o.revision,
		version:  o.version,
	}
	if l.logged[o.from] == entry {
		return
	}
	if len(l.logged) >= maxOfferOrigins {
		clear(l.logged)
	}
	l.logged[o.from] = entry
	l.logger.Emit(hwevent.DocumentNotTaken, hwevent.With("why", string(reason)), hwevent.With("from", o.from), hwevent.With("revision", o.revision.Number), hwevent.With("era", o.revision.Era), hwevent.With("version", o.version), hwevent.With("age-ms", o.age.Milliseconds()))
}
