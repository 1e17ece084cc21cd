package hwquota

import (
	"maps"
	"time"
)

// Permit is the right to write one request to an upstream. The zero value permits nothing.
type Permit struct {
	number uint64
}

// IsZero reports whether the permit permits nothing.
func (p Permit) IsZero() bool { return p.number == 0 }

// allowance is what this router may send to one upstream.
type allowance struct {
	// The share and the ownership are those for the limit and the version of the view.
	limit   Limit
	version uint64
	share   Share
	owner   bool
	// lastAt is when the last permit was taken or used.
	lastAt time.Time
	// current is the number of the last permit as long as it was not used, or 0.
	current uint64
}

const (
	// maxAllowances is the number of upstreams above which the unused ones are removed, some 150 bytes each.
	maxAllowances = 8192
	// allowanceTTL is how long an allowance is kept after its last permit, longer than any interval that matters.
	allowanceTTL = time.Minute
)

// Limiter answers whether this router may send a request to a limited upstream. It is not safe for concurrent use.
type Limiter struct {
	view       *View
	allowances map[string]*allowance
	// taken is the number of permits taken.
	taken uint64
}

// NewLimiter returns a limiter for the router with the given view.
func NewLimiter(view *View) *Limiter {
	return &Limiter{
		view:       view,
		allowances: map[string]*allowance{},
	}
}

// Taken returns how many permits were taken.
func (l *Limiter) Taken() uint64 { return l.taken }

// allowance returns the up-to-date allowance of an upstream.
func (l *Limiter) allowance(now time.Time, upstream string, limit Limit) *allowance {
	l.view.Observe(now)
	a := l.allowances[upstream]
	if a == nil {
		if len(l.allowances) >= maxAllowances {
			maps.DeleteFunc(l.allowances, func(_ string, a *allowance) bool { return now.Sub(a.lastAt) > allowanceTTL })
		}
		a = &allowance{}
		l.allowances[upstream] = a
	} else if a.limit == limit && a.version == l.view.version {
		return a
	}
	a.limit = limit
	a.version = l.view.version
	known, _ := l.view.Size()
	a.share = limit.Divide(known)
	present, all := l.view.ranks(upstream)
	// The rank among all routers holds whoever is absent in the views of others, so it bounds the number of believing owners.
	a.owner = present < a.share.Owners && all < a.share.MaxBelievers
	return a
}

// Next returns when this router's next permit for an upstream begins, and false if the router owns no share of it.
func (l *Limiter) Next(now time.Time, upstream string, limit Limit) (time.Time, bool) {
	a := l.allowance(now, upstream, limit)
	if !a.owner || !l.view.KnowsFleet(now) {
		return time.Time{}, false
	}
	at := a.lastAt
	// A request that passed its check right before a pause is written right after it.
	if l.view.resumedAt.After(at) {
		at = l.view.resumedAt
	}
	return at.Add(a.share.Interval), true
}

// MaySend reports whether a permit for an upstream can be taken now.
func (l *Limiter) MaySend(now time.Time, upstream string, limit Limit) bool {
	at, owner := l.Next(now, upstream, limit)
	return owner && !now.Before(at)
}

// Take takes a permit for an upstream, or returns false if there is none. A permit that was taken before and not used ends.
func (l *Limiter) Take(now time.Time, upstream string, limit Limit) (Permit, bool) {
	if !l.MaySend(now, upstream, limit) {
		return Permit{}, false
	}
	a := l.allowances[upstream]
	l.taken++
	a.lastAt = now
	a.current = l.taken
	return Permit{
		number: l.taken,
	}, true
}

// Use reports whether a request may be written now. It must be called immediately before the write. A permit that has ended meanwhile is replaced by a new one if there is one. The next permit begins an interval after the write, however long ago the permit was taken, so two writes are never closer than the interval.
func (l *Limiter) Use(now time.Time, upstream string, limit Limit, permit Permit) bool {
	_, owner := l.Next(now, upstream, limit)
	a := l.allowances[upstream]
	valid := owner && !permit.IsZero() && a.current == permit.number
	if !valid {
		if _, taken := l.Take(now, upstream, limit); !taken {
			return false
		}
	}
	a.current = 0
	a.lastAt = now
	return true
}
