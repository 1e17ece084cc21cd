package hwslot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwslot"
)

// lender drives a broker of one upstream with hand-made reports of two routers.
type lender struct {
	now      time.Time
	broker   *hwslot.Broker
	sequence uint64
	held     map[string]int
}

func newLender(limit int) *lender {
	l := &lender{
		now:  start,
		held: map[string]int{},
		broker: hwslot.NewBroker(start, hwslot.BrokerSettings{
			Pool:  "p",
			Lease: time.Hour,
			Policy: hwslot.MaxMin{
				Gain: 1,
			},
		}),
	}
	l.broker.SetLimits(map[string]int{
		"u": limit,
	})
	l.broker.SetMembers([]string{"busy", "idle"})
	return l
}

// report sends what a router uses and how many requests of its account wait, some of them held back.
func (l *lender) report(router string, inUse, waiting, heldBack int) {
	l.now = l.now.Add(50 * time.Millisecond)
	l.sequence++
	grant := l.broker.HandleReport(l.now, hwslot.Report{
		Instance: router,
		Boot:     1,
		Sequence: l.sequence,
		Full:     true,
		Upstreams: []hwslot.UpstreamRow{{
			Upstream: "u",
			Held:     max(l.held[router], inUse),
			InUse:    inUse,
		}},
		Accounts: []hwslot.AccountRow{{
			Account:  "account-of-" + router,
			Waiting:  waiting,
			Running:  inUse,
			HeldBack: heldBack,
		}},
	})
	for _, row := range grant.Upstreams {
		l.held[router] = row.Held
	}
}

// TestIdleSlotsOfOneRouterStartWorkOfAnother lets one router keep slots for short work that does not come, while short work waits at the other.
func TestIdleSlotsOfOneRouterStartWorkOfAnother(t *testing.T) {
	cases := []struct {
		name     string
		inUse    int
		waiting  int
		heldBack int
		want     int
	}{
		{
			name:     "half of what it keeps idle",
			inUse:    6,
			waiting:  5,
			heldBack: 5,
			want:     12,
		},
		{
			name:     "nothing while its own work could start",
			inUse:    6,
			waiting:  5,
			heldBack: 4,
			want:     10,
		},
		{
			name:     "nothing when it keeps nothing idle",
			inUse:    10,
			waiting:  5,
			heldBack: 5,
			want:     10,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := newLender(20)
			for range 4 {
				l.report("idle", min(10, l.held["idle"]), 9, 0)
				l.report("busy", min(10, l.held["busy"]), 9, 0)
			}
			for range 4 {
				l.report("idle", c.inUse, c.waiting, c.heldBack)
				l.report("busy", min(10, l.held["busy"]), 3, 0)
			}
			assert.Equal(t, c.want, l.held["busy"])
		})
	}
}

// TestLendingExceedsNoLimit reports any demand in any order: what is held, or in use beyond that, stays within the limit.
func TestLendingExceedsNoLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 12
		l := newLender(limit)
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			router := rapid.SampledFrom([]string{"idle", "busy"}).Draw(t, "router")
			inUse := rapid.IntRange(0, l.held[router]).Draw(t, "in use")
			waiting := rapid.IntRange(0, 9).Draw(t, "waiting")
			l.report(router, inUse, waiting, rapid.IntRange(0, waiting).Draw(t, "held back"))
			assert.LessOrEqual(t, l.held["idle"]+l.held["busy"], limit)
		}
	})
}
