package hwplace

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// Lifetime identifies one start of an upstream. A replica that starts again, under its id or another one, or another replica at the same address, is a new lifetime.
type Lifetime struct {
	ID          string
	Address     string
	Incarnation int64
}

// Lifetime returns the lifetime to which an entry of the list belongs.
func (u Upstream) Lifetime() Lifetime {
	return Lifetime{
		ID:          u.ID,
		Address:     u.Address,
		Incarnation: u.Incarnation,
	}
}

// LifetimeHash identifies a lifetime in messages between routers.
type LifetimeHash uint64

// Hash returns the hash of the lifetime.
func (l Lifetime) Hash() LifetimeHash {
	return LifetimeHash(hwprompt.HashUpstreamID(l.ID + "\x00" + l.Address + "\x00" + strconv.FormatInt(l.Incarnation, 10)))
}

const (
	// noticeTTL is how long after its last notice a lifetime is remembered. Leaving upstreams are gone after some seconds; one that never exits and stays listed is told again by its answers.
	noticeTTL = 30 * time.Minute
	// maxNotices limits the lifetimes in memory, some 150 bytes each: over twice the largest fleet of upstreams.
	maxNotices = 8192
	// peerNoticeTTL is how long a peer's word that an upstream leaves counts without being repeated. A false word costs no more than this.
	peerNoticeTTL = 5 * time.Second
	// noticeShareTime is for how long a router tells its peers that an upstream leaves. Lists show it after one or two polls if the store answers.
	noticeShareTime = 3 * time.Second
	// recoveryTime is the time after a pause in which an upstream gets work again in steps.
	recoveryTime = 2 * time.Second
	// maxPause is the longest pause that is honoured; longer ones are honoured for that long.
	maxPause = 24 * time.Hour
)

// notice is what an upstream has said of itself.
type notice struct {
	// leavingAt is when the upstream itself said so to this router, peerLeavingAt when a peer last passed it on; zero if never.
	leavingAt     time.Time
	peerLeavingAt time.Time
	// pauseEnd is the time until which the upstream wants no requests of this router.
	pauseEnd time.Time
	// unusablePause is set once the upstream has stated a pause that can't be read.
	unusablePause bool
	updatedAt     time.Time
}

// Notices keeps what upstreams say of themselves in answers: that they leave, or want no requests for a time. It outlives lists and configurations, because an entry may lapse and return. It is not safe for concurrent use.
type Notices struct {
	byLifetime map[Lifetime]*notice
}

// NewNotices returns a Notices to which no upstream has said anything.
func NewNotices() *Notices {
	return &Notices{
		byLifetime: map[Lifetime]*notice{},
	}
}

// entry returns the notice of a lifetime, which it creates if necessary.
func (n *Notices) entry(now time.Time, lifetime Lifetime) *notice {
	e := n.byLifetime[lifetime]
	if e == nil {
		n.prune(now)
		e = &notice{}
		n.byLifetime[lifetime] = e
	}
	e.updatedAt = now
	return e
}

// prune forgets what is old, and the oldest notice if there are too many.
func (n *Notices) prune(now time.Time) {
	maps.DeleteFunc(n.byLifetime, func(_ Lifetime, e *notice) bool {
		return now.Sub(e.updatedAt) > noticeTTL && now.After(e.pauseEnd)
	})
	if len(n.byLifetime) < maxNotices {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(n.byLifetime)), func(a, b Lifetime) int {
		return n.byLifetime[a].updatedAt.Compare(n.byLifetime[b].updatedAt)
	})
	delete(n.byLifetime, oldest)
}

// find returns the notice of a lifetime, or nil.
func (n *Notices) find(lifetime Lifetime) *notice { return n.byLifetime[lifetime] }

// LeavingToShare returns the lifetimes that have said lately to this router that they leave, for its peers, and at most limit.
func (n *Notices) LeavingToShare(now time.Time, limit int) []LifetimeHash {
	var hashes []LifetimeHash
	for lifetime, e := range n.byLifetime {
		if len(hashes) < limit && !e.leavingAt.IsZero() && now.Sub(e.leavingAt) < noticeShareTime {
			hashes = append(hashes, lifetime.Hash())
		}
	}
	return hashes
}

// isLeaving reports whether the upstream leaves, by its own word or a peer's. The notice may be nil.
func (e *notice) isLeaving(now time.Time) bool {
	return e != nil && (!e.leavingAt.IsZero() || !e.peerLeavingAt.IsZero() && now.Sub(e.peerLeavingAt) < peerNoticeTTL)
}

// isPausing reports whether the upstream wants no requests at present. The notice may be nil.
func (e *notice) isPausing(now time.Time) bool { return e != nil && now.Before(e.pauseEnd) }

// allowedRequests returns how many requests of this router the upstream may have at the same time: none in a pause, and more and more of its slots after it. The notice may be nil.
func (e *notice) allowedRequests(now time.Time, slots int) int {
	if e == nil || e.pauseEnd.IsZero() {
		return maxRequests
	}
	if now.Before(e.pauseEnd) {
		return 0
	}
	return recoveringRequests(now.Sub(e.pauseEnd), slots)
}

