package hwquota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwquota"
)

// coldLimit is the limit of a cold engine of deployment A: 5.9 requests a second, at most 5.9 x 1.5 + 5 = 13.85 in any second.
var coldLimit = hwquota.Limit{PerSecond: 5.9, Bound: 13}

// pendingWrite is a request that was assigned to an upstream and is written later, as after opening a connection.
type pendingWrite struct {
	upstream int
	permit   hwquota.Permit
	at       time.Time
}

// simulatedRouter is one process of a router, with what waits in its socket while it is frozen.
type simulatedRouter struct {
	name    string
	side    int
	alive   bool
	frozen  bool
	limiter *hwquota.Limiter
	view    *hwquota.View
	inbox   map[string]bool
	pending []pendingWrite
}

// fleet simulates routers that want to send to all upstreams as often as they may.
type fleet struct {
	now       time.Time
	step      time.Duration
	routers   []*simulatedRouter
	upstreams []string
	limit     hwquota.Limit
	// loss is the fraction of datagrams that are lost.
	loss float64
	// cutLinks are the pairs of a sender and a receiver between which nothing passes.
	cutLinks map[[2]string]bool
	// random returns a number in [0, 1).
	random func() float64
	// writes are the times of the writes to each upstream.
	writes [][]time.Time
	// lastWrites is the last write of each router to each upstream, and tooClose describes those that followed within the interval.
	lastWrites map[string]ownWrite
	tooClose   []string
}

var epoch = time.Unix(1_000_000, 0)

func newFleet(routers, upstreams int, random func() float64) *fleet {
	f := &fleet{
		now:        epoch,
		step:       100 * time.Millisecond,
		limit:      coldLimit,
		random:     random,
		writes:     make([][]time.Time, upstreams),
		lastWrites: map[string]ownWrite{},
	}
	for n := range upstreams {
		f.upstreams = append(f.upstreams, fmt.Sprintf("engine-%d", n))
	}
	for n := range routers {
		r := &simulatedRouter{name: fmt.Sprintf("router-%d", n)}
		f.routers = append(f.routers, r)
		f.start(r)
	}
	return f
}

// start begins a new process of a router, which knows nothing.
func (f *fleet) start(r *simulatedRouter) {
	r.alive, r.frozen = true, false
	r.view = hwquota.NewView(hwquota.ViewSettings{Router: r.name, StartedAt: f.now, ExpectsPeers: true})
	r.limiter = hwquota.NewLimiter(r.view)
	r.inbox = map[string]bool{}
	r.pending = nil
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(f.step) {
		for _, from := range f.routers {
			if !from.alive || from.frozen {
				continue
			}
			for _, to := range f.routers {
				if to != from && to.alive && to.side == from.side && !f.cutLinks[[2]string{from.name, to.name}] && (f.loss == 0 || f.random() >= f.loss) {
					to.inbox[from.name] = true
				}
			}
		}
		for _, r := range f.routers {
			if r.alive && !r.frozen {
				f.act(r)
			}
		}
	}
}

// act lets a router send what it may, before and after it reads its datagrams, and in between after a part of them: after a pause it may be in any of these states.
func (f *fleet) act(r *simulatedRouter) {
	f.send(r)
	count := 0
	for name := range r.inbox {
		r.view.RecordHeard(f.now, name)
		if count++; count == len(r.inbox)/2 {
			f.send(r)
		}
	}
	clear(r.inbox)
	r.view.Observe(f.now)
	f.send(r)
}

func (f *fleet) send(r *simulatedRouter) {
	for n, upstream := range f.upstreams {
		if permit, taken := r.limiter.Take(f.now, upstream, f.limit); taken {
			r.pending = append(r.pending, pendingWrite{
				upstream: n,
				permit:   permit,
				// Connections take up to a second and a half to open.
				at: f.now.Add(time.Duration(max(0, f.random()*3-1.5) * float64(time.Second))),
			})
		}
	}
	rest := r.pending[:0]
	for _, w := range r.pending {
		switch {
		case w.at.After(f.now):
			rest = append(rest, w)
		case r.limiter.Use(f.now, f.upstreams[w.upstream], f.limit, w.permit):
			f.recordWrite(r, w.upstream)
		}
	}
	r.pending = rest
}

