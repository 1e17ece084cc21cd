package hwquery

import (
	"context"
	"io"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwburn"
)

// BurnRates prints how fast each objective uses up its error budget, over all asked routers.
func BurnRates(ctx context.Context, out io.Writer, operators OperatorClient, output Format) error {
	var rows []hwburn.ObjectiveCounts
	for _, address := range operators.Addresses {
		var own []hwburn.ObjectiveCounts
		if err := operators.Get(ctx, address, "/reports/burn", &own); err != nil {
			return trace.Wrap(err)
		}
		rows = append(rows, own...)
	}
	merged, err := hwburn.Merge(rows...)
	if err != nil {
		return trace.Wrap(err)
	}
	verdicts := hwburn.Evaluate(merged)
	grid := grid{
		columns: []string{"account", "pool", "requests in 6h", "budget left", "burn 5m", "1h", "30m", "6h", "p95", "p99", "pages"},
	}
	for _, v := range verdicts {
		grid.add(v.Account, v.Pool, strconv.FormatInt(v.Requests, 10), percent(v.BudgetRemaining), rate(v.ShortBurnRates[0]), rate(v.LongBurnRates[0]),
			rate(v.ShortBurnRates[1]), rate(v.LongBurnRates[1]), millis(v.P95Millis), millis(v.P99Millis), whyPages(v))
	}
	return grid.print(out, output, verdicts)
}

func rate(burn float64) string { return strconv.FormatFloat(burn, 'f', 1, 64) }

func millis(span int64) string { return strconv.FormatInt(span, 10) + " ms" }

func whyPages(v hwburn.BurnStatus) string {
	if !v.Alerting {
		return "no"
	}
	return v.Reason
}
