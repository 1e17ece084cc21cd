package hwusage_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwusage"
)

var start = time.Date(2026, time.December, 1, 10, 0, 0, 0, time.UTC)

func counterOf(units float64) []hwusage.CumulativeUsage {
	return []hwusage.CumulativeUsage{{
		Pool:    "models",
		Account: "brewer",
		Units:   units,
	}}
}

func sumOf(pages map[time.Time]hwusage.Page) float64 {
	sum := 0.0
	for _, page := range pages {
		for _, row := range page.Rows {
			sum += row.Units
		}
	}
	return sum
}

// Guards against usage being counted twice or lost when a store write is retried because its response was lost. The batches cover several hours and several runs of several instances.
func TestRetriedWritesCountUsageOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pages := map[time.Time]hwusage.Page{}
		want := 0.0
		for boot := range rapid.IntRange(1, 4).Draw(t, "boots") {
			origin := hwusage.Origin{
				Instance: fmt.Sprint("router-", boot%2),
				Boot:     uint64(boot),
			}
			now := start
			r := hwusage.NewRecorder(now, origin)
			used := 0.0
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "minutes")) * time.Minute)
				used += float64(rapid.IntRange(0, 100).Draw(t, "units"))
				r.Observe(now, counterOf(used))
				for more := true; more; {
					batch := r.NextBatch(time.Minute, false)
					updated, added := pageOf(pages, batch.Hour).WithBatch(batch)
					assert.True(t, added)
					pages[batch.Hour] = updated
					if rapid.Bool().Draw(t, "response lost") {
						repeated := r.NextBatch(time.Minute, false)
						assert.Equal(t, batch, repeated)
						_, added = pages[batch.Hour].WithBatch(repeated)
						assert.False(t, added, "the page includes the batch already")
					}
					more = r.ConfirmStored()
				}
			}
			want += used
		}
		assert.InDelta(t, want, sumOf(pages), 1e-6)
	})
}

func pageOf(pages map[time.Time]hwusage.Page, hour time.Time) hwusage.Page {
	page, known := pages[hour]
	if !known {
		page.Hour = hour
	}
	return page
}

func TestGrowthIsAttributedToHourOfObservation(t *testing.T) {
	r := hwusage.NewRecorder(start.Add(50*time.Minute), hwusage.Origin{
		Instance: "router-1",
		Boot:     1,
	})
	r.Observe(start.Add(59*time.Minute), counterOf(10))
	r.Observe(start.Add(61*time.Minute), counterOf(14))
	first := r.NextBatch(time.Minute, false)
	assert.Equal(t, start, first.Hour)
	assert.InDelta(t, 10, first.Rows[0].Units, 1e-9)
	assert.Equal(t, start.Add(time.Hour), first.Through, "a batch of an hour that has ended covers it to its end")
	require.True(t, r.ConfirmStored())
	second := r.NextBatch(time.Minute, true)
	assert.Equal(t, start.Add(time.Hour), second.Hour)
	assert.InDelta(t, 4, second.Rows[0].Units, 1e-9)
	assert.True(t, second.Closed)
	assert.False(t, r.ConfirmStored())
}

// Guards against mixing up the counters of two pools of the same name: one that was removed from the document and is draining, and its successor.
func TestDrainingPoolAndSuccessorAreCountedSeparately(t *testing.T) {
	r := hwusage.NewRecorder(start, hwusage.Origin{})
	counters := func(draining, successor float64) []hwusage.CumulativeUsage {
		both := append(counterOf(draining), counterOf(successor)...)
		both[1].PoolGeneration = 1
		return both
	}
	r.Observe(start.Add(time.Minute), counters(10, 0))
	r.Observe(start.Add(2*time.Minute), counters(12, 3))
	r.ForgetPool(0)
	r.Observe(start.Add(3*time.Minute), counters(0, 4))
	assert.InDelta(t, 16, r.NextBatch(time.Minute, false).Rows[0].Units, 1e-9)
}

