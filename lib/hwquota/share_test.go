package hwquota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwquota"
)

// The number of shares decides how many routers with wrong views the bound tolerates.
func TestDivideChoosesTheSharesThatKeepTheBound(t *testing.T) {
	for name, c := range map[string]struct {
		limit     hwquota.Limit
		routers   int
		owners    int
		believers int
	}{
		"deployment A": {limit: coldLimit, routers: 32, owners: 6, believers: 13},
		"two routers":  {limit: coldLimit, routers: 2, owners: 2, believers: 4},
		"one router":   {limit: coldLimit, routers: 1, owners: 1, believers: 2},
		// Two sides of five that were started in a partition would send 2 x 5 x 2 requests with K = 5.
		"five routers": {limit: coldLimit, routers: 5, owners: 6, believers: 13},
		// At a whole rate, an owner's interval is a second, so its requests may both count: K = 6 would tolerate only 7 owners.
		"whole rate":                     {limit: hwquota.Limit{PerSecond: 6, Bound: 14}, routers: 32, owners: 7, believers: 14},
		"less than one a second":         {limit: hwquota.Limit{PerSecond: 0.5, Bound: 5}, routers: 32, owners: 1, believers: 5},
		"bound without room for a split": {limit: hwquota.Limit{PerSecond: 5.9, Bound: 5}, routers: 32, owners: 6, believers: 5},
	} {
		share := c.limit.Divide(c.routers)
		assert.Equal(t, c.owners, share.Owners, name)
		assert.Equal(t, c.believers, share.MaxBelievers, name)
		assert.GreaterOrEqual(t, share.Interval.Seconds(), float64(c.owners)/c.limit.PerSecond, name)
	}
}

// A configuration with an absurd rate must neither hang the router nor give a share without an interval.
func TestDivideTakesAnyLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := hwquota.Limit{
			PerSecond: rapid.Float64Range(1e-12, 1e12).Draw(t, "rate"),
			Bound:     rapid.IntRange(0, 1_000_000).Draw(t, "bound"),
		}
		share := limit.Divide(rapid.IntRange(0, 5000).Draw(t, "routers"))
		assert.Positive(t, share.Owners)
		assert.Positive(t, share.Interval)
		assert.LessOrEqual(t, share.Interval, 25*time.Hour)
		assert.LessOrEqual(t, share.MaxBelievers, limit.Bound)
	})
}
