package hwquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

var start = time.Unix(1_700_000_000, 0)

func newGuard() *hwquarantine.CrashTracker {
	return hwquarantine.New(hwquarantine.Settings{
		ReportTTL:       time.Minute,
		MinUpstreams:    2,
		MaxFingerprints: 8,
	})
}

func strike(upstream string, after time.Duration) hwquarantine.CrashReport {
	return hwquarantine.CrashReport{
		Fingerprint: 1,
		Upstream:    upstream,
		OccurredAt:  start.Add(after),
	}
}

func TestQuarantine(t *testing.T) {
	cleared := hwquarantine.CrashReport{
		Fingerprint: 1,
		OccurredAt:  start.Add(2 * time.Second),
		Cleared:     true,
	}
	cases := []struct {
		name    string
		strikes []hwquarantine.CrashReport
		at      time.Duration
		want    bool
	}{
		{
			name:    "no strike",
			strikes: nil,
			at:      0,
			want:    false,
		},
		{
			name:    "one upstream crashed",
			strikes: []hwquarantine.CrashReport{strike("a", 0)},
			at:      time.Second,
			want:    false,
		},
		{
			name:    "the same upstream crashed twice",
			strikes: []hwquarantine.CrashReport{strike("a", 0), strike("a", time.Second)},
			at:      time.Second,
			want:    false,
		},
		{
			name:    "two upstreams crashed",
			strikes: []hwquarantine.CrashReport{strike("a", 0), strike("b", time.Second)},
			at:      time.Second,
			want:    true,
		},
		{
			name:    "a strike heard twice",
			strikes: []hwquarantine.CrashReport{strike("a", 0), strike("a", 0)},
			at:      time.Second,
			want:    false,
		},
		{
			name:    "answered after the first crash",
			strikes: []hwquarantine.CrashReport{strike("a", 0), cleared, strike("b", 3*time.Second)},
			at:      3 * time.Second,
			want:    false,
		},
		{
			name:    "clearance heard before the strike",
			strikes: []hwquarantine.CrashReport{cleared, strike("a", 0), strike("b", time.Second)},
			at:      3 * time.Second,
			want:    false,
		},
		{
			name:    "crashes after the clearance",
			strikes: []hwquarantine.CrashReport{cleared, strike("a", 3*time.Second), strike("b", 4*time.Second)},
			at:      5 * time.Second,
			want:    true,
		},
		{
			name:    "freed when the first strike is old",
			strikes: []hwquarantine.CrashReport{strike("a", 0), strike("b", time.Second)},
			at:      61 * time.Second,
			want:    false,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newGuard()
			g.Merge(start, c.strikes...)
			_, got := g.Quarantined(start.Add(c.at), 1)
			assert.Equal(t, c.want, got)
		})
	}
}

func TestPeersLearnEverythingThatCounts(t *testing.T) {
	g, peer := newGuard(), newGuard()
	g.Merge(start, strike("a", 0), strike("b", time.Second))
	assert.Equal(t, []hwquarantine.Fingerprint{1}, peer.Merge(start.Add(time.Second), g.Reports(start.Add(time.Second), 10)...))
}

func TestMemoryIsBounded(t *testing.T) {
	g := newGuard()
	for i := range 100 {
		g.Merge(start.Add(time.Duration(i)*time.Millisecond), hwquarantine.CrashReport{
			Fingerprint: hwquarantine.Fingerprint(i),
			Upstream:    "a",
			OccurredAt:  start,
		})
	}
	assert.Len(t, g.Reports(start, 1000), 8)
}

func ExampleCrashTracker() {
	now := time.Unix(1_700_000_000, 0)
	g := hwquarantine.New(hwquarantine.Settings{
		ReportTTL:       2 * time.Minute,
		MinUpstreams:    2,
		MaxFingerprints: 1000,
	})
	f := hwquarantine.FingerprintOf("bar-staff", "/v1/completions", 42)
	for _, upstream := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
		g.Merge(now, hwquarantine.CrashReport{
			Fingerprint: f,
			Upstream:    upstream,
			OccurredAt:  now,
		})
	}
	until, quarantined := g.Quarantined(now, f)
	fmt.Println(quarantined, until.Sub(now))
	// Output: true 2m0s
}
