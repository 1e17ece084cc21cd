package hwfollow

import (
	"context"
	"time"
)

// Reachability is whom a follower tells whether it reaches the source by itself, and who knows how many of the other routers do.
type Reachability interface {
	SetStoreReachable(reaches bool)
	PeerReachability(now time.Time) (reaching, cutOff int)
}

// IsCutOff decides whether a router is cut off from the source alone. While most routers don't reach it the source itself is away, and callers gain nothing from going elsewhere.
func IsCutOff(reaches bool, reaching, cutOff int) bool { return !reaches && reaching > cutOff }

// askWay asks the source for as little as possible, and tells what follows. What other routers pass on keeps table and list new, so it says nothing of the router's own way.
func (f *Poller) askWay(ctx context.Context) error {
	at := f.clock.Now()
	err := f.source.Ping(ctx)
	if err == nil {
		f.reached = at
	}
	now := f.clock.Now()
	_, known := f.Snapshot()
	reaches := !f.reached.IsZero() && now.Sub(f.reached) < f.settings.PingValidity
	f.fleet.SetStoreReachable(reaches && known)
	reaching, cutOff := f.fleet.PeerReachability(now)
	f.sink.SetCutOff(IsCutOff(reaches, reaching, cutOff))
	return err
}
