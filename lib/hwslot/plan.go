package hwslot

import (
	"math"
	"slices"
)

// Demand is how many slots an account could use over the fleet.
type Demand struct {
	Account string
	Share   float64
	Slots   float64
	// Lag is how far the account is behind its fair share, in slot-seconds; negative if it is ahead.
	Lag float64
}

// Policy allocates slots to accounts by their demands. It is an interface so that baselines can replace it in measurements.
type Policy interface {
	// Name is the policy's name in kebab case.
	Name() string
	// Allocate returns the slots for each demand. Their sum is at most the capacity.
	Allocate(capacity float64, demands []Demand) []float64
}

// MaxMin allocates slots by weighted max-min fairness and corrects each allocation in proportion to the account's lag.
//
// An account that is ahead keeps at least four fifths of its fair allocation while the others catch up. Otherwise an account whose long requests used more than its share would get no slot, even for its short requests, for as long as the long ones run.
type MaxMin struct {
	// Gain, per second, sets how fast a lag is corrected: a lag of one slot-second moves Gain slots.
	Gain float64
}

// minFairFraction is the part of its fair allocation that an account keeps however far it is ahead.
const minFairFraction = 0.8

// Name returns the policy's name.
func (p MaxMin) Name() string { return "max-min" }

// Allocate returns the max-min allocations corrected by lag.
func (p MaxMin) Allocate(capacity float64, demands []Demand) []float64 {
	slots := waterFill(capacity, demands)
	minimum := make([]float64, len(slots))
	allocated := 0.0
	demanded := 0.0
	for i, d := range demands {
		minimum[i] = minFairFraction * slots[i]
		slots[i] = clamp(slots[i]+p.Gain*d.Lag, minimum[i], d.Slots)
		allocated += slots[i]
		demanded += d.Slots
	}
	redistribute(slots, minimum, demands, math.Min(capacity, demanded)-allocated)
	return slots
}

// waterFill computes the weighted max-min allocation: every account's slots grow in proportion to its share until its demand is met or the capacity is used up.
func waterFill(capacity float64, demands []Demand) []float64 {
	order := make([]int, len(demands))
	shares := 0.0
	for i, d := range demands {
		order[i] = i
		shares += d.Share
	}
	slices.SortFunc(order, func(a, b int) int {
		return compareFloat(demands[a].Slots/demands[a].Share, demands[b].Slots/demands[b].Share)
	})
	slots := make([]float64, len(demands))
	for _, i := range order {
		slots[i] = math.Min(demands[i].Slots, capacity*demands[i].Share/shares)
		capacity -= slots[i]
		shares -= demands[i].Share
	}
	return slots
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// redistribute adds a positive or negative difference to the allocations in proportion to the shares. Each allocation stays between its minimum and its demand.
// Each round either uses up the difference or brings an allocation to one of its bounds, so the number of rounds is small.
func redistribute(slots, minimum []float64, demands []Demand, difference float64) {
	const tolerance = 1e-9
	for round := 0; round < len(slots)+1 && math.Abs(difference) > tolerance; round++ {
		shares := 0.0
		for i, d := range demands {
			if adjustable(slots[i], minimum[i], d.Slots, difference) {
				shares += d.Share
			}
		}
		if shares == 0 {
			return
		}
		applied := 0.0
		for i, d := range demands {
			if !adjustable(slots[i], minimum[i], d.Slots, difference) {
				continue
			}
			next := clamp(slots[i]+difference*d.Share/shares, minimum[i], d.Slots)
			applied += next - slots[i]
			slots[i] = next
		}
		difference -= applied
	}
}

// adjustable reports whether an allocation can still move in the direction of the difference.
func adjustable(slots, minimum, demand, difference float64) bool {
	if difference > 0 {
		return slots < demand
	}
	return slots > minimum
}

func clamp(value, low, high float64) float64 { return math.Max(low, math.Min(high, value)) }
