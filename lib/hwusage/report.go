package hwusage

import (
	"cmp"
	"slices"
	"time"
)

// AccountTotal is an account's usage of a pool over a period, in cost units, and its fraction of the pool's usage.
type AccountTotal struct {
	Pool    string  `json:"pool"`
	Account string  `json:"account"`
	Units   float64 `json:"units"`
	Share   float64 `json:"part"`
}

// Sum adds up the usage of pages by pool and account.
func Sum(pages []Page) []AccountTotal {
	units := map[rowKey]float64{}
	poolUnits := map[string]float64{}
	for _, page := range pages {
		for _, row := range page.Rows {
			units[rowKey{
				pool:    row.Pool,
				account: row.Account,
			}] += row.Units
			poolUnits[row.Pool] += row.Units
		}
	}
	totals := make([]AccountTotal, 0, len(units))
	for _, row := range rowsOf(units) {
		totals = append(totals, AccountTotal{
			Pool:    row.Pool,
			Account: row.Account,
			Units:   row.Units,
			Share:   row.Units / poolUnits[row.Pool],
		})
	}
	return totals
}

// EstimateMissing estimates the usage that may be missing from pages, in cost units; see Page.EstimateMissing.
func EstimateMissing(now time.Time, pages []Page) float64 {
	byHour := map[time.Time]Page{}
	for _, page := range pages {
		byHour[page.Hour.UTC()] = page
	}
	missing := 0.0
	for _, page := range pages {
		missing += page.EstimateMissing(now, byHour[page.Hour.UTC().Add(-time.Hour)])
	}
	return missing
}

// AccountSeries is an account's hourly usage of a pool.
type AccountSeries struct {
	Pool    string
	Account string
	Series  Series
}

// SeriesByAccount returns a series for each account and pool, from the first hour with usage until the end, which must be a whole hour. Hours without a page have a usage of 0.
func SeriesByAccount(pages []Page, end time.Time) []AccountSeries {
	first := end
	for _, page := range pages {
		if len(page.Rows) > 0 && page.Hour.Before(first) {
			first = page.Hour
		}
	}
	hours := max(0, int(end.Sub(first).Hours()))
	byKey := map[rowKey][]float64{}
	for _, page := range pages {
		hour := int(page.Hour.Sub(first).Hours())
		if hour < 0 || hour >= hours {
			continue
		}
		for _, row := range page.Rows {
			key := rowKey{
				pool:    row.Pool,
				account: row.Account,
			}
			if byKey[key] == nil {
				byKey[key] = make([]float64, hours)
			}
			byKey[key][hour] += row.Units
		}
	}
	all := make([]AccountSeries, 0, len(byKey))
	for key, units := range byKey {
		all = append(all, AccountSeries{
			Pool:    key.pool,
			Account: key.account,
			Series: Series{
				From:  first,
				Units: units,
			},
		})
	}
	slices.SortFunc(all, func(a, b AccountSeries) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Account, b.Account))
	})
	return all
}
