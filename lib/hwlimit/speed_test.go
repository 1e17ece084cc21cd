package hwlimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwlimit"
)

var start = time.Unix(1_700_000_000, 0)

func newDetector() *hwlimit.OutlierDetector {
	return hwlimit.NewOutlierDetector(hwlimit.OutlierSettings{
		MaxSampleAge:      3 * time.Second,
		SlowPermille:      2000,
		RecoveredPermille: 1500,
		MinSamples:        5,
	})
}

func observe(d *hwlimit.OutlierDetector, now time.Time, gaps map[string]time.Duration) {
	for upstream, gap := range gaps {
		for range 100 {
			d.Observe(now, upstream, gap)
		}
	}
}

func slow(d *hwlimit.OutlierDetector, now time.Time) []string {
	var names []string
	for _, j := range d.Evaluate(now) {
		if j.Slow {
			names = append(names, j.Upstream)
		}
	}
	return names
}

func TestJudge(t *testing.T) {
	const normal = 20 * time.Millisecond
	cases := []struct {
		name string
		gaps map[string]time.Duration
		want []string
	}{
		{
			name: "all alike",
			gaps: map[string]time.Duration{"a": normal, "b": normal, "c": normal},
			want: nil,
		},
		{
			name: "one five times slower",
			gaps: map[string]time.Duration{"a": normal, "b": normal, "c": 5 * normal},
			want: []string{"c"},
		},
		{
			name: "one a little slower",
			gaps: map[string]time.Duration{"a": normal, "b": normal, "c": 3 * normal / 2},
			want: nil,
		},
		{
			name: "two upstreams have no median",
			gaps: map[string]time.Duration{"a": normal, "b": 5 * normal},
			want: nil,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDetector()
			observe(d, start, c.gaps)
			assert.Equal(t, c.want, slow(d, start))
		})
	}
}

func TestSlowStaysSlowWithoutObservationsAndRecoversWithThem(t *testing.T) {
	d := newDetector()
	observe(d, start, map[string]time.Duration{"a": time.Millisecond, "b": time.Millisecond, "c": 5 * time.Millisecond})
	assert.Equal(t, []string{"c"}, slow(d, start))
	later := start.Add(time.Minute)
	assert.Equal(t, []string{"c"}, slow(d, later), "no news is no recovery")
	observe(d, later, map[string]time.Duration{"a": time.Millisecond, "b": time.Millisecond, "c": time.Millisecond})
	assert.Empty(t, slow(d, later))
}

func TestHealthPausesLongerWithEachFailure(t *testing.T) {
	h := hwlimit.NewHealth(hwlimit.HealthSettings{
		InitialBackoff: time.Second,
		MaxBackoff:     3 * time.Second,
	})
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second} {
		h.RecordFailure(start, "a")
		assert.False(t, h.Usable(start.Add(want-time.Millisecond), "a"))
		assert.True(t, h.Usable(start.Add(want), "a"))
	}
	h.RecordSuccess("a")
	assert.True(t, h.Usable(start, "a"))
	assert.False(t, h.Down("a"))
}
