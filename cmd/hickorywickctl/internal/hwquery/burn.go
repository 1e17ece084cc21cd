package hwquery

import (
	"context"
	"io"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwburn"
)

// BurnRates prints how fast each objective uses up its error budget, merged over all queried routers.
func BurnRates(ctx context.Context, out io.Writer, client OperatorClient, format Format) error {
	var rows []hwburn.ObjectiveCounts
	for _, address := range client.Addresses {
		var routerRows []hwburn.ObjectiveCounts
		if err := client.Get(ctx, address, "/reports/burn", &routerRows); err != nil {
			return trace.Wrap(err)
		}
		rows = append(rows, routerRows...)
	}
	merged, err := hwburn.Merge(rows...)
	if err != nil {
		return trace.Wrap(err)
	}
	verdicts := hwburn.Evaluate(merged)
	table := reportTable{
		columns: []string{"account", "pool", "requests in 6h", "budget left", "burn 5m", "1h", "30m", "6h", "p95", "p99", "pages"},
	}
	for _, v := range verdicts {
		table.add(v.Account, v.Pool, strconv.FormatInt(v.Requests, 10), formatPercent(v.BudgetRemaining), formatRate(v.ShortBurnRates[0]), formatRate(v.LongBurnRates[0]),
			formatRate(v.ShortBurnRates[1]), formatRate(v.LongBurnRates[1]), formatMillis(v.P95Millis), formatMillis(v.P99Millis), pageReason(v))
	}
	return table.print(out, format, verdicts)
}

func formatRate(burn float64) string { return strconv.FormatFloat(burn, 'f', 1, 64) }

func formatMillis(millis int64) string { return strconv.FormatInt(millis, 10) + " ms" }

// pageReason returns why the burn rates page an operator, or "no".
func pageReason(v hwburn.BurnStatus) string {
	if !v.Alerting {
		return "no"
	}
	return v.Reason
}
