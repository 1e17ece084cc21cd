package hwpeer_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwmember"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwslot"
)

var fuzzStart = time.Unix(1_700_000_000, 0)

// addSeed adds a message to the seed corpus of a fuzz target.
func addSeed(f *testing.F, message proto.Message) {
	f.Helper()
	data, err := proto.Marshal(message)
	require.NoError(f, err)
	f.Add(data)
}

// FuzzReport sends an arbitrary report to a broker three times, interleaved with valid ones. The counters must stay finite, and grants must not exceed the limits.
func FuzzReport(f *testing.F) {
	addSeed(f, hwpeer.ReportToWire(report(2, 2)))
	addSeed(f, &hwpeerpb.ReportRequest{
		Instance: "router-2",
		Full:     true,
		Sequence: 1,
		Accounts: []*hwpeerpb.AccountRow{{
			Account: "a",
			Waiting: math.MaxUint32,
			Service: math.NaN(),
			Pending: math.Inf(1),
		}},
		Upstreams: []*hwpeerpb.UpstreamRow{{
			Upstream: "u",
			Held:     math.MaxUint32,
		}},
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		var in hwpeerpb.ReportRequest
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		broker := hwslot.NewBroker(fuzzStart, hwslot.BrokerSettings{
			Lease: time.Second,
			Policy: hwslot.MaxMin{
				Gain: 1,
			},
		})
		broker.SetLimits(map[string]int{
			"u": 4,
		})
		for second := range 3 {
			now := fuzzStart.Add(time.Duration(second+1) * 300 * time.Millisecond)
			grants := []hwslot.Grant{
				broker.HandleReport(now, hwpeer.ReportFromWire(&in)),
				broker.HandleReport(now, hwslot.Report{
					Instance: "sound",
					Sequence: uint64(second + 1),
					Full:     true,
					Accounts: []hwslot.AccountRow{{
						Account: "b",
						Waiting: 3,
					}},
				}),
			}
			for _, grant := range grants {
				for _, row := range grant.Upstreams {
					assert.LessOrEqual(t, row.Held, 4)
					assert.GreaterOrEqual(t, row.Held, 0)
				}
			}
		}
		assert.False(t, math.IsNaN(broker.FairnessGap()) || math.IsInf(broker.FairnessGap(), 0))
	})
}

// FuzzGrant applies an arbitrary grant to a lease holder, which must not exceed the limits of its own configuration.
func FuzzGrant(f *testing.F) {
	addSeed(f, hwpeer.GrantToWire(hwslot.Grant{
		Sequence: 1,
		Lease:    time.Second,
		Upstreams: []hwslot.UpstreamRow{{
			Upstream: "u",
			Held:     3,
		}},
	}))
	addSeed(f, &hwpeerpb.ReportReply{
		Sequence: 1,
		Upstreams: []*hwpeerpb.UpstreamRow{{
			Upstream: "u",
			Held:     math.MaxUint32,
		}},
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		var in hwpeerpb.ReportReply
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		holder := hwslot.NewLeaseHolder(hwslot.LeaseHolderSettings{
			Instance: "router-1",
			Lease:    time.Second,
		})
		holder.SetLimits(map[string]int{
			"u": 4,
		})
		holder.NextReport(fuzzStart, nil, nil, false)
		holder.ApplyGrant(hwpeer.GrantFromWire(&in))
		assert.LessOrEqual(t, holder.FreeSlots("u"), 4)
		held, inUse := holder.TotalSlots()
		assert.LessOrEqual(t, held, 4)
		assert.Zero(t, inUse)
	})
}

// FuzzGossip merges arbitrary rows into a membership table. The instance must stay alive in its own table, and the table must be able to merge the rows it sends.
func FuzzGossip(f *testing.F) {
	addSeed(f, &hwpeerpb.GossipRequest{
		Members: hwpeer.MembersToWire([]hwmember.Row{
			{
				Instance: "router-1",
				Boot:     1,
				State:    hwmember.Dead,
			},
			{
				Instance:    "router-2",
				Address:     "127.0.0.1:1",
				Boot:        1 << 40,
				Incarnation: math.MaxUint64,
			},
		}),
	})
	f.Fuzz(func(t *testing.T, data []byte) {
		var in hwpeerpb.GossipRequest
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		table := hwmember.New(hwmember.Settings{
			ProbeInterval:    time.Second,
			SuspicionTimeout: time.Second,
			IndirectProbes:   2,
			MaxPiggybackRows: 8,
			TransmitLimit:    6,
		}, hwmember.Row{
			Instance: "router-1",
			Address:  "127.0.0.1:2",
			Boot:     1,
		}, rand.NewPCG(1, 2))
		for second := range 3 {
			now := fuzzStart.Add(time.Duration(second) * time.Second)
			table.Merge(now, hwpeer.MembersFromWire(in.GetMembers()))
			table.Tick(now)
			table.Merge(now, hwpeer.MembersFromWire(hwpeer.MembersToWire(table.GossipRows())))
			assert.Contains(t, table.Alive(), "router-1")
		}
	})
}
