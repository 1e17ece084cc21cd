package hwslot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwslot"
)

// brokerDriver sends constructed reports of two routers to a broker with one upstream.
type brokerDriver struct {
	now      time.Time
	broker   *hwslot.Broker
	sequence uint64
	held     map[string]int
}

func newBrokerDriver(limit int) *brokerDriver {
	d := &brokerDriver{
		now:  startTime,
		held: map[string]int{},
		broker: hwslot.NewBroker(startTime, hwslot.BrokerSettings{
			Pool:  "p",
			Lease: time.Hour,
			Policy: hwslot.MaxMin{
				Gain: 1,
			},
		}),
	}
	d.broker.SetLimits(map[string]int{
		"u": limit,
	})
	d.broker.SetMembers([]string{"busy", "idle"})
	return d
}

// report sends a full report with the slots that a router uses and the requests of its account that wait, some of them held back.
func (d *brokerDriver) report(router string, inUse, waiting, heldBack int) {
	d.now = d.now.Add(50 * time.Millisecond)
	d.sequence++
	grant := d.broker.HandleReport(d.now, hwslot.Report{
		Instance: router,
		Boot:     1,
		Sequence: d.sequence,
		Full:     true,
		Upstreams: []hwslot.UpstreamRow{{
			Upstream: "u",
			Held:     max(d.held[router], inUse),
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
		d.held[router] = row.Held
	}
}

// TestIdleSlotsAreReclaimedForOtherRouters checks how many slots move to a router with startable requests while another router keeps slots idle and holds its own requests back.
func TestIdleSlotsAreReclaimedForOtherRouters(t *testing.T) {
	cases := []struct {
		name     string
		inUse    int
		waiting  int
		heldBack int
		want     int
	}{
		{
			name:     "half of the idle slots move if all waiting requests are held back",
			inUse:    6,
			waiting:  5,
			heldBack: 5,
			want:     12,
		},
		{
			name:     "no slot moves while a request of the idle router could start",
			inUse:    6,
			waiting:  5,
			heldBack: 4,
			want:     10,
		},
		{
			name:     "no slot moves if all are in use",
			inUse:    10,
			waiting:  5,
			heldBack: 5,
			want:     10,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newBrokerDriver(20)
			for range 4 {
				d.report("idle", min(10, d.held["idle"]), 9, 0)
				d.report("busy", min(10, d.held["busy"]), 9, 0)
			}
			for range 4 {
				d.report("idle", c.inUse, c.waiting, c.heldBack)
				d.report("busy", min(10, d.held["busy"]), 3, 0)
			}
			assert.Equal(t, c.want, d.held["busy"])
		})
	}
}

// TestReclaimNeverExceedsTheLimit sends reports with random demand in random order. The slots that both routers hold must stay within the limit.
func TestReclaimNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 12
		d := newBrokerDriver(limit)
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			router := rapid.SampledFrom([]string{"idle", "busy"}).Draw(t, "router")
			inUse := rapid.IntRange(0, d.held[router]).Draw(t, "in use")
			waiting := rapid.IntRange(0, 9).Draw(t, "waiting")
			d.report(router, inUse, waiting, rapid.IntRange(0, waiting).Draw(t, "held back"))
			assert.LessOrEqual(t, d.held["idle"]+d.held["busy"], limit)
		}
	})
}
