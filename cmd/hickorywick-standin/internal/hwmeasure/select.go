package hwmeasure

import (
	"context"
	"io"

	"github.com/gravitational/trace"
)

// Selection says what to measure; "all" stands for everything.
type Selection struct {
	Case   string
	Policy string
	Size   string
	// Plots is the directory for plots of service over time; empty draws none.
	Plots string
}

const all = "all"

func selected(want, name string) bool { return want == all || want == name }

// RunAll measures what is selected, one run after the other.
func RunAll(ctx context.Context, out io.Writer, selection Selection) error {
	found := false
	for _, size := range Sizes() {
		for _, c := range Cases() {
			for _, policy := range c.Policies {
				if !selected(selection.Size, size.Name) || !selected(selection.Case, c.Name) || !selected(selection.Policy, policy.Name) {
					continue
				}
				found = true
				result, err := Run(ctx, c, size, policy)
				if err != nil {
					return trace.Wrap(err)
				}
				Print(out, c, result)
				if selection.Plots == "" {
					continue
				}
				if err := result.Plot(selection.Plots, c); err != nil {
					return trace.Wrap(err)
				}
			}
		}
	}
	if !found {
		return trace.NotFound("no case %s with policy %s at size %s", selection.Case, selection.Policy, selection.Size)
	}
	return nil
}
