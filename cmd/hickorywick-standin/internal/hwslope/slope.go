// Package hwslope fits straight lines through the results of Go benchmarks, from which docs/CAPACITY.md is worked out.
package hwslope

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"gonum.org/v1/gonum/stat"
)

// series is one metric of one benchmark over a growing parameter.
type series struct {
	benchmark string
	parameter string
	unit      string
	x         []float64
	y         []float64
}

// Run reads benchmark output and prints each metric's line: value = base + slope × parameter.
func Run(in io.Reader, out io.Writer) error {
	var order []string
	all := map[string]*series{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		for _, point := range points(lines.Text()) {
			key := point.benchmark + " " + point.unit
			if all[key] == nil {
				all[key] = &point
				order = append(order, key)
				continue
			}
			all[key].x = append(all[key].x, point.x...)
			all[key].y = append(all[key].y, point.y...)
		}
	}
	if err := lines.Err(); err != nil {
		return trace.Wrap(err)
	}
	if len(order) == 0 {
		return trace.NotFound("no benchmark results in the input")
	}
	return write(out, order, all)
}

func write(out io.Writer, order []string, all map[string]*series) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "benchmark\tmetric\tbase\tslope\tper\tr2\tat the largest\t")
	for _, key := range order {
		s := all[key]
		base, slope := stat.LinearRegression(s.x, s.y, nil, false)
		fit := stat.RSquared(s.x, s.y, nil, base, slope)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%s\t%.2f\t%.4g at %.0f\t\n", s.benchmark, s.unit, base, slope, s.parameter, fit,
			s.y[len(s.y)-1], slices.Max(s.x))
	}
	return trace.Wrap(w.Flush())
}

// points reads a line such as "BenchmarkSlopeX/members=5-8  100  123 ns/op  4 B/op".
func points(line string) []series {
	fields := strings.Fields(line)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "BenchmarkSlope") {
		return nil
	}
	name, parameter, found := strings.Cut(fields[0], "/")
	if !found {
		return nil
	}
	parameter, number, _ := strings.Cut(parameter, "=")
	number, _, _ = strings.Cut(number, "-")
	x, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return nil
	}
	var read []series
	for i := 2; i+1 < len(fields); i += 2 {
		y, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			continue
		}
		read = append(read, series{
			benchmark: strings.TrimPrefix(name, "BenchmarkSlope"),
			parameter: parameter,
			unit:      fields[i+1],
			x:         []float64{x},
			y:         []float64{y},
		})
	}
	return read
}