func TestEstimateMissing(t *testing.T) {
	contribution := func(through time.Duration, closed bool) hwusage.Contribution {
		return hwusage.Contribution{
			Origin: hwusage.Origin{
				Instance: "router-1",
				Boot:     1,
			},
			Units:    600,
			From:     start,
			Through:  start.Add(through),
			Interval: 2 * time.Minute,
			Closed:   closed,
		}
	}
	cases := []struct {
		name     string
		page     []hwusage.Contribution
		previous []hwusage.Contribution
		now      time.Duration
		want     float64
	}{
		{
			name: "covered to the end of the hour",
			page: []hwusage.Contribution{contribution(time.Hour, false)},
			now:  2 * time.Hour,
			want: 0,
		},
		{
			name: "graceful shutdown",
			page: []hwusage.Contribution{contribution(10*time.Minute, true)},
			now:  2 * time.Hour,
			want: 0,
		},
		{
			name: "crashed after ten minutes at 60 units a minute with an interval of two minutes",
			page: []hwusage.Contribution{contribution(10*time.Minute, false)},
			now:  2 * time.Hour,
			want: 120,
		},
		{
			name: "current hour, next batch not stored yet",
			page: []hwusage.Contribution{contribution(10*time.Minute, false)},
			now:  11 * time.Minute,
			want: 60,
		},
		{
			name:     "crashed before its first batch of the hour",
			previous: []hwusage.Contribution{contribution(0, false)},
			now:      2 * time.Hour,
			want:     120,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			page := hwusage.Page{
				Hour:    start,
				Origins: c.page,
			}
			previous := hwusage.Page{
				Hour: start.Add(-time.Hour),
			}
			for _, b := range c.previous {
				b.From = start.Add(-10 * time.Minute)
				previous.Origins = append(previous.Origins, b)
			}
			assert.InDelta(t, c.want, page.EstimateMissing(start.Add(c.now), previous), 1e-6)
		})
	}
}

func TestFlushIntervalGrowsWithSquareRootOfInstances(t *testing.T) {
	cases := []struct {
		instances int
		want      time.Duration
	}{
		{
			instances: 1,
			want:      time.Minute,
		},
		{
			instances: 5,
			want:      time.Minute,
		},
		{
			instances: 20,
			want:      2 * time.Minute,
		},
		{
			instances: 360,
			want:      509 * time.Second,
		},
	}
	for _, c := range cases {
		assert.Equal(t, c.want, hwusage.FlushInterval(c.instances))
	}
}

func TestPageEncodeDecodeRoundTrip(t *testing.T) {
	page, _ := hwusage.Page{
		Hour: start,
	}.WithBatch(hwusage.Batch{
		Origin: hwusage.Origin{
			Instance: "router-1",
			Boot:     7,
		},
		Sequence: 3,
		Hour:     start,
		Rows: []hwusage.Row{{
			Pool:    "models",
			Account: "brewer",
			Units:   1.5,
		}},
		From:    start,
		Through: start.Add(time.Minute),
	})
	read, err := hwusage.DecodePage(start, page.Encode())
	require.NoError(t, err)
	assert.Equal(t, page, read)
	_, err = hwusage.DecodePage(start, []byte("{"))
	var pageError *hwusage.PageError
	assert.ErrorAs(t, err, &pageError)
}

