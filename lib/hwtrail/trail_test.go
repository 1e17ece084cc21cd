package hwtrail_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwtrail"
)

// Adds random request IDs, some of them repeatedly, and checks that Find returns the latest record of each ID that is still in the buffer, and nothing for the others.
func TestRingFindsOnlyTheLastRecords(t *testing.T) {
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
			record, found := ring.Find(fmt.Sprint(id))
			position, want := latest[id]
			assert.Equal(t, want, found)
			if want {
				assert.InDelta(t, float64(position), record.CostUnits, 0)
			}
		}
	})
}

// BenchmarkMemory fills a ring with records of one wait and one attempt each, and reports the heap bytes per record.
func BenchmarkMemory(b *testing.B) {
	const size = 8192
	for b.Loop() {
		before := heapBytes()
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
		b.ReportMetric((heapBytes()-before)/size, "B/trail")
		runtime.KeepAlive(ring)
	}
}

func heapBytes() float64 {
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
	record, found := ring.Find("7f3a")
	fmt.Println(record.Outcome, found)
	// Output: answered true
}
