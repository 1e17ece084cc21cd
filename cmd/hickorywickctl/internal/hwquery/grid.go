package hwquery

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// Format is how a report is written.
type Format string

// The outputs of reports.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
	FormatCSV   Format = "csv"
)

// grid is a report as rows of text.
type grid struct {
	columns []string
	rows    [][]string
}

func (g *grid) add(cells ...string) { g.rows = append(g.rows, cells) }

// print writes the grid, or the value it was made from as JSON.
func (g *grid) print(out io.Writer, output Format, value any) error {
	switch output {
	case FormatJSON:
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(value))
	case FormatCSV:
		w := csv.NewWriter(out)
		return trace.NewAggregate(w.Write(g.columns), w.WriteAll(g.rows))
	default:
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		for _, row := range append([][]string{g.columns}, g.rows...) {
			if _, err := io.WriteString(w, strings.Join(row, "\t")+"\n"); err != nil {
				return trace.Wrap(err)
			}
		}
		return trace.Wrap(w.Flush())
	}
}
