package hwfollow

import (
	"context"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Reachability exchanges with the other routers which of them reach the source directly.
type Reachability interface {
	// SetStoreReachable sets whether peers may query this router: it reaches the source directly and has a snapshot.
	SetStoreReachable(reachable bool)
	// PeerReachability returns how many peers reach the source directly, and how many report that they don't.
	PeerReachability(now time.Time) (reachable, unreachable int)
	// IsReader and IsBackup report whether this router reads the store on behalf of the others, or takes over from the one that does. PeerCount returns how many other routers were heard lately.
	IsReader(now time.Time) bool
	IsBackup(now time.Time) bool
	PeerCount(now time.Time) int
	// NewestPeerTable returns the highest version of a table that a peer has in force, or 0.
	NewestPeerTable(now time.Time) uint64
	// NewerTableHeard returns a channel that has a value after a peer has stated a higher version than this router has in force.
	NewerTableHeard() <-chan struct{}
}

// IsCutOff reports whether this router fails to reach the source while most of its peers do. If most routers can't reach the source, the source itself is unavailable, and clients would gain nothing by connecting to another router.
func IsCutOff(reachable bool, peersReachable, peersUnreachable int) bool {
	return !reachable && peersReachable > peersUnreachable
}

// Schedule of the pings while the source does not answer, in parts of the ping interval.
const (
	// pingRetryDivisor gives the time after a ping without an answer at which the next one is sent, whether or not the first has timed out: the end of an outage is known as exactly as that.
	pingRetryDivisor = 3
	// slowPingDivisor gives the step in which PingsSlowly counts.
	slowPingDivisor = 2
	// slowCheckDivisor gives the time between two decisions whether pings stay slow, so that a router pings at once when its peers reach the source again.
	slowCheckDivisor = 10
	// maxPingsInFlight bounds the pings without an answer.
	maxPingsInFlight = 4
	// peerReportDelay covers the time between the end of an outage and the moment at which a router whose pings are slow knows that one in slowPingRatio of its peers reaches the source.
	peerReportDelay = 500 * time.Millisecond
)

// ping is a ping that has ended.
type ping struct {
	sentAt time.Time
	err    error
}

// IsReachable reports whether the source has answered the last ping. Before the first one it is taken to be reachable.
func (p *Poller) IsReachable() bool { return !p.pingFailing.Load() }

// pingLoop tests this router's own connection to the source with the cheapest request until the context ends, and publishes the results. Table and list don't show it, because peers may have supplied them.
func (p *Poller) pingLoop(ctx context.Context) error {
	outages := p.outageLogger("way")
	ended := make(chan ping, maxPingsInFlight)
	var inFlight []<-chan error
	var lastSent time.Time
	failures := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return hwtask.Join(inFlight...)
		case result := <-ended:
			now := p.clock.Now()
			switch {
			case result.err == nil:
				failures = 0
				timer.Reset(result.sentAt.Add(p.settings.PingInterval).Sub(now))
				outages.log(result.sentAt, now, nil)
			case result.sentAt.After(p.lastPing):
				failures++
				outages.log(result.sentAt, now, result.err)
			}
			p.publishPing(now, result)
		case <-timer.C:
			now := p.clock.Now()
			if failures > 0 && p.leavesPingOut(now, now.Sub(lastSent), failures) {
				timer.Reset(p.settings.PingInterval / slowCheckDivisor)
				continue
			}
			timer.Reset(p.settings.PingInterval / pingRetryDivisor)
			inFlight = slices.DeleteFunc(inFlight, hasEnded)
			if len(inFlight) < maxPingsInFlight {
				lastSent = now
				inFlight = append(inFlight, hwtask.Start(ctx, func(ctx context.Context) error {
					ended <- p.sendPing(ctx, now)
					return nil
				}))
			}
		}
	}
}

// hasEnded reports whether a task has ended, if nobody has received its result.
func hasEnded(task <-chan error) bool {
	return len(task) > 0
}

// sendPing sends one ping.
func (p *Poller) sendPing(ctx context.Context, now time.Time) ping {
	ctx, cancel := context.WithTimeout(ctx, min(p.settings.PingInterval, p.settings.Timeout))
	defer cancel()
	return ping{
		sentAt: now,
		err:    p.source.Ping(ctx),
	}
}

// publishPing tells the other parts and the other routers the result of a ping.
func (p *Poller) publishPing(now time.Time, result ping) {
	p.listLock.Lock()
	if result.err == nil {
		p.reconciler.CallAnswered(result.sentAt, now)
	} else {
		p.reconciler.CallFailed(result.sentAt)
	}
	p.listLock.Unlock()
	// A ping that was sent before one that has been answered was lost in an outage that is over.
	if result.sentAt.After(p.lastPing) {
		p.pingFailing.Store(result.err != nil)
		if result.err == nil {
			p.lastPing = result.sentAt
		}
	}
	_, complete := p.Snapshot()
	reachable := !p.lastPing.IsZero() && now.Sub(p.lastPing) < p.settings.PingValidity
	p.reachability.SetStoreReachable(reachable && complete)
	peersReachable, peersUnreachable := p.reachability.PeerReachability(now)
	p.sink.SetCutOff(IsCutOff(reachable, peersReachable, peersUnreachable))
}

// leavesPingOut reports whether the next ping is left out because pings are slow. Then the peers show in its place that the source is away.
func (p *Poller) leavesPingOut(now time.Time, sinceLast time.Duration, failures int) bool {
	reachable, unreachable := p.reachability.PeerReachability(now)
	steps := int(sinceLast / (p.settings.PingInterval / slowPingDivisor))
	if !PingsSlowly(p.condition(failures), steps, reachable, unreachable) {
		return false
	}
	p.listLock.Lock()
	defer p.listLock.Unlock()
	p.reconciler.CallFailed(now.Add(-peerReportDelay))
	return true
}
