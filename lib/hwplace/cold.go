package hwplace

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwquota"
)

// ColdSettings configure the limit on the requests that cold upstreams get from all routers together. The zero value turns it off.
type ColdSettings struct {
	// OverRatio and SlackRequests give the most requests that a cold upstream may receive within any second: its rate times the ratio, plus the slack.
	OverRatio     float64
	SlackRequests float64
	// HeartbeatInterval is the time between two registrations of an upstream.
	HeartbeatInterval time.Duration
}

// enabled reports whether the deployment limits cold upstreams.
func (s ColdSettings) enabled() bool { return s.OverRatio > 0 || s.SlackRequests > 0 }

// ColdLimit is what a pool's configuration says of its cold upstreams.
type ColdLimit struct {
	// PerSecond is the rate of requests that a cold upstream handles; 0 means no limit.
	PerSecond float64
	// StartTime is how long an upstream is cold after it starts.
	StartTime time.Duration
}

// ColdCause tells why an upstream counts as cold.
type ColdCause string

// The causes, strongest first.
const (
	ColdByList   ColdCause = "list"
	ColdByAnswer ColdCause = "answer"
	ColdByStart  ColdCause = "start"
	ColdByZone   ColdCause = "zone-restored"
)

// coldState is what is known of the coldness of one lifetime of an upstream.
type coldState struct {
	// answerEnd and startEnd are the times until which an answer said that the upstream is cold, and until which it is cold because it has just started.
	answerEnd time.Time
	startEnd  time.Time
	// updatedAt is when the lifetime was last listed or heard of.
	updatedAt time.Time
	// reported is the last cause that UpdateCold returned, or empty if the upstream was warm.
	reported ColdCause
}

// coldStateTTL is how long after it was last listed a lifetime is remembered. An entry that lapses in an outage of the store returns within seconds.
const coldStateTTL = 30 * time.Minute

// ColdUpstreams keeps which upstreams are cold, and shares their rates with the other routers. Pools share it; it outlives lists and configurations. It is not safe for concurrent use.
type ColdUpstreams struct {
	settings ColdSettings
	view     *hwquota.View
	limiter  *hwquota.Limiter
	// byLifetime has an entry for each lifetime that was listed.
	byLifetime map[Lifetime]*coldState
	// zoneRestoredAt is when each zone was last restored from an evacuation.
	zoneRestoredAt map[string]time.Time
	prunedAt       time.Time
}

// NewColdUpstreams returns a ColdUpstreams for the router with the given view of its fleet, or nil if the settings turn the limit off. A nil ColdUpstreams limits nothing.
func NewColdUpstreams(settings ColdSettings, view *hwquota.View) *ColdUpstreams {
	if !settings.enabled() {
		return nil
	}
	return &ColdUpstreams{
		settings:       settings,
		view:           view,
		limiter:        hwquota.NewLimiter(view),
		byLifetime:     map[Lifetime]*coldState{},
		zoneRestoredAt: map[string]time.Time{},
	}
}

// PermitsTaken returns how many permits for cold upstreams this router has taken.
func (c *ColdUpstreams) PermitsTaken() uint64 {
	if c == nil {
		return 0
	}
	return c.limiter.Taken()
}

// Routers returns how many routers share the rates, this one included, and how many of them are absent.
func (c *ColdUpstreams) Routers() (known, absent int) {
	if c == nil {
		return 0, 0
	}
	return c.view.Size()
}

// state returns the state of a lifetime, which it creates if necessary, and whether it is new.
func (c *ColdUpstreams) state(now time.Time, lifetime Lifetime) (state *coldState, added bool) {
	state = c.byLifetime[lifetime]
	if state == nil {
		state = &coldState{}
		c.byLifetime[lifetime] = state
		added = true
	}
	state.updatedAt = now
	return state, added
}

// prune forgets the lifetimes that have not been listed for long.
func (c *ColdUpstreams) prune(now time.Time) {
	if now.Sub(c.prunedAt) < coldStateTTL/2 {
		return
	}
	c.prunedAt = now
	maps.DeleteFunc(c.byLifetime, func(_ Lifetime, s *coldState) bool {
		return now.Sub(s.updatedAt) > coldStateTTL && now.After(s.answerEnd)
	})
}

// poolCold is the part of a pool that limits its cold upstreams.
type poolCold struct {
	upstreams *ColdUpstreams
	limit     ColdLimit
}

// enabled reports whether the pool limits its cold upstreams.
func (c poolCold) enabled() bool { return c.upstreams != nil && c.limit.PerSecond > 0 }

// quota returns the limit of one upstream.
func (c poolCold) quota() hwquota.Limit {
	settings := c.upstreams.settings
	return hwquota.Limit{
		PerSecond: c.limit.PerSecond,
		Bound:     int(min(math.Floor(c.limit.PerSecond*settings.OverRatio+settings.SlackRequests), math.MaxInt32)),
	}
}

// SetColdLimit sets the limit on the pool's cold upstreams. Pools of a router share the ColdUpstreams, which may be nil.
func (p *Pool) SetColdLimit(upstreams *ColdUpstreams, limit ColdLimit) {
	p.cold = poolCold{
		upstreams: upstreams,
		limit:     limit,
	}
}

// ColdChange says that an upstream has become cold, or warm again if the cause is empty.
type ColdChange struct {
	Upstream Upstream
	Cause    ColdCause
}

