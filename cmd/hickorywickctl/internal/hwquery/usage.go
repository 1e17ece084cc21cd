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

// TimeRange covers every hour from the one that contains From to the last one that begins before To.
type TimeRange struct {
	From time.Time
	To   time.Time
}

// maxConcurrentReads bounds how many pages are read at once. The store takes two thousand reads a second, and the fleet needs some of them.
const maxConcurrentReads = 8

// readPages reads the usage page of every hour of a time range.
func readPages(ctx context.Context, store hwstore.Store, environment string, timeRange TimeRange) ([]hwusage.Page, error) {
	var hours []time.Time
	for hour := hwusage.HourStart(timeRange.From); hour.Before(timeRange.To); hour = hour.Add(time.Hour) {
		hours = append(hours, hour)
	}
	pages := make([]hwusage.Page, len(hours))
	next := make(chan int)
	readers := make([]<-chan error, 0, maxConcurrentReads)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range maxConcurrentReads {
		readers = append(readers, hwtask.Start(ctx, func(ctx context.Context) error {
			for i := range next {
				page, err := readPage(ctx, store, environment, hours[i])
				if err != nil {
					cancel()
					return trace.Wrap(err)
				}
				pages[i] = page
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
	return pages, trace.Wrap(hwtask.Join(readers...))
}

func readPage(ctx context.Context, store hwstore.Store, environment string, hour time.Time) (hwusage.Page, error) {
	value, err := store.Get(ctx, hwrouter.UsageKey(environment, hour))
	if err != nil {
		return hwusage.Page{}, trace.Wrap(err)
	}
	page, err := hwusage.DecodePage(hour, value.Bytes)
	return page, trace.Wrap(err)
}

// usageRow is a row of the usage report.
type usageRow struct {
	// Hour is empty in a report over the whole time range.
	Hour string `json:"hour,omitempty"`
	hwusage.AccountTotal
}

type usageReport struct {
	Rows []usageRow `json:"lines"`
	// MissingUnits estimates the usage that is not in the rows yet, in cost units.
	MissingUnits float64 `json:"may-be-missing"`
}

// Usage prints what each account used of each pool, in cost units, over a time range or by hour, and an estimate of what may be missing.
func Usage(ctx context.Context, now time.Time, out io.Writer, store hwstore.Store, environment string, timeRange TimeRange, byHour bool, format Format) error {
	// The page of the hour before the range is needed for instances that died before they stored usage in its first hour.
	extended := timeRange
	extended.From = timeRange.From.Add(-time.Hour)
	pages, err := readPages(ctx, store, environment, extended)
	if err != nil {
		return trace.Wrap(err)
	}
	report := usageReport{
		Rows:         []usageRow{},
		MissingUnits: hwusage.EstimateMissing(now, pages) - hwusage.EstimateMissing(now, pages[:1]),
	}
	if byHour {
		for _, page := range pages[1:] {
			report.add(page.Hour.Format(time.RFC3339), hwusage.Sum([]hwusage.Page{page}))
		}
	} else {
		report.add("", hwusage.Sum(pages[1:]))
	}
	table := reportTable{
		columns: []string{"hour", "pool", "account", "cost units", "part of pool"},
	}
	for _, r := range report.Rows {
		table.add(r.Hour, r.Pool, r.Account, formatUnits(r.Units), formatPercent(r.Share))
	}
	table.add("", "", "may be missing", formatUnits(report.MissingUnits), "")
	return table.print(out, format, report)
}

func (r *usageReport) add(hour string, lines []hwusage.AccountTotal) {
	for _, line := range lines {
		r.Rows = append(r.Rows, usageRow{
			Hour:         hour,
			AccountTotal: line,
		})
	}
}

// forecastWeeks is how many weeks of past usage a forecast reads.
const forecastWeeks = 12

// forecastRow is a row of the forecast. Units, Low and High are in cost units.
type forecastRow struct {
	Pool    string  `json:"pool"`
	Account string  `json:"account"`
	Units   float64 `json:"units"`
	Low     float64 `json:"low"`
	High    float64 `json:"high"`
	// Part is the account's fraction of the pool's forecast, Share its fraction of all shares.
	Part  float64 `json:"part"`
	Share float64 `json:"share"`
	Weeks int     `json:"weeks"`
}

// Forecast prints each account's expected usage in the rest of a time range beside its share. It is computed from the hours that have ended.
func Forecast(ctx context.Context, now time.Time, out io.Writer, store hwstore.Store, environment string, timeRange TimeRange, format Format) error {
	end := hwusage.HourStart(now)
	pages, err := readPages(ctx, store, environment, TimeRange{
		From: end.Add(-forecastWeeks * 7 * 24 * time.Hour),
		To:   end,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	shares, err := accountShares(ctx, store, environment)
	if err != nil {
		return trace.Wrap(err)
	}
	// Hours that have ended are in the usage report already.
	if timeRange.From.Before(end) {
		timeRange.From = end
	}
	rows := forecastRows(pages, end, timeRange, shares)
	table := reportTable{
		columns: []string{"pool", "account", "cost units", "low", "high", "part of pool", "share", "weeks known"},
	}
	for _, r := range rows {
		table.add(r.Pool, r.Account, formatUnits(r.Units), formatUnits(r.Low), formatUnits(r.High), formatPercent(r.Part), formatPercent(r.Share), strconv.Itoa(r.Weeks))
	}
	return table.print(out, format, rows)
}

func forecastRows(pages []hwusage.Page, end time.Time, timeRange TimeRange, shares map[string]float64) []forecastRow {
	rows := []forecastRow{}
	totals := map[string]float64{}
	for _, s := range hwusage.SeriesByAccount(pages, end) {
		forecast := hwusage.Predict(s.Series, timeRange.From, timeRange.To)
		totals[s.Pool] += forecast.Units
		rows = append(rows, forecastRow{
			Pool:    s.Pool,
			Account: s.Account,
			Units:   forecast.Units,
			Low:     forecast.Low,
			High:    forecast.High,
			Share:   shares[s.Account],
			Weeks:   forecast.Weeks,
		})
	}
	for i, row := range rows {
		if totals[row.Pool] > 0 {
			rows[i].Part = row.Units / totals[row.Pool]
		}
	}
	return rows
}

// accountShares returns each account's fraction of all shares in the document in force, or nil before the first document.
func accountShares(ctx context.Context, store hwstore.Store, environment string) (map[string]float64, error) {
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

func formatUnits(value float64) string { return strconv.FormatFloat(value, 'f', 0, 64) }

func formatPercent(fraction float64) string {
	return strconv.FormatFloat(100*fraction, 'f', 1, 64) + " %"
}
