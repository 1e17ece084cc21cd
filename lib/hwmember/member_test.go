package hwmember_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwmember"
)

var start = time.Unix(1_700_000_000, 0)

func settings() hwmember.Settings {
	return hwmember.Settings{
		ProbeInterval:    time.Second,
		SuspicionTimeout: 3 * time.Second,
		IndirectProbes:   2,
		MaxPiggybackRows: 8,
		TransmitLimit:    6,
	}
}

func name(i int) string { return fmt.Sprintf("router-%d", i) }

func newTable(i int) *hwmember.Table {
	return hwmember.New(settings(), hwmember.Row{
		Instance: name(i),
		Address:  name(i),
		Zone:     "zone-a",
		Boot:     1,
	}, rand.NewPCG(uint64(i), 1))
}

func list(count int) []hwmember.ListEntry {
	var l []hwmember.ListEntry
	for i := range count {
		l = append(l, hwmember.ListEntry{
			Instance: name(i),
			Address:  name(i),
			Zone:     "zone-a",
		})
	}
	return l
}

// fleet simulates instances whose probes are answered immediately, unless the target is down or the link is cut.
type fleet struct {
	now    time.Time
	tables []*hwmember.Table
	down   map[string]bool
	// cutLinks contains pairs of instances that cannot reach each other.
	cutLinks map[[2]string]bool
}

func newFleet(count int) *fleet {
	f := &fleet{
		now:      start,
		down:     map[string]bool{},
		cutLinks: map[[2]string]bool{},
	}
	for i := range count {
		f.tables = append(f.tables, newTable(i))
		f.tables[i].ApplyList(start, list(count))
	}
	return f
}

func (f *fleet) reaches(from, to string) bool {
	return !f.down[from] && !f.down[to] && !f.cutLinks[[2]string{from, to}] && !f.cutLinks[[2]string{to, from}]
}

func (f *fleet) exchange(from int, to string, rows []hwmember.Row) bool {
	if !f.reaches(name(from), to) {
		return false
	}
	for i, t := range f.tables {
		if name(i) == to {
			t.Merge(f.now, rows)
			f.tables[from].Merge(f.now, t.GossipRows())
		}
	}
	return true
}

func (f *fleet) probe(from int, p hwmember.Probe) {
	reached := false
	if p.Via.Instance == "" {
		reached = f.exchange(from, p.Target.Instance, p.Rows)
	} else if f.exchange(from, p.Via.Instance, p.Rows) {
		reached = f.reaches(p.Via.Instance, p.Target.Instance)
	}
	for _, next := range f.tables[from].HandleProbeResult(f.now, p, reached) {
		f.probe(from, next)
	}
}

func (f *fleet) run(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(200 * time.Millisecond) {
		for i, t := range f.tables {
			if f.down[name(i)] {
				continue
			}
			for _, p := range t.Tick(f.now) {
				f.probe(i, p)
			}
		}
	}
}

func (f *fleet) alive(i int) int { return len(f.tables[i].Alive()) }

func TestDeadInstanceIsDetectedByAllMembers(t *testing.T) {
	f := newFleet(8)
	f.run(10 * time.Second)
	require.Equal(t, 8, f.alive(0))
	f.down[name(3)] = true
	f.run(20 * time.Second)
	for i := range 8 {
		if i != 3 {
			assert.Equal(t, 7, f.alive(i), name(i))
			assert.Len(t, f.tables[i].Members(), 8, "the instance list still contains it, so its guaranteed slots stay reserved")
			f.tables[i].ApplyList(f.now, list(3))
			assert.NotContains(t, f.tables[i].Members(), name(3))
		}
	}
}

func TestIndirectProbesPreventSuspicionOnBrokenLink(t *testing.T) {
	f := newFleet(5)
	f.cutLinks[[2]string{name(0), name(1)}] = true
	f.run(30 * time.Second)
	assert.Equal(t, 5, f.alive(0), "indirect probes through other instances reach it")
}

func TestInstanceRejoinsAfterPartition(t *testing.T) {
	f := newFleet(5)
	f.down[name(2)] = true
	f.run(20 * time.Second)
	require.Equal(t, 4, f.alive(0))
	f.down[name(2)] = false
	f.run(20 * time.Second)
	for i := range 5 {
		assert.Equal(t, 5, f.alive(i), name(i))
	}
}

func TestLeavingInstanceIsRemovedFromMembers(t *testing.T) {
	f := newFleet(3)
	f.tables[1].Leave()
	f.run(5 * time.Second)
	assert.NotContains(t, f.tables[0].Members(), name(1))
}

func TestInstanceListDoesNotReviveDeadInstance(t *testing.T) {
	f := newFleet(4)
	f.down[name(3)] = true
	f.run(20 * time.Second)
	f.tables[0].ApplyList(f.now, list(4))
	assert.Equal(t, 3, f.alive(0))
}

func TestRemovalOfDeadInstanceIsReportedAsChange(t *testing.T) {
	f := newFleet(3)
	f.down[name(2)] = true
	f.run(20 * time.Second)
	f.tables[0].TakeChanges()
	f.tables[0].ApplyList(f.now, list(2))
	assert.Len(t, f.tables[0].TakeChanges(), 1, "brokers release the slots reserved for the instance only when the removal is reported")
}

func BenchmarkSlopeMemberTick(b *testing.B) {
	for _, members := range []int{5, 51, 180, 360} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			t := newTable(0)
			t.ApplyList(start, list(members))
			t.TakeChanges()
			b.ReportAllocs()
			now := start
			for range b.N {
				now = now.Add(20 * time.Millisecond)
				for _, p := range t.Tick(now) {
					t.HandleProbeResult(now, p, true)
				}
			}
		})
	}
}

func BenchmarkSlopeMemberMemory(b *testing.B) {
	for _, members := range []int{5, 51, 180, 360} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			before := heap()
			t := newTable(0)
			t.ApplyList(start, list(members))
			t.TakeChanges()
			after := heap()
			for range b.N {
				_, _ = t.Lookup(name(1))
			}
			b.ReportMetric(float64(after-before), "heap-bytes")
			runtime.KeepAlive(t)
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
