// Package hwslope fits a linear regression to the results of Go benchmarks; docs/CAPACITY.md is derived from its output.
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

// series holds the values of one benchmark metric against the benchmark parameter.
type series struct {
	benchmark string
	parameter string
	unit      string
	x         []float64
	y         []float64
}

// Run reads benchmark output from in and writes a table with the fitted line of each metric: value = base + slope × parameter.
func Run(in io.Reader, out io.Writer) error {
	var order []string
	seriesByKey := map[string]*series{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		for _, point := range parseLine(lines.Text()) {
			key := point.benchmark + " " + point.unit
			if seriesByKey[key] == nil {
				seriesByKey[key] = &point
				order = append(order, key)
				continue
			}
			seriesByKey[key].x = append(seriesByKey[key].x, point.x...)
			seriesByKey[key].y = append(seriesByKey[key].y, point.y...)
		}
	}
	if err := lines.Err(); err != nil {
		return trace.Wrap(err)
	}
	if len(order) == 0 {
		return trace.NotFound("no benchmark results in the input")
	}
	return writeTable(out, order, seriesByKey)
}

func writeTable(out io.Writer, order []string, seriesByKey map[string]*series) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "benchmark\tmetric\tbase\tslope\tper\tr2\tat the largest\t")
	for _, key := range order {
		s := seriesByKey[key]
		base, slope := stat.LinearRegression(s.x, s.y, nil, false)
		rSquared := stat.RSquared(s.x, s.y, nil, base, slope)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.4g\t%.4g\t%s\t%.2f\t%.4g at %.0f\t\n", s.benchmark, s.unit, base, slope, s.parameter, rSquared,
			s.y[len(s.y)-1], slices.Max(s.x))
	}
	return trace.Wrap(w.Flush())
}

// parseLine parses a line such as "BenchmarkSlopeX/members=5-8  100  123 ns/op  4 B/op" into a single-point series per metric. It returns nil for other lines.
func parseLine(line string) []series {
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
	var metrics []series
	for i := 2; i+1 < len(fields); i += 2 {
		y, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			continue
		}
		metrics = append(metrics, series{
			benchmark: strings.TrimPrefix(name, "BenchmarkSlope"),
			parameter: parameter,
			unit:      fields[i+1],
			x:         []float64{x},
			y:         []float64{y},
		})
	}
	return metrics
}
