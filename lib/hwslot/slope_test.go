package hwslot_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwslot"
)

// filled returns a broker that has heard every member, each with its part of the accounts.
func filled(members, accounts, upstreams int) (*hwslot.Broker, []hwslot.Report) {
	broker := hwslot.NewBroker(start.Add(-time.Hour), hwslot.BrokerSettings{
		Pool:            "p",
		Lease:           time.Hour,
		MinPlanInterval: 25 * time.Millisecond,
		MaxCatchUp:      1e6,
		Policy: hwslot.MaxMin{
			Gain: 4,
		},
	})
	limits := map[string]int{}
	for u := range upstreams {
		limits[fmt.Sprintf("10.0.%d.%d:8000", u>>8, u&255)] = 117
	}
	var names []string
	for m := range members {
		names = append(names, fmt.Sprintf("router-%d", m))
	}
	broker.SetLimits(limits)
	broker.SetMembers(names)
	var reports []hwslot.Report
	for m, name := range names {
		report := hwslot.Report{
			Instance: name,
			Boot:     1,
			Pool:     "p",
			Sequence: 1,
			Full:     true,
		}
		// A tenth of the accounts is backlogged; each router sees a few of all.
		for a := range accounts {
			if (a+m)%10 < 2 {
				report.Accounts = append(report.Accounts, hwslot.AccountRow{
					Account: fmt.Sprintf("account-%d", a),
					Waiting: boolInt(a%10 == 0) * 20,
					Running: 5,
					Service: float64(100 * m),
				})
			}
		}
		grant := broker.HandleReport(start, report)
		report.Full = false
		report.Accounts = report.Accounts[:min(4, len(report.Accounts))]
		for _, row := range grant.Upstreams[:min(2, len(grant.Upstreams))] {
			row.InUse = row.Held
			report.Upstreams = append(report.Upstreams, row)
		}
		reports = append(reports, report)
	}
	return broker, reports
}

func boolInt(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// sequence numbers the reports of all benchmarks, because the same broker serves several rounds of one.
var sequence uint64 = 1

func run(b *testing.B, broker *hwslot.Broker, reports []hwslot.Report, interval time.Duration) {
	b.ReportAllocs()
	now := start
	step := interval / time.Duration(len(reports))
	b.ResetTimer()
	for i := range b.N {
		report := reports[i%len(reports)]
		sequence++
		report.Sequence = sequence
		now = now.Add(step)
		broker.HandleReport(now, report)
	}
}

func BenchmarkSlopeBrokerByMembers(b *testing.B) {
	for _, members := range []int{5, 15, 51, 180, 360} {
		broker, reports := filled(members, 240, 32)
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			run(b, broker, reports, 500*time.Millisecond)
		})
	}
}

func BenchmarkSlopeBrokerByAccounts(b *testing.B) {
	for _, accounts := range []int{16, 60, 120, 240} {
		broker, reports := filled(51, accounts, 32)
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			run(b, broker, reports, 500*time.Millisecond)
		})
	}
}

func BenchmarkSlopeBrokerByUpstreams(b *testing.B) {
	for _, upstreams := range []int{9, 32, 64, 219} {
		broker, reports := filled(51, 240, upstreams)
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			run(b, broker, reports, 500*time.Millisecond)
		})
	}
}

func BenchmarkSlopeBrokerMemory(b *testing.B) {
	for _, members := range []int{5, 51, 180, 360} {
		before := heap()
		broker, _ := filled(members, 240, 32)
		after := heap()
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for range b.N {
				_ = broker.FairnessGap()
			}
			b.ReportMetric(float64(after-before), "heap-bytes")
			runtime.KeepAlive(broker)
		})
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
