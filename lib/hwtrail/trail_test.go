package hwtrail_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwtrail"
)

// TestTheLastTrailsAreFound adds requests, some of them twice, and looks for each of the last ones.
func TestTheLastTrailsAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		ids := rapid.SliceOf(rapid.IntRange(0, 12)).Draw(t, "requests")
		ring := hwtrail.NewRing(size)
		for i, id := range ids {
			ring.Add(hwtrail.Record{
				Request:   fmt.Sprint(id),
				CostUnits: float64(i),
			})
		}
		latest := map[int]int{}
		for i, id := range ids[max(0, len(ids)-size):] {
			latest[id] = max(0, len(ids)-size) + i
		}
		for id := range 13 {
			trail, found := ring.Find(fmt.Sprint(id))
			at, want := latest[id]
			assert.Equal(t, want, found)
			if want {
				assert.InDelta(t, float64(at), trail.CostUnits, 0)
			}
		}
	})
}

// BenchmarkMemory fills a ring with requests that waited once and were sent once, and reports the memory of one.
func BenchmarkMemory(b *testing.B) {
	const size = 8192
	for b.Loop() {
		before := heap()
		ring := hwtrail.NewRing(size)
		for i := range size {
			ring.Add(hwtrail.Record{
				Request:  fmt.Sprintf("%024d", i),
				Instance: "router-1",
				Account:  "account-001",
				Pool:     "models",
				Waits:    make([]hwtrail.Wait, 1),
				Attempts: []hwtrail.Attempt{{
					Upstream: fmt.Sprintf("10.20.30.%d:8000", i%256),
					Outcome:  "answered",
				}},
				Outcome:   "answered",
				Execution: "ran",
			})
		}
		b.ReportMetric((heap()-before)/size, "B/trail")
		runtime.KeepAlive(ring)
	}
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func ExampleRing() {
	ring := hwtrail.NewRing(1000)
	ring.Add(hwtrail.Record{
		Request: "7f3a",
		Outcome: "answered",
	})
	trail, found := ring.Find("7f3a")
	fmt.Println(trail.Outcome, found)
	// Output: answered true
}
