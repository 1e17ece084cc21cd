package hwfollow

import (
	"context"
	"time"
)

// Fleet is whom a follower tells whether it reaches the source by itself, and who knows how many of the other routers do.
type Fleet interface {
	SetReaches(reaches bool)
	Reaching(now time.Time) (reaching, cutOff int)
}

// CutOff decides whether a router is cut off from the source alone. While most routers don't reach it the source itself is away, and callers gain nothing from going elsewhere.
func CutOff(reaches bool, reaching, cutOff int) bool { return !reaches && reaching > cutOff }

// askWay asks the source for as little as possible, and tells what follows. What other routers pass on keeps table and list new, so it says nothing of the router's own way.
func (f *Follower) askWay(ctx context.Context) error {
	at := f.clock.Now()
	err := f.source.Reach(ctx)
	if err == nil {
		f.reached = at
	}
	now := f.clock.Now()
	_, known := f.State()
	reaches := !f.reached.IsZero() && now.Sub(f.reached) < f.settings.WayFresh
	f.fleet.SetReaches(reaches && known)
	reaching, cutOff := f.fleet.Reaching(now)
	f.sink.SetCutOff(CutOff(reaches, reaching, cutOff))
	return err
}
