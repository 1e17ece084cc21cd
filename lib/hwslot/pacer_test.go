package hwslot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwslot"
)

func TestPacerKeepsTheBudget(t *testing.T) {
	cases := []struct {
		name string
		// perReport is what one round of reports costs in bytes.
		perReport float64
		want      time.Duration
	}{
		{
			name:      "little traffic stays fast",
			perReport: 500,
			want:      50 * time.Millisecond,
		},
		{
			name:      "more traffic slows down to the aim",
			perReport: 4600,
			want:      250 * time.Millisecond,
		},
		{
			name:      "far too much traffic ends at the slowest interval",
			perReport: 100_000,
			want:      500 * time.Millisecond,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := hwslot.NewPacer(hwslot.PacerSettings{
				BudgetBytesPerSecond: 23_000,
				MinInterval:          50 * time.Millisecond,
				MaxInterval:          500 * time.Millisecond,
			})
			now, bytes := start, 0.0
			var interval time.Duration
			for range 1000 {
				interval = p.Interval(now, int64(bytes))
				now = now.Add(interval)
				bytes += c.perReport
			}
			assert.InDelta(t, float64(c.want), float64(interval), float64(20*time.Millisecond))
		})
	}
}
