package hwslot_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwslot"
)

var start = time.Unix(1_700_000_000, 0)

const lease = 2 * time.Second

func TestFloorsAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 200).Draw(t, "limit")
		var members []string
		for i := range rapid.IntRange(1, 20).Draw(t, "members") {
			members = append(members, fmt.Sprint("m", i))
		}
		sum := 0
		for _, m := range members {
			sum += hwslot.EvenSplit("u", limit, m, members)
		}
		assert.Equal(t, limit, sum)
	})
}

func TestAims(t *testing.T) {
	cases := []struct {
		name     string
		capacity float64
		demands  []hwslot.Demand
		want     []float64
	}{
		{
			name:     "by share",
			capacity: 12,
			demands: []hwslot.Demand{
				{
					Share: 2,
					Slots: 99,
				},
				{
					Share: 1,
					Slots: 99,
				},
			},
			want: []float64{8, 4},
		},
		{
			name:     "what one does not need goes to the other",
			capacity: 12,
			demands: []hwslot.Demand{
				{
					Share: 2,
					Slots: 3,
				},
				{
					Share: 1,
					Slots: 99,
				},
			},
			want: []float64{3, 9},
		},
		{
			name:     "more capacity than demand",
			capacity: 12,
			demands: []hwslot.Demand{
				{
					Share: 1,
					Slots: 3,
				},
				{
					Share: 1,
					Slots: 4,
				},
			},
			want: []float64{3, 4},
		},
		{
			name:     "a lag is made good",
			capacity: 12,
			demands: []hwslot.Demand{
				{
					Share: 1,
					Slots: 99,
					Lag:   0.5,
				},
				{
					Share: 1,
					Slots: 99,
					Lag:   -0.5,
				},
			},
			want: []float64{7, 5},
		},
		{
			name:     "an account far ahead keeps four fifths of its part",
			capacity: 12,
			demands: []hwslot.Demand{
				{
					Share: 1,
					Slots: 99,
					Lag:   100,
				},
				{
					Share: 1,
					Slots: 99,
					Lag:   -100,
				},
			},
			want: []float64{7.2, 4.8},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := hwslot.MaxMin{
				Gain: 2,
			}.Allocate(c.capacity, c.demands)
			for i := range got {
				assert.InDelta(t, c.want[i], got[i], 1e-6)
			}
		})
	}
}

func TestAimsNeverExceedCapacityOrDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := float64(rapid.IntRange(0, 300).Draw(t, "capacity"))
		var demands []hwslot.Demand
		wanted := 0.0
		for range rapid.IntRange(1, 12).Draw(t, "accounts") {
			d := hwslot.Demand{
				Share: float64(rapid.IntRange(1, 9).Draw(t, "share")),
				Slots: float64(rapid.IntRange(1, 200).Draw(t, "slots")),
				Lag:   float64(rapid.IntRange(-50, 50).Draw(t, "lag")),
			}
			wanted += d.Slots
			demands = append(demands, d)
		}
		sum := 0.0
		for i, aim := range (hwslot.MaxMin{
			Gain: 4,
		}).Allocate(capacity, demands) {
			assert.GreaterOrEqual(t, aim, -1e-6)
			assert.LessOrEqual(t, aim, demands[i].Slots+1e-6)
			sum += aim
		}
		assert.InDelta(t, math.Min(capacity, wanted), sum, 1e-3, "nothing idles while work waits")
	})
}

// rig is a broker with some routers' holders, which a test drives message by message.
type rig struct {
	now     time.Time
	broker  *hwslot.Broker
	holders []*hwslot.LeaseHolder
	service []float64
	running []map[string]int
	waiting []int
	names   []string
	limits  map[string]int
}

func newRig(routers int, limits map[string]int) *rig {
	r := &rig{
		now:    start,
		limits: limits,
	}
	for i := range routers {
		r.names = append(r.names, fmt.Sprint("router-", i))
	}
	r.newBroker()
	for i := range routers {
		h := hwslot.NewLeaseHolder(hwslot.LeaseHolderSettings{
			Instance: r.names[i],
			Boot:     1,
			Pool:     "p",
			Lease:    lease,
		})
		h.SetMembers(r.names)
		h.SetLimits(limits)
		r.holders = append(r.holders, h)
		r.running = append(r.running, map[string]int{})
	}
	r.waiting = make([]int, routers)
	r.service = make([]float64, routers)
	return r
}

