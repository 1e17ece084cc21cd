package hwslot

import (
	"math"
	"slices"
)

// Demand is an account's need in slots over the fleet.
type Demand struct {
	Account string
	Share   float64
	Slots   float64
	// Lag is how far the account is behind its fair share, in slot-seconds.
	Lag float64
}

// Policy turns the demand of all accounts into an aim in slots for each. It is the part that the measured baselines replace.
type Policy interface {
	// Name is the policy's name in kebab case.
	Name() string
	// Allocate returns one aim per demand, which add up to at most the capacity.
	Allocate(capacity float64, demands []Demand) []float64
}

// MaxMin shares slots by weighted max-min fairness and corrects each account's part by its lag.
// Gain, per second, says how fast a lag is made good: a lag of one slot-second moves Gain slots.
//
// An account that is ahead keeps at least four fifths of its fair part while the others catch up. Without that an account whose long work took more than its share would be left without any slot for as long as that work runs, its short work included.
type MaxMin struct {
	Gain float64
}

// leastOfPart is the part of its fair part that an account keeps however far it is ahead.
const leastOfPart = 0.8

// Name returns the policy's name.
func (p MaxMin) Name() string { return "max-min" }

// Allocate returns the corrected max-min parts.
func (p MaxMin) Allocate(capacity float64, demands []Demand) []float64 {
	aims := fill(capacity, demands)
	least := make([]float64, len(aims))
	total := 0.0
	wanted := 0.0
	for i, d := range demands {
		least[i] = leastOfPart * aims[i]
		aims[i] = clamp(aims[i]+p.Gain*d.Lag, least[i], d.Slots)
		total += aims[i]
		wanted += d.Slots
	}
	balance(aims, least, demands, math.Min(capacity, wanted)-total)
	return aims
}

// fill computes weighted max-min parts: everyone's level rises in proportion to its share until its demand is met or nothing is left.
func fill(capacity float64, demands []Demand) []float64 {
	order := make([]int, len(demands))
	shares := 0.0
	for i, d := range demands {
		order[i] = i
		shares += d.Share
	}
	slices.SortFunc(order, func(a, b int) int {
		return compareFloat(demands[a].Slots/demands[a].Share, demands[b].Slots/demands[b].Share)
	})
	parts := make([]float64, len(demands))
	for _, i := range order {
		parts[i] = math.Min(demands[i].Slots, capacity*demands[i].Share/shares)
		capacity -= parts[i]
		shares -= demands[i].Share
	}
	return parts
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

// balance spreads a difference over the aims by share, within what each account keeps at least and its demand.
// Each round either uses the difference up or meets a bound, so the rounds are few.
func balance(aims, least []float64, demands []Demand, difference float64) {
	const tolerance = 1e-9
	for round := 0; round < len(aims)+1 && math.Abs(difference) > tolerance; round++ {
		shares := 0.0
		for i, d := range demands {
			if hasRoom(aims[i], least[i], d.Slots, difference) {
				shares += d.Share
			}
		}
		if shares == 0 {
			return
		}
		used := 0.0
		for i, d := range demands {
			if !hasRoom(aims[i], least[i], d.Slots, difference) {
				continue
			}
			next := clamp(aims[i]+difference*d.Share/shares, least[i], d.Slots)
			used += next - aims[i]
			aims[i] = next
		}
		difference -= used
	}
}

func hasRoom(aim, least, demand, difference float64) bool {
	if difference > 0 {
		return aim < demand
	}
	return aim > least
}

func clamp(value, low, high float64) float64 { return math.Max(low, math.Min(high, value)) }
