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

// observe adds 100 samples per upstream with the given time per cost unit.
func observe(d *hwlimit.OutlierDetector, now time.Time, perUnit map[string]time.Duration) {
	for upstream, duration := range perUnit {
		for range 100 {
			d.Observe(now, upstream, duration)
		}
	}
}

func slowUpstreams(d *hwlimit.OutlierDetector, now time.Time) []string {
	var names []string
	for _, e := range d.Evaluate(now) {
		if e.Slow {
			names = append(names, e.Upstream)
		}
	}
	return names
}

func TestEvaluate(t *testing.T) {
	const normal = 20 * time.Millisecond
	cases := []struct {
		name    string
		perUnit map[string]time.Duration
		want    []string
	}{
		{
			name:    "all equally fast",
			perUnit: map[string]time.Duration{"a": normal, "b": normal, "c": normal},
			want:    nil,
		},
		{
			name:    "one five times slower",
			perUnit: map[string]time.Duration{"a": normal, "b": normal, "c": 5 * normal},
			want:    []string{"c"},
		},
		{
			name:    "one a little slower",
			perUnit: map[string]time.Duration{"a": normal, "b": normal, "c": 3 * normal / 2},
			want:    nil,
		},
		{
			name:    "two upstreams have no median",
			perUnit: map[string]time.Duration{"a": normal, "b": 5 * normal},
			want:    nil,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDetector()
			observe(d, start, c.perUnit)
			assert.Equal(t, c.want, slowUpstreams(d, start))
		})
	}
}

func TestSlowUpstreamStaysSlowUntilNewSamplesShowRecovery(t *testing.T) {
	d := newDetector()
	observe(d, start, map[string]time.Duration{"a": time.Millisecond, "b": time.Millisecond, "c": 5 * time.Millisecond})
	assert.Equal(t, []string{"c"}, slowUpstreams(d, start))
	later := start.Add(time.Minute)
	assert.Equal(t, []string{"c"}, slowUpstreams(d, later), "a slow upstream without new samples is not recovered")
	observe(d, later, map[string]time.Duration{"a": time.Millisecond, "b": time.Millisecond, "c": time.Millisecond})
	assert.Empty(t, slowUpstreams(d, later))
}

func TestHealthBackoffDoublesUpToMaximum(t *testing.T) {
	h := hwlimit.NewHealth(hwlimit.HealthSettings{
		InitialBackoff: time.Second,
		MaxBackoff:     3 * time.Second,
	})
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 3 * time.Second} {
		h.RecordFailure(start, "a")
		assert.False(t, h.Usable(start.Add(want-time.Millisecond), "a"))
		assert.True(t, h.Usable(start.Add(want), "a"))
	}
	h.RecordSuccess(start, "a")
	assert.True(t, h.Usable(start, "a"))
	assert.False(t, h.Down("a"))
}