// UpdateCold updates which upstreams are cold after SetUpstreams, and returns what has changed since the last call. A lifetime that is new to a router that already had a list has just started. Entries that lapse and return have not.
func (p *Pool) UpdateCold(now time.Time, hadList bool) []ColdChange {
	if !p.cold.enabled() {
		return nil
	}
	p.cold.upstreams.prune(now)
	var changes []ColdChange
	for _, s := range p.ordered {
		state, added := p.cold.upstreams.state(now, s.upstream.Lifetime())
		s.cold = state
		// What the list says of a cold upstream is its own word, which holds instead of the usual time.
		if added && hadList && !s.upstream.Cold {
			state.startEnd = now.Add(p.cold.limit.StartTime)
		}
		if cause := p.coldCause(now, s); (cause == "") != (state.reported == "") {
			state.reported = cause
			changes = append(changes, ColdChange{
				Upstream: s.upstream,
				Cause:    cause,
			})
		}
	}
	slices.SortFunc(changes, func(a, b ColdChange) int {
		if a.Upstream.ID < b.Upstream.ID {
			return -1
		}
		return 1
	})
	return changes
}

// RecordCold records that an upstream said in an answer for how long it is cold. A shorter time does not end an earlier one, because answers may arrive out of order.
func (p *Pool) RecordCold(now time.Time, upstream Upstream, remaining time.Duration) {
	if !p.cold.enabled() || remaining <= 0 {
		return
	}
	state, _ := p.cold.upstreams.state(now, upstream.Lifetime())
	if end := now.Add(min(remaining, maxPause)); end.After(state.answerEnd) {
		state.answerEnd = end
	}
	// The list may show another lifetime by now.
	if s := p.upstreams[upstream.ID]; s != nil && s.upstream.Lifetime() == upstream.Lifetime() {
		s.cold = state
	}
}

// MarkZoneCold records that a zone was restored from an evacuation. Its upstreams, of all pools, count as cold until they have had the time to start and to register twice.
func (p *Pool) MarkZoneCold(restoredAt time.Time, zone string) {
	if p.cold.upstreams != nil && restoredAt.After(p.cold.upstreams.zoneRestoredAt[zone]) {
		p.cold.upstreams.zoneRestoredAt[zone] = restoredAt
	}
}

// coldCause returns why an upstream is cold, or an empty cause.
func (p *Pool) coldCause(now time.Time, s *upstreamState) ColdCause {
	if !p.cold.enabled() {
		return ""
	}
	restoredAt, restored := p.cold.upstreams.zoneRestoredAt[s.upstream.Zone]
	switch {
	case s.upstream.Cold:
		return ColdByList
	case s.cold != nil && now.Before(s.cold.answerEnd):
		return ColdByAnswer
	case s.cold != nil && now.Before(s.cold.startEnd):
		return ColdByStart
	case restored && now.Before(restoredAt.Add(p.cold.limit.StartTime+2*p.cold.upstreams.settings.HeartbeatInterval)):
		return ColdByZone
	default:
		return ""
	}
}

// IsCold reports whether an upstream counts as cold.
func (p *Pool) IsCold(now time.Time, upstream string) bool {
	s := p.upstreams[upstream]
	return s != nil && p.coldCause(now, s) != ""
}

// ColdUpstreams returns the number of upstreams that count as cold.
func (p *Pool) ColdUpstreams(now time.Time) int {
	count := 0
	for _, s := range p.ordered {
		if p.coldCause(now, s) != "" {
			count++
		}
	}
	return count
}

// hasPermit reports whether an upstream is warm or this router may send it a request now.
func (p *Pool) hasPermit(now time.Time, s *upstreamState) bool {
	return p.coldCause(now, s) == "" || p.cold.upstreams.limiter.MaySend(now, s.upstream.ID, p.cold.quota())
}

// takePermit takes the permit for a request if its upstream is cold.
func (p *Pool) takePermit(now time.Time, s *upstreamState) hwquota.Permit {
	if p.coldCause(now, s) == "" {
		return hwquota.Permit{}
	}
	permit, _ := p.cold.upstreams.limiter.Take(now, s.upstream.ID, p.cold.quota())
	return permit
}

// MayWrite reports whether a request may be written to its upstream now: the upstream is warm, or the request's permit still holds, or there is a new one. It must be called immediately before the write, because the upstream may have become cold since it was chosen, and the process may have been paused.
func (p *Pool) MayWrite(now time.Time, r *InFlightRequest) bool {
	if !p.cold.enabled() {
		return true
	}
	s := p.upstreams[r.Upstream]
	if s != nil && p.coldCause(now, s) == "" || s == nil && r.permit.IsZero() {
		return true
	}
	return p.cold.upstreams.limiter.Use(now, r.Upstream, p.cold.quota(), r.permit)
}

// NextColdPermit reports whether cold upstreams would take requests if this router had a permit. The time is when its next one begins, or zero if it owns no share of any of them.
func (p *Pool) NextColdPermit(now time.Time) (next time.Time, cold bool) {
	for _, s := range p.ordered {
		if !p.takesRequests(now, s) || p.coldCause(now, s) == "" {
			continue
		}
		cold = true
		if at, owner := p.cold.upstreams.limiter.Next(now, s.upstream.ID, p.cold.quota()); owner && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, cold
}
