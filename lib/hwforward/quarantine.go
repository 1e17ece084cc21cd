package hwforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// suspect is a request that was at an upstream when its connection broke. It becomes a strike only if the upstream turns out to have crashed: connections also break for other reasons.
type suspect struct {
	fingerprint hwquarantine.Fingerprint
	upstream    string
	at          time.Time
}

const (
	// suspectTime is how long a broken connection may be put down to a crash that is noticed later.
	suspectTime = 3 * time.Second
	// suspectBound bounds the memory of suspects.
	suspectBound = 2048
	// crashCheckDelay and crashCheckTimeout are how soon and how long a connection is tried after one broke: a crashed upstream refuses or does not answer.
	crashCheckDelay   = 30 * time.Millisecond
	crashCheckTimeout = 300 * time.Millisecond
)

// suspect notes a request whose connection broke and looks whether the upstream still listens.
func (r *Router) suspect(ctx context.Context, now time.Time, d *delivery, upstream, address string) {
	r.lock.Lock()
	r.suspects = slices.DeleteFunc(r.suspects, func(s suspect) bool { return now.Sub(s.at) > suspectTime })
	checking := slices.ContainsFunc(r.suspects, func(s suspect) bool {
		return s.upstream == upstream && now.Sub(s.at) < crashCheckDelay
	})
	if len(r.suspects) < suspectBound {
		r.suspects = append(r.suspects, suspect{
			fingerprint: d.fingerprint,
			upstream:    upstream,
			at:          now,
		})
	}
	r.lock.Unlock()
	if checking {
		return
	}
	// The caller's end must not stop the check.
	r.checks.start(context.WithoutCancel(ctx), func(ctx context.Context) error {
		hwtask.Pause(ctx, crashCheckDelay)
		ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		defer cancel()
		if r.links.CanConnect(ctx, address) {
			return nil
		}
		r.lock.Lock()
		defer r.lock.Unlock()
		r.convict(r.clock.Now(), upstream)
		return nil
	})
}

// checks are the running looks for crashed upstreams. Their ends are read when another starts and when the router closes.
type checks struct {
	lock  sync.Mutex
	tasks []<-chan error
}

func (c *checks) start(ctx context.Context, work func(context.Context) error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.tasks = slices.DeleteFunc(c.tasks, func(task <-chan error) bool {
		select {
		case err := <-task:
			// A look can't fail: an upstream that does not answer is what it looks for.
			return err == nil
		default:
			return false
		}
	})
	c.tasks = append(c.tasks, hwtask.Start(ctx, work))
}

// Close waits for what the router still looks into.
func (r *Router) Close() error {
	r.checks.lock.Lock()
	defer r.checks.lock.Unlock()
	return hwtask.Join(r.checks.tasks...)
}

// convict turns the suspects of an upstream that crashed into strikes. The lock must be held.
func (r *Router) convict(now time.Time, upstream string) {
	var strikes []hwquarantine.CrashReport
	r.suspects = slices.DeleteFunc(r.suspects, func(s suspect) bool {
		if s.upstream != upstream {
			return false
		}
		if now.Sub(s.at) <= suspectTime {
			strikes = append(strikes, hwquarantine.CrashReport{
				Fingerprint: s.fingerprint,
				Upstream:    s.upstream,
				OccurredAt:  s.at,
			})
		}
		return true
	})
	r.strike(now, strikes, true)
}

// strike merges strikes and logs what they quarantine. Own ones are news for the peers. The lock must be held.
func (r *Router) strike(now time.Time, strikes []hwquarantine.CrashReport, own bool) {
	if len(strikes) == 0 {
		return
	}
	for _, fingerprint := range r.guard.Merge(now, strikes...) {
		r.logger.Emit(hwevent.RequestQuarantined, hwevent.With("fingerprint", uint64(fingerprint)))
	}
	if own {
		r.news.Strikes = append(r.news.Strikes, strikes...)
	}
}

// acquit clears a request that was answered well. Only one that has strikes is worth telling.
func (r *Router) acquit(now time.Time, fingerprint hwquarantine.Fingerprint) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if !r.guard.HasCrashes(fingerprint) {
		return
	}
	r.strike(now, []hwquarantine.CrashReport{
		{
			Fingerprint: fingerprint,
			OccurredAt:  now,
			Cleared:     true,
		},
	}, true)
}
