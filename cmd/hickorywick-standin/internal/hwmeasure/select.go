package hwmeasure

import (
	"context"
	"io"

	"github.com/gravitational/trace"
)

// Selection specifies the cases, policies and sizes to measure; "all" matches every one.
type Selection struct {
	Case   string
	Policy string
	Size   string
	// Plots is the directory for plots of the tokens served over time; if empty, no plots are drawn.
	Plots string
}

const selectAll = "all"

func matches(want, name string) bool { return want == selectAll || want == name }

// RunAll runs the selected cases sequentially and prints their results.
func RunAll(ctx context.Context, out io.Writer, selection Selection) error {
	found := false
	for _, size := range Sizes() {
		for _, c := range Cases() {
			for _, policy := range c.Policies {
				if !matches(selection.Size, size.Name) || !matches(selection.Case, c.Name) || !matches(selection.Policy, policy.Name) {
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
