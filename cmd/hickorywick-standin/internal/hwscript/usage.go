package hwscript

import (
	"context"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwusage"
)

// usageEquals reports whether the usage of an account in the store, in cost units, equals want, summed over the current hour and the one before, in case the hour has just changed.
func (s *Scenario) usageEquals(account, want string) (bool, error) {
	store := s.World.StoreClient(waitTimeout)
	sum := 0.0
	now := time.Now()
	for _, at := range []time.Time{now.Add(-time.Hour), now} {
		value, err := store.Get(context.Background(), hwrouter.UsageKey(hwworld.Environment, at))
		if err != nil {
			return false, trace.Wrap(err)
		}
		page, err := hwusage.DecodePage(hwusage.HourStart(at), value.Bytes)
		if err != nil {
			return false, trace.Wrap(err)
		}
		for _, row := range page.Rows {
			if row.Account == account {
				sum += row.Units
			}
		}
	}
	return strconv.FormatFloat(sum, 'f', 0, 64) == want, nil
}