// maxRequests stands for no limit on the requests at an upstream.
const maxRequests = 1 << 30

// isLeaving reports whether an upstream drains, by the list, its own answers or a peer's word.
func (s *upstreamState) isLeaving(now time.Time) bool {
	return s.upstream.Draining || s.notice.isLeaving(now)
}

// RecordLeaving records whether an upstream said in an answer to this router that it leaves, and reports whether that is news. Its word holds for the rest of the lifetime. An answer without it refutes what peers said, but not what the upstream said before, because answers may arrive out of order.
func (p *Pool) RecordLeaving(now time.Time, upstream Upstream, leaving bool) bool {
	if !leaving {
		if e := p.notices.find(upstream.Lifetime()); e != nil {
			e.peerLeavingAt = time.Time{}
		}
		return false
	}
	e := p.notice(now, upstream)
	first := e.leavingAt.IsZero()
	if first {
		e.leavingAt = now
	}
	return first
}

// RecordPeerLeaving records that a peer passed on that the upstream with the given lifetime leaves, and returns the upstream if that is news. It holds for peerNoticeTTL.
func (p *Pool) RecordPeerLeaving(now time.Time, hash LifetimeHash) (Upstream, bool) {
	s := p.upstreams[p.idByLifetime[hash]]
	if s == nil {
		return Upstream{}, false
	}
	known := s.isLeaving(now)
	p.notice(now, s.upstream).peerLeavingAt = now
	return s.upstream, !known
}

// RecordPause records that an upstream wants no requests of this router for a time, and reports whether that begins a pause. A shorter one does not end an earlier one.
func (p *Pool) RecordPause(now time.Time, upstream Upstream, pause time.Duration) bool {
	e := p.notice(now, upstream)
	began := !e.isPausing(now)
	if end := now.Add(min(pause, maxPause)); end.After(e.pauseEnd) {
		e.pauseEnd = end
	}
	return began
}

// notice returns the notice of an upstream, which it creates if necessary.
func (p *Pool) notice(now time.Time, upstream Upstream) *notice {
	e := p.notices.entry(now, upstream.Lifetime())
	// The list may show another lifetime by now.
	if s := p.upstreams[upstream.ID]; s != nil && s.upstream.Lifetime() == upstream.Lifetime() {
		s.notice = e
	}
	return e
}

// RecordUnusablePause records that an upstream states a pause that can't be read, and reports whether that is news.
func (p *Pool) RecordUnusablePause(now time.Time, upstream Upstream) bool {
	e := p.notice(now, upstream)
	first := !e.unusablePause
	e.unusablePause = true
	return first
}

// IsLeaving reports whether an upstream has said that it leaves, or a peer has.
func (p *Pool) IsLeaving(now time.Time, upstream Upstream) bool {
	return p.notices.find(upstream.Lifetime()).isLeaving(now)
}

// IsAvailable reports whether a request that was assigned to an upstream may still be sent. While the connection was opened, the newest list may have dropped or replaced the upstream's lifetime or shown that it drains, the upstream may have announced a pause or its leaving, or its zone may have been evacuated.
func (p *Pool) IsAvailable(now time.Time, upstream Upstream) bool {
	s := p.upstreams[upstream.ID]
	return s != nil && s.upstream.Lifetime() == upstream.Lifetime() && !s.isLeaving(now) && !s.notice.isPausing(now) && !p.isEvacuated(s)
}

// Unavailable counts the upstreams that leave and those that pause, for metrics.
func (p *Pool) Unavailable(now time.Time) (leaving, pausing int) {
	for _, s := range p.ordered {
		switch {
		case s.isLeaving(now):
			leaving++
		case s.notice.isPausing(now):
			pausing++
		}
	}
	return leaving, pausing
}

// ActiveUpstreams returns the number of upstreams that neither leave nor pause, and whose zones are not evacuated.
func (p *Pool) ActiveUpstreams(now time.Time) int {
	active := 0
	for _, s := range p.ordered {
		if !s.isLeaving(now) && !s.notice.isPausing(now) && !p.isEvacuated(s) {
			active++
		}
	}
	return active
}

// EarliestReturn returns when the first of the upstreams takes requests again that pause, have just paused or whose zones have just been restored, or false if there is none.
func (p *Pool) EarliestReturn(now time.Time) (time.Time, bool) {
	var earliest time.Time
	for _, s := range p.ordered {
		if s.isLeaving(now) || p.isEvacuated(s) || p.allowedRequests(now, s) == maxRequests {
			continue
		}
		end := p.evacuations.RestoredAt(s.upstream.Zone)
		if s.notice != nil && s.notice.pauseEnd.After(end) {
			end = s.notice.pauseEnd
		}
		if earliest.IsZero() || end.Before(earliest) {
			earliest = end
		}
	}
	return earliest, !earliest.IsZero()
}
