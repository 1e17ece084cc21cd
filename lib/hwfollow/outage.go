package hwfollow

import "time"

// Outage is what this router knows of the last outage of the source from its own calls: the source was away when the last call that failed was sent, and back when the first call that was sent later was answered. Its return lies in between.
type Outage struct {
	// lastFailure is when the last failed call was sent.
	lastFailure time.Time
	// recovery is when the first call after that was answered, or zero. It was sent at recoverySentAt.
	recovery       time.Time
	recoverySentAt time.Time
}

// WithFailure returns the outage with a failed call. A call that was sent before one that has been answered was lost in the outage that is over: it may have timed out long after the recovery.
func (o Outage) WithFailure(sentAt time.Time) Outage {
	if sentAt.Before(o.lastFailure) {
		return o
	}
	o.lastFailure = sentAt
	if !sentAt.Before(o.recoverySentAt) {
		o.recovery = time.Time{}
		o.recoverySentAt = time.Time{}
	}
	return o
}

// WithAnswer returns the outage with a call that was answered. A call that was sent before one that failed is no recovery.
func (o Outage) WithAnswer(sentAt, answeredAt time.Time) Outage {
	if sentAt.Before(o.lastFailure) || !o.recovery.IsZero() {
		return o
	}
	o.recovery = answeredAt
	o.recoverySentAt = sentAt
	return o
}

// WithRestoration returns the outage in which the source was restored from a copy: it was not back at the first time, and has answered at the second one. If no call was made for as long as the limit, the time of its return is not known.
func (o Outage) WithRestoration(notBackAt, answeredAt time.Time, limit time.Duration) Outage {
	o = o.WithFailure(notBackAt).WithAnswer(answeredAt, answeredAt)
	if o.recovery.Sub(o.lastFailure) >= limit {
		o.lastFailure = o.recovery
	}
	return o
}

// Grace bounds how long missing upstreams are retained after an outage.
type Grace struct {
	// AfterRecovery is the time after the recovery in which upstreams whose entries expired register again.
	AfterRecovery time.Duration
	// AfterFailure is the time after the last failed call at which missing upstreams are dropped in any case, because this router is expected to know by then that they left. 0 means no such limit.
	AfterFailure time.Duration
	// MinExpiry is the shortest time between a list that has the entry of a running upstream and the expiry of this entry. An upstream that is missing sooner was removed.
	MinExpiry time.Duration
	// Restoration applies in addition if the source was restored from a copy in the outage.
	Restoration Restoration
}

// ends returns when missing upstreams count as gone: as soon as a list is read after the first time, and at the second one without a list.
func (g Grace) ends(o Outage) (settled, latest time.Time) {
	if o.recovery.IsZero() {
		return time.Time{}, time.Time{}
	}
	settled = o.recovery.Add(g.AfterRecovery)
	latest = settled.Add(g.AfterRecovery)
	if g.AfterFailure > 0 && !o.lastFailure.IsZero() {
		latest = o.lastFailure.Add(g.AfterFailure)
	}
	if latest.Before(settled) {
		settled = latest
	}
	return settled, latest
}
