package hwburn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwburn"
)

var start = time.Unix(1_700_000_000, 0)

func objective() hwburn.Objective {
	return hwburn.Objective{
		Account:          "bar-staff",
		Pool:             "desk",
		LatencyThreshold: time.Second,
		Target:           0.99,
	}
}

// TestAnOutageBurnsAndPasses drives two instances from calm into an outage and back; the fleet's verdict follows.
func TestAnOutageBurnsAndPasses(t *testing.T) {
	meters := []*hwburn.Meter{hwburn.NewMeter(start, objective()), hwburn.NewMeter(start, objective())}
	now := start
	run := func(span time.Duration, bad bool) hwburn.BurnStatus {
		for end := now.Add(span); now.Before(end); now = now.Add(time.Second) {
			for _, m := range meters {
				m.Observe(now, 100*time.Millisecond, !bad)
			}
		}
		rows, err := hwburn.Merge(meters[0].Export(now), meters[1].Export(now))
		require.NoError(t, err)
		require.Len(t, rows, 1)
		return hwburn.Evaluate(rows)[0]
	}
	calm := run(2*time.Hour, false)
	assert.False(t, calm.Alerting)
	assert.InDelta(t, 1, calm.BudgetRemaining, 1e-9)
	assert.Equal(t, int64(2*7200), calm.Requests, "both instances count")

	first := run(time.Minute, true)
	assert.False(t, first.Alerting, "a minute is not yet worth a page: %s", first.Reason)
	burning := run(12*time.Minute, true)
	assert.True(t, burning.Alerting)
	assert.Contains(t, burning.Reason, "times too fast over 5m0s")
	assert.Negative(t, burning.BudgetRemaining)

	after := run(10*time.Minute, false)
	assert.False(t, after.ShortBurnRates[0] > 14.4, "the short window shows that it is over")
	back := run(6*time.Hour, false)
	assert.False(t, back.Alerting)
	assert.InDelta(t, 1, back.BudgetRemaining, 1e-9)
}

func TestLateAndUntruthfulAreBad(t *testing.T) {
	cases := []struct {
		name     string
		first    time.Duration
		truthful bool
		bad      int64
	}{
		{
			name:     "in time",
			first:    time.Second,
			truthful: true,
			bad:      0,
		},
		{
			name:     "late",
			first:    time.Second + 1,
			truthful: true,
			bad:      1,
		},
		{
			name:     "not known whether it ran",
			first:    0,
			truthful: false,
			bad:      1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := hwburn.NewMeter(start, objective())
			m.Observe(start, c.first, c.truthful)
			assert.Equal(t, hwburn.RequestCount{
				Total: 1,
				Bad:   c.bad,
			}, m.CountWithin(start, time.Hour))
		})
	}
}

func ExampleMeter() {
	now := time.Unix(1_700_000_000, 0)
	m := hwburn.NewMeter(now, hwburn.Objective{
		Account:          "bar-staff",
		Pool:             "desk",
		LatencyThreshold: time.Second,
		Target:           0.9,
	})
	for i := range 10 {
		m.Observe(now, 50*time.Millisecond, i > 0)
	}
	verdict := hwburn.Evaluate([]hwburn.ObjectiveCounts{m.Export(now)})[0]
	fmt.Printf("%d requests, budget burns at %.0f times its rate\n", verdict.Requests, verdict.ShortBurnRates[0])
	// Output: 10 requests, budget burns at 1 times its rate
}
