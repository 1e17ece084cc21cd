package hwquery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwburn"
)

// Output is how a report is written.
type Output string

// The outputs of reports.
const (
	OutputTable Output = "table"
	OutputJSON  Output = "json"
)

// Burn prints how fast each objective uses up its error budget, over all asked routers.
func Burn(ctx context.Context, out io.Writer, operators Operators, output Output) error {
	var rows []hwburn.Row
	for _, address := range operators.Addresses {
		var own []hwburn.Row
		if err := operators.Get(ctx, address, "/reports/burn", &own); err != nil {
			return trace.Wrap(err)
		}
		rows = append(rows, own...)
	}
	merged, err := hwburn.Merge(rows...)
	if err != nil {
		return trace.Wrap(err)
	}
	verdicts := hwburn.Judge(merged)
	if output == OutputJSON {
		return trace.Wrap(json.NewEncoder(out).Encode(verdicts))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "account\tpool\trequests in 6h\tbudget left\tburn 5m\t1h\t30m\t6h\tp95\tp99\tpages")
	for _, v := range verdicts {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.0f %%\t%.1f\t%.1f\t%.1f\t%.1f\t%d ms\t%d ms\t%s\n", v.Account, v.Pool, v.Requests, 100*v.Remaining,
			v.ShortRates[0], v.LongRates[0], v.ShortRates[1], v.LongRates[1], v.P95Millis, v.P99Millis, why(v))
	}
	return trace.Wrap(w.Flush())
}

func why(v hwburn.Verdict) string {
	if !v.Pages {
		return "no"
	}
	return v.Why
}
