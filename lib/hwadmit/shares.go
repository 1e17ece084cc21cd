// Package hwadmit decides whether a request is taken or refused, from the wait that it would find and from its account's part of the fleet's throughput, and tells refused callers when to come back.
package hwadmit

import (
	"math"
	"slices"
	"time"
)

// Usage is what an account asked for and was given, in tokens a second.
type Usage struct {
	Demand   float64
	Admitted float64
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

// FairShares meters the accounts' use over the fleet and works out the level up to which each is served: the max-min share of the throughput.
type FairShares struct {
	window time.Duration
	own    map[string]*meter
	peers  map[string]peerUse
	// sum and level are the fleet's rates and the fair rate as of summed; they are kept for a moment.
	sum   map[string]Usage
	level float64
	// most is the highest rate that an account was given.
	most   float64
	summed time.Time
}

type peerUse struct {
	at  time.Time
	use map[string]Usage
}

// NewFairShares returns shares without use. Window is the time over which rates are averaged.
func NewFairShares(window time.Duration) *FairShares {
	return &FairShares{
		window: window,
		own:    map[string]*meter{},
		peers:  map[string]peerUse{},
	}
}

func (s *FairShares) meter(now time.Time, account string) *meter {
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

// RecordDemand notes that an account asks for work of the given cost in tokens.
func (s *FairShares) RecordDemand(now time.Time, account string, cost float64) {
	s.meter(now, account).asked += cost
}

// RecordAdmitted notes that work was taken.
func (s *FairShares) RecordAdmitted(now time.Time, account string, cost float64) {
	s.meter(now, account).given += cost
}

// LocalUsage returns the router's own rates, for its peers.
func (s *FairShares) LocalUsage(now time.Time) map[string]Usage {
	uses := make(map[string]Usage, len(s.own))
	for account, m := range s.own {
		m.decay(now, s.window)
		if m.asked < 1 {
			delete(s.own, account)
			continue
		}
		uses[account] = Usage{
			Demand:   m.asked / s.window.Seconds(),
			Admitted: m.given / s.window.Seconds(),
		}
	}
	return uses
}

// SetPeerUsage replaces what another router says of its use.
func (s *FairShares) SetPeerUsage(now time.Time, router string, use map[string]Usage) {
	s.peers[router] = peerUse{
		at:  now,
		use: use,
	}
}

// peerUseAge is how long a peer's rates count without newer ones.
const peerUseAge = 2 * time.Second

// FleetUsage returns the rates of all routers together.
func (s *FairShares) FleetUsage(now time.Time) map[string]Usage {
	sum := s.LocalUsage(now)
	for router, p := range s.peers {
		if now.Sub(p.at) > peerUseAge {
			delete(s.peers, router)
			continue
		}
		for account, use := range p.use {
			total := sum[account]
			total.Demand += use.Demand
			total.Admitted += use.Admitted
			sum[account] = total
		}
	}
	return sum
}

// MaxMinFairRate returns the rate up to which accounts are served when they share a throughput max-min fairly. It is infinite when the throughput covers all that is asked.
func MaxMinFairRate(throughput float64, asked []float64) float64 {
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

// ShareUsage returns an account's use as a part of its fair rate. Below 1 it is owed more. It is 0 when everybody gets what they ask for.
func (s *FairShares) ShareUsage(now time.Time, account string, throughput float64) float64 {
	s.refresh(now, throughput)
	if math.IsInf(s.level, 1) || s.level <= 0 {
		return 0
	}
	return s.sum[account].Admitted / s.level
}

// behindPart is the part of the best served account's rate below which an account is behind. Half would be too late: the rates are averages.
const behindPart = 0.65

// Underserved reports whether an account gets much less than the best served one while not everybody gets what they ask for.
func (s *FairShares) Underserved(now time.Time, account string, throughput float64) bool {
	s.refresh(now, throughput)
	return !math.IsInf(s.level, 1) && s.sum[account].Admitted < behindPart*s.most
}

// refresh works out the fleet's rates and the fair rate anew when they are no longer fresh.
func (s *FairShares) refresh(now time.Time, throughput float64) {
	if s.sum != nil && now.Sub(s.summed) < sumAge {
		return
	}
	s.sum = s.FleetUsage(now)
	s.summed = now
	s.most = 0
	asked := make([]float64, 0, len(s.sum))
	for _, use := range s.sum {
		asked = append(asked, use.Demand)
		s.most = max(s.most, use.Admitted)
	}
	s.level = MaxMinFairRate(throughput, asked)
}
