package hwfence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwfence"
)

var start = time.Unix(1_700_000_000, 0)

func TestDecide(t *testing.T) {
	checking := hwfence.Order{
		ChecksFencing: true,
		Deadline:      2 * time.Second,
	}
	trusting := hwfence.Order{
		Deadline: 2 * time.Second,
	}
	confirmed := trusting
	confirmed.Confirmed = true
	cases := []struct {
		name  string
		after time.Duration
		order hwfence.Order
		want  hwfence.Decision
	}{
		{
			name:  "an upstream that checks, lease held",
			after: time.Second,
			order: checking,
			want:  hwfence.Send,
		},
		{
			name:  "an upstream that checks, lease over",
			after: 10 * time.Second,
			order: checking,
			want:  hwfence.Drop,
		},
		{
			name:  "the holder before may still be ordering",
			after: time.Second,
			order: confirmed,
			want:  hwfence.Wait,
		},
		{
			name:  "not confirmed for this order",
			after: 3 * time.Second,
			order: trusting,
			want:  hwfence.Confirm,
		},
		{
			name:  "confirmed for this order",
			after: 3 * time.Second,
			order: confirmed,
			want:  hwfence.Send,
		},
		{
			name:  "confirmed, but the order might outlive the lease",
			after: 9 * time.Second,
			order: confirmed,
			want:  hwfence.Confirm,
		},
		{
			name:  "paused past the lease",
			after: 11 * time.Second,
			order: confirmed,
			want:  hwfence.Drop,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			lease := hwfence.NewLease(start, start, 10*time.Second, 7)
			got, _ := lease.Decide(start.Add(c.after), c.order)
			assert.Equal(t, c.want, got)
		})
	}
}

func TestRenewalCountsFromTheSending(t *testing.T) {
	lease := hwfence.NewLease(start, start.Add(time.Second), 10*time.Second, 7).WithRenewal(start.Add(5*time.Second), 10*time.Second)
	assert.Equal(t, start.Add(15*time.Second), lease.ExpiresAt)
}

func ExampleTokenChecker() {
	var gate hwfence.TokenChecker
	fmt.Println(gate.Admit(4), gate.Admit(9), gate.Admit(4), gate.Admit(9))
	// Output: true true false true
}
