package hwslot_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwslot"
)

func TestPacerStaysWithinTheBudget(t *testing.T) {
	cases := []struct {
		name string
		// bytesPerReport is the control traffic of one round of reports.
		bytesPerReport float64
		want           time.Duration
	}{
		{
			name:           "little traffic keeps the shortest interval",
			bytesPerReport: 500,
			want:           50 * time.Millisecond,
		},
		{
			name:           "more traffic lengthens the interval to the target utilisation",
			bytesPerReport: 4600,
			want:           250 * time.Millisecond,
		},
		{
			name:           "excessive traffic leads to the longest interval",
			bytesPerReport: 100_000,
			want:           500 * time.Millisecond,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := hwslot.NewPacer(hwslot.PacerSettings{
				BudgetBytesPerSecond: 23_000,
				MinInterval:          50 * time.Millisecond,
				MaxInterval:          500 * time.Millisecond,
			})
			now, bytes := startTime, 0.0
			var interval time.Duration
			for range 1000 {
				interval = p.Interval(now, int64(bytes))
				now = now.Add(interval)
				bytes += c.bytesPerReport
			}
			assert.InDelta(t, float64(c.want), float64(interval), float64(20*time.Millisecond))
		})
	}
}