func (r *rig) newBroker() {
	r.broker = hwslot.NewBroker(r.now, hwslot.BrokerSettings{
		Pool:           "p",
		Lease:          lease,
		LearningPeriod: lease,
		MaxCatchUp:     1e6,
		Policy: hwslot.MaxMin{
			Gain: 4,
		},
	})
	r.broker.SetLimits(r.limits)
	r.broker.SetMembers(r.names)
}

func (r *rig) row(i int) []hwslot.AccountRow {
	_, inUse := r.holders[i].TotalSlots()
	return []hwslot.AccountRow{{
		Account: fmt.Sprint("account-", i),
		Waiting: r.waiting[i],
		Running: inUse,
		Service: r.service[i],
	}}
}

func (r *rig) report(i int) {
	report := r.holders[i].NextReport(r.now, r.row(i), nil, false)
	r.holders[i].ApplyGrant(r.broker.HandleReport(r.now, report))
}

func (r *rig) start(i int) {
	for _, u := range r.holders[i].AvailableUpstreams() {
		for r.holders[i].FreeSlots(u) > 0 && r.waiting[i] > 0 {
			r.holders[i].Acquire(u)
			r.waiting[i]--
		}
	}
}

func (r *rig) inUse(upstream string) int {
	total := 0
	for _, h := range r.holders {
		total += h.InUse(upstream)
	}
	return total
}

func TestSlotsFollowDemand(t *testing.T) {
	r := newRig(4, map[string]int{"u1": 8, "u2": 8})
	r.waiting = []int{40, 0, 0, 0}
	for range 80 {
		r.now = r.now.Add(50 * time.Millisecond)
		for i := range r.holders {
			r.report(i)
			r.start(i)
		}
	}
	assert.Equal(t, 8, r.inUse("u1"))
	assert.Equal(t, 8, r.inUse("u2"), "all capacity serves the one router with work")
}

func TestALostBrokerCostsNoCapacity(t *testing.T) {
	r := newRig(3, map[string]int{"u1": 9})
	r.waiting = []int{50, 50, 50}
	for range 60 {
		r.now = r.now.Add(50 * time.Millisecond)
		for i := range r.holders {
			r.report(i)
			r.start(i)
		}
	}
	require.Equal(t, 9, r.inUse("u1"))
	r.newBroker()
	for _, h := range r.holders {
		h.ReportFailed()
	}
	for range 60 {
		r.now = r.now.Add(50 * time.Millisecond)
		for i := range r.holders {
			r.report(i)
			r.start(i)
			assert.False(t, r.holders[i].ExpireLease(r.now))
		}
		assert.Equal(t, 9, r.inUse("u1"))
	}
}

func TestASilentMemberKeepsWhatItHeldReserved(t *testing.T) {
	r := newRig(3, map[string]int{"u1": 12})
	r.waiting = []int{50, 50, 1}
	for range 60 {
		r.now = r.now.Add(50 * time.Millisecond)
		for i := range r.holders {
			r.report(i)
			r.start(i)
		}
	}
	held := r.holders[2].InUse("u1")
	require.Equal(t, 1, held)
	for range 100 {
		r.now = r.now.Add(50 * time.Millisecond)
		for i := range 2 {
			r.report(i)
			r.start(i)
		}
		r.holders[2].ExpireLease(r.now)
		assert.LessOrEqual(t, r.inUse("u1"), 12)
	}
	assert.Equal(t, 12, r.inUse("u1"), "only what the silent member may use is kept from the others")
}

// TestASilentMembersDemandIsNotServed is the trace of a partition in which 66 of 144 slots were in use: the demand that a cut-off router had reported last kept drawing slots that it could not be granted.
func TestASilentMembersDemandIsNotServed(t *testing.T) {
	r := newRig(3, map[string]int{"u1": 24})
	r.waiting = []int{50, 50, 500}
	step := func(routers int) {
		for range 10 {
			r.now = r.now.Add(50 * time.Millisecond)
			for i := range routers {
				r.report(i)
				r.start(i)
			}
		}
	}
	for range 10 {
		step(3)
	}
	r.now = r.now.Add(lease)
	// The third router goes silent, its requests end, and the list still shows it.
	for r.holders[2].InUse("u1") > 0 {
		r.holders[2].Release("u1")
	}
	step(2)
	sum := 0
	for range 100 {
		r.holders[0].Release("u1")
		r.holders[1].Release("u1")
		step(2)
		r.waiting[0]++
		r.waiting[1]++
		sum += r.inUse("u1")
	}
	assert.Equal(t, 100*(24-8), sum, "the others use all but the floor of the silent one")
}

