package hwfollow

import (
	"context"
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
}

// IsCutOff reports whether this router fails to reach the source while most of its peers do. If most routers can't reach the source, the source itself is unavailable, and clients would gain nothing by connecting to another router.
func IsCutOff(reachable bool, peersReachable, peersUnreachable int) bool {
	return !reachable && peersReachable > peersUnreachable
}

// pingSource tests this router's own connection to the source with the cheapest request and publishes the result. Table and list don't show it, because peers may have supplied them.
func (p *Poller) pingSource(ctx context.Context) error {
	sentAt := p.clock.Now()
	err := p.source.Ping(ctx)
	if err == nil {
		p.lastPing = sentAt
	}
	p.pingFailing.Store(err != nil)
	now := p.clock.Now()
	_, complete := p.Snapshot()
	reachable := !p.lastPing.IsZero() && now.Sub(p.lastPing) < p.settings.PingValidity
	p.reachability.SetStoreReachable(reachable && complete)
	peersReachable, peersUnreachable := p.reachability.PeerReachability(now)
	p.sink.SetCutOff(IsCutOff(reachable, peersReachable, peersUnreachable))
	return err
}

// waitToPing waits between a failed ping and the next one. Pings are frequent, so a single failure matters little: it is retried after half of the interval. Whether pings stay slow is decided again after each such step, so that a router pings at once when most peers reach the source again.
func (p *Poller) waitToPing(ctx context.Context, failures int, _ error) {
	for steps := 1; ctx.Err() == nil; steps++ {
		hwtask.Sleep(ctx, p.settings.PingInterval/2)
		reachable, unreachable := p.reachability.PeerReachability(p.clock.Now())
		if !PingsSlowly(p.condition(failures), steps, reachable, unreachable) {
			return
		}
	}
}
