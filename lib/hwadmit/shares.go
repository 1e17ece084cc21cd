// Package hwadmit is the admission control: it decides whether a request is admitted or refused, from its estimated queue wait and from its account's usage of the fleet's throughput, and tells refused callers when to retry.
package hwadmit

import (
	"math"
	"slices"
	"time"
)

// Usage is the demand of an account and the part of it that was admitted, in tokens per second.
type Usage struct {
	Demand   float64
	Admitted float64
}

// usageMeter sums the cost of requests in tokens, with exponential decay.
type usageMeter struct {
	demand    float64
	admitted  float64
	updatedAt time.Time
}

// decay reduces the sums to their values at the given time. The window is the time constant.
func (m *usageMeter) decay(now time.Time, window time.Duration) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / window.Seconds())
		m.demand *= keep
		m.admitted *= keep
		m.updatedAt = now
	}
}

// FairShares meters the accounts' usage over all routers and computes the max-min fair rate, up to which each account is served.
type FairShares struct {
	window time.Duration
	// startedAt is since when usage is metered.
	startedAt   time.Time
	localMeters map[string]*usageMeter
	peerReports map[string]peerReport
	// fleetUsage and fairRate are cached as of computedAt.
	fleetUsage map[string]Usage
	fairRate   float64
	// highestAdmitted is the admitted rate of the account with the highest one.
	highestAdmitted float64
	computedAt      time.Time
}

// peerReport is the newest usage report of another router.
type peerReport struct {
	receivedAt time.Time
	usage      map[string]Usage
}

// NewFairShares returns FairShares without usage. Window is the time over which rates are averaged.
func NewFairShares(now time.Time, window time.Duration) *FairShares {
	return &FairShares{
		window:      window,
		startedAt:   now,
		localMeters: map[string]*usageMeter{},
		peerReports: map[string]peerReport{},
	}
}

// localMeter returns the meter of an account, decayed to the given time, and creates it if there is none.
func (s *FairShares) localMeter(now time.Time, account string) *usageMeter {
	m := s.localMeters[account]
	if m == nil {
		m = &usageMeter{
			updatedAt: now,
		}
		s.localMeters[account] = m
	}
	m.decay(now, s.window)
	return m
}

// RecordDemand records that an account requests work of the given cost in tokens.
func (s *FairShares) RecordDemand(now time.Time, account string, cost float64) {
	s.localMeter(now, account).demand += cost
}

// RecordAdmitted records that work of the given cost in tokens was admitted.
func (s *FairShares) RecordAdmitted(now time.Time, account string, cost float64) {
	s.localMeter(now, account).admitted += cost
}

// minMeteredTime is the shortest time since the start over which rates are averaged: in less, a single request would count as a high rate.
const minMeteredTime = 500 * time.Millisecond

// meteredSeconds returns by what the meters' sums are divided for rates: the window, without the part that lies before the start. With the whole window, all accounts would seem to use less than their share for some seconds after the start.
func (s *FairShares) meteredSeconds(now time.Time) float64 {
	window := s.window.Seconds()
	elapsed := max(minMeteredTime, now.Sub(s.startedAt)).Seconds()
	return window * (1 - math.Exp(-elapsed/window))
}

// LocalUsage returns the usage at this router by account, for its peers.
func (s *FairShares) LocalUsage(now time.Time) map[string]Usage {
	seconds := s.meteredSeconds(now)
	usage := make(map[string]Usage, len(s.localMeters))
	for account, m := range s.localMeters {
		m.decay(now, s.window)
		if m.demand < 1 {
			delete(s.localMeters, account)
			continue
		}
		usage[account] = Usage{
			Demand:   m.demand / seconds,
			Admitted: m.admitted / seconds,
		}
	}
	return usage
}

// SetPeerUsage replaces the usage that another router reports.
func (s *FairShares) SetPeerUsage(now time.Time, router string, usage map[string]Usage) {
	s.peerReports[router] = peerReport{
		receivedAt: now,
		usage:      usage,
	}
}

// peerReportMaxAge is how long a peer's report counts without a newer one.
const peerReportMaxAge = 2 * time.Second

// FleetUsage returns the sum of the usage at all routers by account.
func (s *FairShares) FleetUsage(now time.Time) map[string]Usage {
	sum := s.LocalUsage(now)
	for router, report := range s.peerReports {
		if now.Sub(report.receivedAt) > peerReportMaxAge {
			delete(s.peerReports, router)
			continue
		}
		for account, usage := range report.usage {
			total := sum[account]
			total.Demand += usage.Demand
			total.Admitted += usage.Admitted
			sum[account] = total
		}
	}
	return sum
}

// ReportingRouters returns the number of routers with a current usage report, including this one.
func (s *FairShares) ReportingRouters(now time.Time) int {
	count := 1
	for _, report := range s.peerReports {
		if now.Sub(report.receivedAt) <= peerReportMaxAge {
			count++
		}
	}
	return count
}

// MaxMinFairRate returns the rate up to which each account is served when they share a throughput max-min fairly. It is infinite when the throughput covers all demands. The demands are sorted in place.
func MaxMinFairRate(throughput float64, demands []float64) float64 {
	slices.Sort(demands)
	remaining := throughput
	for i, demand := range demands {
		equal := remaining / float64(len(demands)-i)
		if demand > equal {
			return equal
		}
		remaining -= demand
	}
	return math.Inf(1)
}

// fleetUsageMaxAge is how long the computed fleet usage is cached. Peers report no more often.
const fleetUsageMaxAge = 100 * time.Millisecond

// ShareUsage returns an account's admitted rate as a ratio of its fair rate: below 1 the account is entitled to more. It is 0 when the throughput covers all demand.
func (s *FairShares) ShareUsage(now time.Time, account string, throughput float64) float64 {
	s.refresh(now, throughput)
	if math.IsInf(s.fairRate, 1) || s.fairRate <= 0 {
		return 0
	}
	return s.fleetUsage[account].Admitted / s.fairRate
}

// underservedRatio is the ratio of the highest admitted rate below which an account is underserved. A ratio of a half would react too late, because the rates are averages.
const underservedRatio = 0.65

// Underserved reports whether the throughput doesn't cover all demand and an account gets much less than the one with the highest admitted rate.
func (s *FairShares) Underserved(now time.Time, account string, throughput float64) bool {
	s.refresh(now, throughput)
	return !math.IsInf(s.fairRate, 1) && s.fleetUsage[account].Admitted < underservedRatio*s.highestAdmitted
}

// refresh recomputes the fleet's usage and the fair rate when the cached values are outdated.
func (s *FairShares) refresh(now time.Time, throughput float64) {
	if s.fleetUsage != nil && now.Sub(s.computedAt) < fleetUsageMaxAge {
		return
	}
	s.fleetUsage = s.FleetUsage(now)
	s.computedAt = now
	s.highestAdmitted = 0
	demands := make([]float64, 0, len(s.fleetUsage))
	for _, usage := range s.fleetUsage {
		demands = append(demands, usage.Demand)
		s.highestAdmitted = max(s.highestAdmitted, usage.Admitted)
	}
	s.fairRate = MaxMinFairRate(throughput, demands)
}
