package hwquery

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwhead"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwstore"
	"github.com/hickorywick/hickorywick/lib/hwtask"
	"github.com/hickorywick/hickorywick/lib/hwusage"
)

// TimeRange is the time from one whole hour to another.
type TimeRange struct {
	From time.Time
	To   time.Time
}

// pageReaders bounds how many pages are read at once. The store takes two thousand reads a second, and the fleet needs some of them.
const pageReaders = 8

// pages reads the usage of every hour of a span.
func pages(ctx context.Context, store hwstore.Store, environment string, span TimeRange) ([]hwusage.Page, error) {
	var hours []time.Time
	for hour := hwusage.HourStart(span.From); hour.Before(span.To); hour = hour.Add(time.Hour) {
		hours = append(hours, hour)
	}
	read := make([]hwusage.Page, len(hours))
	next := make(chan int)
	readers := make([]<-chan error, 0, pageReaders)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range pageReaders {
		readers = append(readers, hwtask.Start(ctx, func(ctx context.Context) error {
			for i := range next {
				page, err := readPage(ctx, store, environment, hours[i])
				if err != nil {
					cancel()
					return trace.Wrap(err)
				}
				read[i] = page
			}
			return nil
		}))
	}
	for i := range hours {
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	return read, trace.Wrap(hwtask.Join(readers...))
}

func readPage(ctx context.Context, store hwstore.Store, environment string, hour time.Time) (hwusage.Page, error) {
	value, err := store.Get(ctx, hwrouter.UsageKey(environment, hour))
	if err != nil {
		return hwusage.Page{}, trace.Wrap(err)
	}
	page, err := hwusage.DecodePage(hour, value.Bytes)
	return page, trace.Wrap(err)
}

// usageLine is a line of the usage report.
type usageLine struct {
	// Hour is empty in a report over the whole span.
	Hour string `json:"hour,omitempty"`
	hwusage.AccountTotal
}

type usageReport struct {
	Lines []usageLine `json:"lines"`
	// Missing is an estimate of what is not in the lines, in cost units.
	Missing float64 `json:"may-be-missing"`
}

// Usage prints what each account used of each pool, in cost units, over a span or by hour, and how much may be missing.
func Usage(ctx context.Context, now time.Time, out io.Writer, store hwstore.Store, environment string, span TimeRange, byHour bool, output Format) error {
	// The hour before the span knows instances that died before they stored anything in its first hour.
	before := span
	before.From = span.From.Add(-time.Hour)
	read, err := pages(ctx, store, environment, before)
	if err != nil {
		return trace.Wrap(err)
	}
	report := usageReport{
		Lines:   []usageLine{},
		Missing: hwusage.EstimateMissing(now, read) - hwusage.EstimateMissing(now, read[:1]),
	}
	if byHour {
		for _, page := range read[1:] {
			report.add(page.Hour.Format(time.RFC3339), hwusage.Sum([]hwusage.Page{page}))
		}
	} else {
		report.add("", hwusage.Sum(read[1:]))
	}
	grid := grid{
		columns: []string{"hour", "pool", "account", "cost units", "part of pool"},
	}
	for _, l := range report.Lines {
		grid.add(l.Hour, l.Pool, l.Account, units(l.Units), percent(l.Share))
	}
	grid.add("", "", "may be missing", units(report.Missing), "")
	return grid.print(out, output, report)
}

func (r *usageReport) add(hour string, lines []hwusage.AccountTotal) {
	for _, line := range lines {
		r.Lines = append(r.Lines, usageLine{
			Hour:         hour,
			AccountTotal: line,
		})
	}
}

// forecastWeeks is how far back a forecast looks.
const forecastWeeks = 12

// forecastLine is a line of the forecast, in cost units.
type forecastLine struct {
	Pool    string  `json:"pool"`
	Account string  `json:"account"`
	Units   float64 `json:"units"`
	Low     float64 `json:"low"`
	High    float64 `json:"high"`
	// Part is the account's part of the pool's forecast, Share its part of all shares.
	Part  float64 `json:"part"`
	Share float64 `json:"share"`
	Weeks int     `json:"weeks"`
}

// Forecast prints the expected usage of what is to come of a span by account against its share, from the hours that have ended.
func Forecast(ctx context.Context, now time.Time, out io.Writer, store hwstore.Store, environment string, span TimeRange, output Format) error {
	end := hwusage.HourStart(now)
	read, err := pages(ctx, store, environment, TimeRange{
		From: end.Add(-forecastWeeks * 7 * 24 * time.Hour),
		To:   end,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	shares, err := sharesInForce(ctx, store, environment)
	if err != nil {
		return trace.Wrap(err)
	}
	// What has passed is in the usage report already.
	if span.From.Before(end) {
		span.From = end
	}
	lines := predictions(read, end, span, shares)
	grid := grid{
		columns: []string{"pool", "account", "cost units", "low", "high", "part of pool", "share", "weeks known"},
	}
	for _, l := range lines {
		grid.add(l.Pool, l.Account, units(l.Units), units(l.Low), units(l.High), percent(l.Part), percent(l.Share), strconv.Itoa(l.Weeks))
	}
	return grid.print(out, output, lines)
}

func predictions(read []hwusage.Page, end time.Time, span TimeRange, shares map[string]float64) []forecastLine {
	lines := []forecastLine{}
	totals := map[string]float64{}
	for _, s := range hwusage.SeriesByAccount(read, end) {
		forecast := hwusage.Predict(s.Series, span.From, span.To)
		totals[s.Pool] += forecast.Units
		lines = append(lines, forecastLine{
			Pool:    s.Pool,
			Account: s.Account,
			Units:   forecast.Units,
			Low:     forecast.Low,
			High:    forecast.High,
			Share:   shares[s.Account],
			Weeks:   forecast.Weeks,
		})
	}
	for i, line := range lines {
		if totals[line.Pool] > 0 {
			lines[i].Part = line.Units / totals[line.Pool]
		}
	}
	return lines
}

// sharesInForce returns each account's part of all shares in the document in force; there are none before the first document.
func sharesInForce(ctx context.Context, store hwstore.Store, environment string) (map[string]float64, error) {
	publisher := hwhead.New(store, queryTimeout)
	current, err := publisher.ReadHead(ctx, environment)
	if err != nil || current.Head.Version == 0 {
		return nil, trace.Wrap(err)
	}
	body, err := publisher.ReadBody(ctx, current.Head.Digest)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	document, err := hwdocument.Decode(body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	total := 0.0
	for _, account := range document.Accounts {
		total += account.Share
	}
	shares := map[string]float64{}
	for _, account := range document.Accounts {
		shares[account.Name] = account.Share / total
	}
	return shares, nil
}

func units(value float64) string { return strconv.FormatFloat(value, 'f', 0, 64) }

func percent(part float64) string { return strconv.FormatFloat(100*part, 'f', 1, 64) + " %" }
