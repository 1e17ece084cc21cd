package hwquarantine

import (
	"maps"
	"time"
)

// CautionSettings are the times of a Caution.
type CautionSettings struct {
	// Duration is how long after its start a router is cautious that nobody could tell what crashes upstreams. 0 disables caution.
	Duration time.Duration
	// PeerDelay is how long after the first update from a peer that knows a router has heard all of it: peers repeat what they know.
	PeerDelay time.Duration
	// RecordTimeout is how long after its start a router waits for the answer of the store before it is ready.
	RecordTimeout time.Duration
}

// Caution is the state of a router that may not know what crashes upstreams, because it has just started: the processes of the whole fleet may have ended, and what they knew with them. It ends as soon as somebody who knows has told the router, and otherwise when there was time to find out. It is not safe for concurrent use.
type Caution struct {
	settings  CautionSettings
	startedAt time.Time
	// endsAt is when caution ends, or ended.
	endsAt time.Time
	// asked reports that the store was asked for the fleet's record.
	asked bool
	// isolated reports that the router is isolated, since isolatedAt; isolatedUntil is when it was last.
	isolated      bool
	isolatedAt    time.Time
	isolatedUntil time.Time
}

// NewCaution returns the caution of a router that starts now.
func NewCaution(now time.Time, settings CautionSettings) Caution {
	return Caution{
		settings:  settings,
		startedAt: now,
		endsAt:    now.Add(settings.Duration),
	}
}

// IsActive reports whether the router is cautious.
func (c *Caution) IsActive(now time.Time) bool { return c.isolated || now.Before(c.endsAt) }

// Covers reports whether the router was cautious at a time.
func (c *Caution) Covers(at time.Time) bool {
	return !at.Before(c.startedAt) && at.Before(c.endsAt) ||
		!at.Before(c.isolatedAt) && (c.isolated || at.Before(c.isolatedUntil))
}

// SetIsolated records whether the router is isolated: it hears no peer, and no peer can find it by the store. What others know of crashes does not reach it then, so it stays cautious.
func (c *Caution) SetIsolated(now time.Time, isolated bool) {
	switch {
	case isolated == c.isolated:
	case isolated:
		if now.Sub(c.isolatedUntil) > c.settings.Duration {
			c.isolatedAt = now
		}
	default:
		c.isolatedUntil = now
	}
	c.isolated = isolated
}

// RecordKnown ends caution: the router has the fleet's record.
func (c *Caution) RecordKnown(now time.Time) { c.endBy(now) }

// RecordAsked records that the store was asked for the record, whatever came of it.
func (c *Caution) RecordAsked() { c.asked = true }

// HeardFromPeer records an update from a peer that knows.
func (c *Caution) HeardFromPeer(now time.Time) { c.endBy(now.Add(c.settings.PeerDelay)) }

func (c *Caution) endBy(at time.Time) {
	if at.Before(c.endsAt) {
		c.endsAt = at
	}
}

// IsSettled reports whether the answer of the store, which ends most cautions at once, is not expected any more.
func (c *Caution) IsSettled(now time.Time) bool {
	return now.Sub(c.startedAt) >= c.settings.RecordTimeout
}

// AwaitsRecord reports whether the router had better not serve yet, because the answer of the store may still come.
func (c *Caution) AwaitsRecord(now time.Time) bool {
	return !c.asked && c.IsActive(now) && !c.IsSettled(now)
}

// Claims decides when each of several requests with the same segment may be sent, for routers that can't know yet whether upstreams survive it. It is not safe for concurrent use.
type Claims struct {
	// interval is the time after a request is sent in which a crash under it shows.
	interval time.Duration
	// maxWait is the longest time for which a request is held.
	maxWait time.Duration
	// nextAt is when the next request with a segment may be sent.
	nextAt map[Segment]time.Time
}

// maxClaims bounds the memory for claims. Without room a claim is granted and not kept.
const maxClaims = 1 << 16

// NewClaims returns an empty collection. Claims of the same segment are granted an interval apart, and not if they would have to wait longer than maxWait.
func NewClaims(interval, maxWait time.Duration) *Claims {
	return &Claims{
		interval: interval,
		maxWait:  maxWait,
		nextAt:   map[Segment]time.Time{},
	}
}

// Claim returns how long it takes until a request with the segment may be sent, and whether that time was granted to this one.
func (c *Claims) Claim(now time.Time, segment Segment) (wait time.Duration, granted bool) {
	wait = max(0, c.nextAt[segment].Sub(now))
	if wait > c.maxWait {
		return wait, false
	}
	if len(c.nextAt) >= maxClaims {
		maps.DeleteFunc(c.nextAt, func(_ Segment, at time.Time) bool { return !at.After(now) })
	}
	if len(c.nextAt) < maxClaims {
		c.nextAt[segment] = now.Add(wait + c.interval)
	}
	return wait, true
}
