package hwquery

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// Format is the output format of a report.
type Format string

// The output formats of reports.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
	FormatCSV   Format = "csv"
)

// reportTable is a report as text cells under column headers.
type reportTable struct {
	columns []string
	rows    [][]string
}

func (t *reportTable) add(cells ...string) { t.rows = append(t.rows, cells) }

// print writes the table, or for JSON the value from which it was made.
func (t *reportTable) print(out io.Writer, format Format, value any) error {
	switch format {
	case FormatJSON:
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(value))
	case FormatCSV:
		w := csv.NewWriter(out)
		return trace.NewAggregate(w.Write(t.columns), w.WriteAll(t.rows))
	default:
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		for _, row := range append([][]string{t.columns}, t.rows...) {
			if _, err := io.WriteString(w, strings.Join(row, "\t")+"\n"); err != nil {
				return trace.Wrap(err)
			}
		}
		return trace.Wrap(w.Flush())
	}
}
