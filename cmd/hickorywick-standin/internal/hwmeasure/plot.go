package hwmeasure

import (
	"fmt"
	"path/filepath"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// Plot draws the cumulative tokens per share of each account over the measured interval and saves the plot as a PNG file. Lines that stay close together show fair scheduling.
func (r *Result) Plot(directory string, c Case) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, %s", c.Name, r.Size.Name, r.Policy.Name)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "tokens per share"
	p.Legend.Top = true
	p.Legend.Left = true
	for i, share := range r.Size.Shares {
		line, err := plotter.NewLine(r.servicePerShare(AccountName(i), share))
		if err != nil {
			return trace.Wrap(err)
		}
		line.Color = plotutil.Color(i) //nolint:misspell // The library uses this spelling.
		line.Dashes = plotutil.Dashes(i / 8)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s (%g)", AccountName(i), share), line)
	}
	name := fmt.Sprintf("%s-%s-%s.png", c.Name, r.Size.Name, r.Policy.Name)
	return trace.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(directory, name)))
}

func (r *Result) servicePerShare(account string, share float64) plotter.XYs {
	first := r.Recorder.NearestSample(r.From)
	var points plotter.XYs
	for _, s := range r.Recorder.Samples() {
		if s.At.Before(r.From) || s.At.After(r.To) {
			continue
		}
		points = append(points, plotter.XY{
			X: s.At.Sub(r.From).Seconds(),
			Y: float64(s.Service[account]-first.Service[account]) / share,
		})
	}
	return points
}