// TestABrokerThatHearsOnlyItselfMakesRoomForTheOthers is the trace of a partition in which 217 of 144 slots were in use: the cut-off router became its own broker and took nothing back from itself, because nobody it heard lacked a slot.
func TestABrokerThatHearsOnlyItselfMakesRoomForTheOthers(t *testing.T) {
	r := newRig(3, map[string]int{"u1": 24})
	r.waiting = []int{500, 0, 0}
	step := func(routers int) {
		r.now = r.now.Add(50 * time.Millisecond)
		for i := range routers {
			r.report(i)
			r.start(i)
		}
	}
	for range 100 {
		step(3)
	}
	require.Equal(t, 24, r.inUse("u1"))
	r.newBroker()
	r.holders[0].ReportFailed()
	for range 100 {
		if r.holders[0].InUse("u1") > 0 {
			r.holders[0].Release("u1")
		}
		step(1)
	}
	assert.LessOrEqual(t, r.inUse("u1"), 24-2*hwslot.SlotsWithoutLease(0, 8), "what silent members may use is left to them")
}

// TestGrantsNeverExceedTheLimit drives one broker and its routers through lost reports, lost answers, late answers and ends of requests in any order.
func TestGrantsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]int{"u1": rapid.IntRange(1, 12).Draw(t, "u1"), "u2": rapid.IntRange(1, 12).Draw(t, "u2")}
		r := newRig(rapid.IntRange(2, 4).Draw(t, "routers"), limits)
		allowance := 0
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(r.holders)-1).Draw(t, "router")
			allowance += r.expire()
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				r.report(i)
			case 2:
				// The report is lost.
				r.holders[i].NextReport(r.now, r.row(i), nil, false)
				r.holders[i].ReportFailed()
			case 3:
				// The answer is lost, and comes after the router gave up on it.
				grant := r.broker.HandleReport(r.now, r.holders[i].NextReport(r.now, r.row(i), nil, false))
				r.holders[i].ReportFailed()
				assert.False(t, r.holders[i].ApplyGrant(grant))
			case 4:
				r.waiting[i] += rapid.IntRange(0, 20).Draw(t, "arrivals")
			case 5:
				r.start(i)
			case 6:
				for _, u := range []string{"u1", "u2"} {
					if r.holders[i].InUse(u) > 0 {
						r.holders[i].Release(u)
						r.service[i] += 10
					}
				}
			}
			allowed := map[string]int{}
			for _, h := range r.holders {
				for u := range limits {
					allowed[u] += h.InUse(u) + h.FreeSlots(u)
				}
			}
			for u, limit := range limits {
				if allowed[u] > limit+allowance {
					t.Fatalf("%s has %d slots in use or free, limit %d", u, allowed[u], limit)
				}
			}
		}
	})
}

// expire ends the leases that have run out and returns by how much they may take the fleet above the limit, as design/slots.md states: requests beyond the floor are not cut, and a router without a lease may use the least part of its floor although it held less before.
func (r *rig) expire() int {
	allowance := 0
	for i, h := range r.holders {
		if !h.ExpireLease(r.now) {
			continue
		}
		for u, limit := range r.limits {
			floor := hwslot.EvenSplit(u, limit, r.names[i], r.names)
			allowance += max(0, h.InUse(u)-floor) + hwslot.SlotsWithoutLease(0, floor)
		}
	}
	return allowance
}

func ExampleMaxMin() {
	aims := hwslot.MaxMin{
		Gain: 4,
	}.Allocate(30, []hwslot.Demand{
		{
			Account: "franchise",
			Share:   4,
			Slots:   100,
		},
		{
			Account: "brewer",
			Share:   1,
			Slots:   100,
		},
		{
			Account: "steward",
			Share:   1,
			Slots:   2,
		},
	})
	fmt.Printf("%.1f\n", aims)
	// Output: [22.4 5.6 2.0]
}
