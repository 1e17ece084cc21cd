// Package hwquota divides the request rate of a limited upstream among the routers of a fleet without a coordinator.
//
// Rendezvous hashing ranks the routers for each upstream. The first few of them own a share of its rate each, and the others send nothing to it. Routers may disagree on who is alive, so more of them than intended may believe that they own a share. The package limits how many can.
package hwquota

import (
	"math"
	"time"
)

// Limit is the request rate of an upstream, summed over all routers.
type Limit struct {
	// PerSecond is the rate that is divided, in requests per second. 0 means no limit.
	PerSecond float64
	// Bound is the largest number of requests that the upstream may receive within any second.
	Bound int
}

// Share is the result of the division of a limit.
type Share struct {
	// Owners is the number of shares, K.
	Owners int
	// MaxBelievers is how many routers may believe that they own a share while the bound is kept.
	MaxBelievers int
	// Interval is the smallest time between two requests of one owner.
	Interval time.Duration
}

// sendJitter is added to the interval of an owner. The time from the check before a write to the arrival varies by some milliseconds, and the interval is hardly longer than a second, in which the owner may be counted only once.
const sendJitter = 30 * time.Millisecond

const (
	// maxOwners limits the search for K; no fleet is larger.
	maxOwners = 10_000
	// maxInterval keeps the interval of a tiny rate within a time.Duration.
	maxInterval = 24 * time.Hour
)

// Divide divides the limit among the routers that are known.
//
// K is the smaller of the number of routers and the rate rounded up, unless the bound needs a larger one. Each owner sends at most m(K) = 1 + floor(rate/K) requests a second, so floor(bound/m(K)) believing owners keep the bound. That has to be 2K, because a partition may hide as many owners again as are known, however few those are. If it is less, the next larger K is taken for which it is 2K, and if there is none, K = floor(rate)+1, the smallest for which the most believing owners are tolerated: as many as the bound, with one request a second each.
func (l Limit) Divide(routers int) Share {
	owners := max(1, int(min(float64(routers), math.Ceil(l.PerSecond), maxOwners)))
	last := int(min(l.PerSecond, maxOwners)) + 1
	for owners < last && l.maxBelievers(owners) < 2*owners {
		owners++
	}
	return Share{
		Owners:       owners,
		MaxBelievers: l.maxBelievers(owners),
		Interval:     time.Duration(min(float64(owners)/l.PerSecond, maxInterval.Seconds())*float64(time.Second)) + sendJitter,
	}
}

// maxBelievers returns how many routers may send at the pace of one of a number of owners.
func (l Limit) maxBelievers(owners int) int {
	return l.Bound / (1 + int(l.PerSecond/float64(owners)))
}