// recordWrite records a write and whether it follows the router's last one too closely.
func (f *fleet) recordWrite(r *simulatedRouter, upstream int) {
	f.writes[upstream] = append(f.writes[upstream], f.now)
	known, _ := r.view.Size()
	write := ownWrite{
		at:       f.now,
		interval: f.limit.Divide(known).Interval,
	}
	key := fmt.Sprintf("%s to %s", r.name, f.upstreams[upstream])
	if last, found := f.lastWrites[key]; found && write.at.Sub(last.at) < min(write.interval, last.interval) {
		f.tooClose = append(f.tooClose, fmt.Sprintf("%s after %v", key, write.at.Sub(last.at)))
	}
	f.lastWrites[key] = write
}

// ownWrite is a write of one router, with the interval that its view allowed.
type ownWrite struct {
	at       time.Time
	interval time.Duration
}

// mostInASecond returns the largest number of times within any window of one second. Both ends of the window count.
func mostInASecond(times []time.Time) int {
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// requireBound checks the bound for every upstream in every second.
func (f *fleet) requireBound(t require.TestingT) {
	for n, times := range f.writes {
		if most := mostInASecond(times); most > f.limit.Bound {
			require.Failf(t, "bound exceeded", "%s got %d requests within a second", f.upstreams[n], most)
		}
	}
}

// Each router with its own view, of routers that die, start, freeze and are cut off, added up to more requests to a cold upstream than it can take.
func TestNoHistoryOfTheFleetExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := newRandom(seed)
		f := newFleet(rapid.IntRange(1, 40).Draw(t, "routers"), rapid.IntRange(1, 12).Draw(t, "upstreams"), random)
		f.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5, 0.9}).Draw(t, "loss")
		if rapid.Bool().Draw(t, "settled") {
			f.run(3 * time.Second)
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			share := rapid.SampledFrom([]float64{0.05, 0.2, 0.5, 1}).Draw(t, "share")
			kind := rapid.SampledFrom([]string{"kill", "start", "restart", "cut", "heal", "freeze", "thaw"}).Draw(t, "event")
			for _, r := range f.routers {
				if random() >= share {
					continue
				}
				f.apply(r, kind)
			}
			f.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps")) * f.step)
		}
		f.requireBound(t)
		require.Empty(t, f.tooClose, "two writes of one router, as of a bunch after a pause")
	})
}

func (f *fleet) apply(r *simulatedRouter, kind string) {
	switch kind {
	case "kill":
		r.alive = false
	case "start":
		if !r.alive {
			f.start(r)
		}
	case "restart":
		f.start(r)
	case "cut":
		// One cut divides the fleet into two sides.
		r.side = 1 - r.side
	case "heal":
		r.side = 0
	case "freeze":
		r.frozen = true
	case "thaw":
		r.frozen = false
	}
}

// Routers that know each other may disagree on who is alive in any way, each with another view. Only their common ranking then bounds how many believe that they own a share.
func TestNoCutOfLinksExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := newRandom(rapid.Uint64().Draw(t, "seed"))
		f := newFleet(rapid.IntRange(14, 40).Draw(t, "routers"), 12, random)
		f.run(3 * time.Second)
		// Silent peers are forgotten after a minute.
		for range rapid.IntRange(1, 6).Draw(t, "events") {
			share := rapid.Float64Range(0, 0.6).Draw(t, "share")
			switch rapid.SampledFrom([]string{"links", "sides", "freeze", "thaw", "kill"}).Draw(t, "event") {
			case "links":
				f.cutLinks = map[[2]string]bool{}
				for _, from := range f.routers {
					for _, to := range f.routers {
						f.cutLinks[[2]string{from.name, to.name}] = random() < share
					}
				}
			case "sides":
				for _, r := range f.routers {
					r.side = int(random() * 4)
				}
			case "freeze":
				f.each(share, func(r *simulatedRouter) { r.frozen = true })
			case "thaw":
				f.each(1, func(r *simulatedRouter) { r.frozen = false })
			case "kill":
				f.each(share/4, func(r *simulatedRouter) { r.alive = false })
			}
			f.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "steps")) * f.step)
		}
		f.requireBound(t)
		require.Empty(t, f.tooClose)
	})
}

// each applies a change to a random share of the routers.
func (f *fleet) each(share float64, change func(*simulatedRouter)) {
	for _, r := range f.routers {
		if f.random() < share {
			change(r)
		}
	}
}
