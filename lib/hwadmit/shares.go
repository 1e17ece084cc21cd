// Package hwadmit decides whether a request is taken or refused, from the wait that it would find and from its account's part of the fleet's throughput, and tells refused callers when to come back.
package hwadmit

import (
	"math"
	"slices"
	"time"
)

// Use is what an account asked for and was given, in tokens a second.
type Use struct {
	Asked float64
	Given float64
}

type meter struct {
	asked float64
	given float64
	at    time.Time
}

func (m *meter) decay(now time.Time, window time.Duration) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / window.Seconds())
		m.asked *= keep
		m.given *= keep
		m.at = now
	}
}

// Shares meters the accounts' use over the fleet and works out the level up to which each is served: the max-min share of the throughput.
type Shares struct {
	window time.Duration
	own    map[string]*meter
	peers  map[string]peerUse
	// sum and level are the fleet's rates and the fair rate as of summed; they are kept for a moment.
	sum   map[string]Use
	level float64
	// most is the highest rate that an account was given.
	most   float64
	summed time.Time
}

type peerUse struct {
	at  time.Time
	use map[string]Use
}

// NewShares returns shares without use. Window is the time over which rates are averaged.
func NewShares(window time.Duration) *Shares {
	return &Shares{
		window: window,
		own:    map[string]*meter{},
		peers:  map[string]peerUse{},
	}
}

func (s *Shares) meter(now time.Time, account string) *meter {
	m := s.own[account]
	if m == nil {
		m = &meter{
			at: now,
		}
		s.own[account] = m
	}
	m.decay(now, s.window)
	return m
}

// Asked notes that an account asks for work of the given cost in tokens.
func (s *Shares) Asked(now time.Time, account string, cost float64) {
	s.meter(now, account).asked += cost
}

// Given notes that work was taken.
func (s *Shares) Given(now time.Time, account string, cost float64) {
	s.meter(now, account).given += cost
}

// Own returns the router's own rates, for its peers.
func (s *Shares) Own(now time.Time) map[string]Use {
	uses := make(map[string]Use, len(s.own))
	for account, m := range s.own {
		m.decay(now, s.window)
		if m.asked < 1 {
			delete(s.own, account)
			continue
		}
		uses[account] = Use{
			Asked: m.asked / s.window.Seconds(),
			Given: m.given / s.window.Seconds(),
		}
	}
	return uses
}

// SetPeer replaces what another router says of its use.
func (s *Shares) SetPeer(now time.Time, router string, use map[string]Use) {
	s.peers[router] = peerUse{
		at:  now,
		use: use,
	}
}

// peerUseAge is how long a peer's rates count without newer ones.
const peerUseAge = 2 * time.Second

// Fleet returns the rates of all routers together.
func (s *Shares) Fleet(now time.Time) map[string]Use {
	sum := s.Own(now)
	for router, p := range s.peers {
		if now.Sub(p.at) > peerUseAge {
			delete(s.peers, router)
			continue
		}
		for account, use := range p.use {
			total := sum[account]
			total.Asked += use.Asked
			total.Given += use.Given
			sum[account] = total
		}
	}
	return sum
}

// Level returns the rate up to which accounts are served when they share a throughput max-min fairly. It is infinite when the throughput covers all that is asked.
func Level(throughput float64, asked []float64) float64 {
	slices.Sort(asked)
	left := throughput
	for i, rate := range asked {
		even := left / float64(len(asked)-i)
		if rate > even {
			return even
		}
		left -= rate
	}
	return math.Inf(1)
}

// sumAge is how long the sum over the fleet is kept. Peers report no more often.
const sumAge = 100 * time.Millisecond

// Ratio returns an account's use as a part of its fair rate. Below 1 it is owed more. It is 0 when everybody gets what they ask for.
func (s *Shares) Ratio(now time.Time, account string, throughput float64) float64 {
	s.refresh(now, throughput)
	if math.IsInf(s.level, 1) || s.level <= 0 {
		return 0
	}
	return s.sum[account].Given / s.level
}

// behindPart is the part of the best served account's rate below which an account is behind. Half would be too late: the rates are averages.
const behindPart = 0.65

// Behind reports whether an account gets much less than the best served one while not everybody gets what they ask for.
func (s *Shares) Behind(now time.Time, account string, throughput float64) bool {
	s.refresh(now, throughput)
	return !math.IsInf(s.level, 1) && s.sum[account].Given < behindPart*s.most
}

// refresh works out the fleet's rates and the fair rate anew when they are no longer fresh.
func (s *Shares) refresh(now time.Time, throughput float64) {
	if s.sum != nil && now.Sub(s.summed) < sumAge {
		return
	}
	s.sum = s.Fleet(now)
	s.summed = now
	s.most = 0
	asked := make([]float64, 0, len(s.sum))
	for _, use := range s.sum {
		asked = append(asked, use.Asked)
		s.most = max(s.most, use.Given)
	}
	s.level = Level(throughput, asked)
}