// FuzzDecodePage decodes arbitrary bytes. A page that decodes must accept a batch and survive another encoding and decoding.
func FuzzDecodePage(f *testing.F) {
	f.Add([]byte(`{"hour":"2026-12-01T10:00:00Z","rows":[{"pool":"models","account":"brewer","units":3}],"origins":[{"instance":"router-1","boot":1,"sequence":2}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		page, err := hwusage.DecodePage(start, data)
		if err != nil {
			return
		}
		origin := hwusage.Origin{
			Instance: "router-9",
		}
		page, added := page.WithBatch(hwusage.Batch{
			Origin:   origin,
			Sequence: 1 << 62,
			Rows: []hwusage.Row{{
				Pool:    "models",
				Account: "brewer",
				Units:   1,
			}},
		})
		decoded, err := hwusage.DecodePage(start, page.Encode())
		assert.NoError(t, err)
		assert.Len(t, decoded.Rows, len(page.Rows))
		included := slices.ContainsFunc(decoded.Origins, func(c hwusage.Contribution) bool { return c.Origin == origin && c.Sequence >= 1<<62 })
		assert.True(t, included, "the page must include the batch or a later one; added=%v", added)
	})
}

// BenchmarkPage encodes and decodes a page and adds a batch to it, at the current and the design size, and reports the encoded size in bytes.
func BenchmarkPage(b *testing.B) {
	sizes := []struct {
		name                       string
		accounts, pools, instances int
	}{
		{
			name:      "today",
			accounts:  16,
			pools:     2,
			instances: 5,
		},
		{
			name:      "design",
			accounts:  240,
			pools:     16,
			instances: 387,
		},
	}
	for _, size := range sizes {
		b.Run(size.name, func(b *testing.B) {
			batch := hwusage.Batch{
				From:     start,
				Through:  start.Add(time.Minute),
				Interval: time.Minute,
			}
			for account := range size.accounts {
				for pool := range size.pools {
					batch.Rows = append(batch.Rows, hwusage.Row{
						Pool:    fmt.Sprintf("pool-%02d", pool),
						Account: fmt.Sprintf("account-%03d", account),
						Units:   123456.75,
					})
				}
			}
			page := hwusage.Page{
				Hour: start,
			}
			for instance := range size.instances {
				batch.Origin.Instance = fmt.Sprintf("router-%03d", instance)
				batch.Origin.Boot = 1_764_800_000_000_000_000
				batch.Sequence++
				page, _ = page.WithBatch(batch)
			}
			for b.Loop() {
				batch.Sequence++
				read, err := hwusage.DecodePage(start, page.Encode())
				require.NoError(b, err)
				page, _ = read.WithBatch(batch)
			}
			b.ReportMetric(float64(len(page.Encode())), "bytes")
		})
	}
}

// Size and acceptance thresholds of the back-test.
const (
	backTestSeries = 300
	minCoverage    = 0.7
	maxMeanError   = 0.1
)

// Back-tests Predict on synthetic series with a trend, daily and weekly seasonality, and hourly and weekly noise: forecasts the four weeks after eight or twelve known ones and compares them with the generated usage.
func TestForecastOfSyntheticSeries(t *testing.T) {
	for _, weeks := range []int{8, 12} {
		random := rand.New(rand.NewPCG(1, uint64(weeks)))
		covered, errorSum := 0, 0.0
		for range backTestSeries {
			units := syntheticUsage(random, weeks+4)
			known := weeks * 7 * 24
			series := hwusage.Series{
				From:  start,
				Units: units[:known],
			}
			from := start.Add(time.Duration(known) * time.Hour)
			forecast := hwusage.Predict(series, from, from.Add(4*7*24*time.Hour))
			actual := 0.0
			for _, used := range units[known:] {
				actual += used
			}
			if forecast.Low <= actual && actual <= forecast.High {
				covered++
			}
			errorSum += math.Abs(forecast.Units-actual) / actual
		}
		t.Logf("weeks=%d coverage=%.3f mean-error=%.3f", weeks, float64(covered)/backTestSeries, errorSum/backTestSeries)
		assert.GreaterOrEqual(t, float64(covered)/backTestSeries, minCoverage)
		assert.LessOrEqual(t, errorSum/backTestSeries, maxMeanError)
	}
}

// syntheticUsage generates an account's hourly usage: up to 3 % growth or decline a week, daily and weekend patterns that differ by account, 30 % noise an hour and 6 % a week.
func syntheticUsage(random *rand.Rand, weeks int) []float64 {
	base := 100 + 900*random.Float64()
	trend := 0.06 * (random.Float64() - 0.5)
	dailyAmplitude := 0.8 * random.Float64()
	weekendFactor := 0.2 + 0.8*random.Float64()
	var units []float64
	for week := range weeks {
		level := base * math.Exp(trend*float64(week)+0.06*random.NormFloat64())
		for hour := range 7 * 24 {
			used := level * (1 + dailyAmplitude*math.Sin(2*math.Pi*float64(hour%24)/24)) * math.Exp(0.3*random.NormFloat64())
			if hour/24 >= 5 {
				used *= weekendFactor
			}
			units = append(units, used)
		}
	}
	return units
}

func TestForecastFromShortHistory(t *testing.T) {
	cases := []struct {
		name  string
		hours int
		want  hwusage.Forecast
	}{
		{
			name: "no history",
		},
		{
			name:  "one day",
			hours: 24,
			want: hwusage.Forecast{
				Units: 1680,
				Low:   840,
				High:  2520,
			},
		},
		{
			name:  "one week",
			hours: 7 * 24,
			want: hwusage.Forecast{
				Units: 1680,
				Low:   840,
				High:  2520,
				Weeks: 1,
			},
		},
		{
			name:  "two identical weeks",
			hours: 2 * 7 * 24,
			want: hwusage.Forecast{
				Units: 1680,
				Low:   1680,
				High:  1680,
				Weeks: 2,
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			series := hwusage.Series{
				From: start,
			}
			for range c.hours {
				series.Units = append(series.Units, 10)
			}
			from := start.Add(time.Duration(c.hours) * time.Hour)
			got := hwusage.Predict(series, from, from.Add(7*24*time.Hour))
			assert.InDelta(t, c.want.Units, got.Units, 1e-6)
			assert.InDelta(t, c.want.Low, got.Low, 1e-6)
			assert.InDelta(t, c.want.High, got.High, 1e-6)
			assert.Equal(t, c.want.Weeks, got.Weeks)
		})
	}
}

func ExampleSum() {
	recorder := hwusage.NewRecorder(start, hwusage.Origin{
		Instance: "router-1",
		Boot:     1,
	})
	recorder.Observe(start.Add(time.Minute), []hwusage.CumulativeUsage{
		{
			Pool:    "models",
			Account: "brewer",
			Units:   30,
		},
		{
			Pool:    "models",
			Account: "franchise",
			Units:   90,
		},
	})
	page, _ := hwusage.Page{
		Hour: start,
	}.WithBatch(recorder.NextBatch(time.Minute, false))
	for _, row := range hwusage.Sum([]hwusage.Page{page}) {
		fmt.Println(row.Pool, row.Account, row.Units, row.Share)
	}
	// Output:
	// models brewer 30 0.25
	// models franchise 90 0.75
}
