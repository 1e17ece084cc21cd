package hwslot_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwslot"
)

// newLoadedBroker returns a broker that has processed a full report of every member, and an incremental report of each member to send next.
func newLoadedBroker(members, accounts, upstreams int) (*hwslot.Broker, []hwslot.Report) {
	broker := hwslot.NewBroker(startTime.Add(-time.Hour), hwslot.BrokerSettings{
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
		// A tenth of the accounts is backlogged, and each router serves a part of all accounts.
		for a := range accounts {
			if (a+m)%10 < 2 {
				report.Accounts = append(report.Accounts, hwslot.AccountRow{
					Account: fmt.Sprintf("account-%d", a),
					Waiting: boolToInt(a%10 == 0) * 20,
					Running: 5,
					Service: float64(100 * m),
				})
			}
		}
		grant := broker.HandleReport(startTime, report)
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

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// lastSequence numbers the reports of all benchmarks, because one broker serves several runs of the same benchmark.
var lastSequence uint64 = 1

// benchmarkReports sends the members' reports in turn, each member once per interval.
func benchmarkReports(b *testing.B, broker *hwslot.Broker, reports []hwslot.Report, interval time.Duration) {
	b.ReportAllocs()
	now := startTime
	step := interval / time.Duration(len(reports))
	b.ResetTimer()
	for i := range b.N {
		report := reports[i%len(reports)]
		lastSequence++
		report.Sequence = lastSequence
		now = now.Add(step)
		broker.HandleReport(now, report)
	}
}

func BenchmarkSlopeBrokerByMembers(b *testing.B) {
	for _, members := range []int{5, 15, 51, 180, 360} {
		broker, reports := newLoadedBroker(members, 240, 32)
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			benchmarkReports(b, broker, reports, 500*time.Millisecond)
		})
	}
}

func BenchmarkSlopeBrokerByAccounts(b *testing.B) {
	for _, accounts := range []int{16, 60, 120, 240} {
		broker, reports := newLoadedBroker(51, accounts, 32)
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			benchmarkReports(b, broker, reports, 500*time.Millisecond)
		})
	}
}

func BenchmarkSlopeBrokerByUpstreams(b *testing.B) {
	for _, upstreams := range []int{9, 32, 64, 219} {
		broker, reports := newLoadedBroker(51, 240, upstreams)
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			benchmarkReports(b, broker, reports, 500*time.Millisecond)
		})
	}
}

func BenchmarkSlopeBrokerMemory(b *testing.B) {
	for _, members := range []int{5, 51, 180, 360} {
		before := heapBytes()
		broker, _ := newLoadedBroker(members, 240, 32)
		after := heapBytes()
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for range b.N {
				_ = broker.FairnessGap()
			}
			b.ReportMetric(float64(after-before), "heap-bytes")
			runtime.KeepAlive(broker)
		})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
