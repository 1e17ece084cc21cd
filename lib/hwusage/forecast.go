package hwusage

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Series is an account's usage of consecutive hours, in cost units, starting with the hour From.
type Series struct {
	From  time.Time
	Units []float64
}

// Forecast is the expected usage in cost units with its 80 % prediction interval (four of five cases), from Low to High.
type Forecast struct {
	Units float64
	Low   float64
	High  float64
	// Weeks is how many whole weeks of history the forecast is based on. Below two weeks the interval is a rough guess.
	Weeks int
}

// Parameters of the forecast; design/usage.md explains them.
const (
	hoursPerWeek     = 7 * 24
	maxWeeks         = 12
	minTrendWeeks    = 4
	trendDamping     = 0.9
	intervalCoverage = 0.8
	// defaultRelativeHalfWidth is the half width of the prediction interval relative to the forecast, for a history of less than two weeks, from which no deviation can be estimated.
	defaultRelativeHalfWidth = 0.5
)

// Predict forecasts the usage between two times, both whole hours and not before the end of the series.
//
// The model is a weekly seasonal profile times a weekly total. The profile is the mean of the last weeks by hour of the week; the totals follow a linear regression with a damped trend, whose slope decays with the forecast horizon. The prediction interval follows from the residuals of the totals.
func Predict(series Series, from, to time.Time) Forecast {
	weeks := min(maxWeeks, len(series.Units)/hoursPerWeek)
	if weeks == 0 {
		return predictFlat(series, to.Sub(from).Hours())
	}
	historyStart := len(series.Units) - weeks*hoursPerWeek
	profile, totals := weeklyProfile(series.Units[historyStart:], weeks)
	trend := fitRegression(totals)
	origin := series.From.Add(time.Duration(historyStart) * time.Hour)
	units := 0.0
	horizonSum := 0.0
	hours := 0.0
	for at := from; at.Before(to); at = at.Add(time.Hour) {
		hour := int(at.Sub(origin).Hours())
		week := float64(hour)/hoursPerWeek - float64(weeks)
		units += profile[hour%hoursPerWeek] * math.Max(0, trend.predict(week))
		horizonSum += week
		hours++
	}
	if hours == 0 {
		return Forecast{
			Weeks: weeks,
		}
	}
	halfWidth := trend.halfWidth(horizonSum/hours, hours/hoursPerWeek) * hours / hoursPerWeek
	return Forecast{
		Units: units,
		Low:   math.Max(0, units-halfWidth),
		High:  units + halfWidth,
		Weeks: weeks,
	}
}

// predictFlat extrapolates the hourly mean of a series shorter than a week.
func predictFlat(series Series, hours float64) Forecast {
	if len(series.Units) == 0 {
		return Forecast{}
	}
	units := stat.Mean(series.Units, nil) * hours
	return Forecast{
		Units: units,
		Low:   (1 - defaultRelativeHalfWidth) * units,
		High:  (1 + defaultRelativeHalfWidth) * units,
	}
}

// weeklyProfile returns the fraction of a week's usage that falls in each hour of the week, and the total of each week.
func weeklyProfile(units []float64, weeks int) (profile, totals []float64) {
	profile = make([]float64, hoursPerWeek)
	totals = make([]float64, weeks)
	sum := 0.0
	for hour, used := range units {
		profile[hour%hoursPerWeek] += used
		totals[hour/hoursPerWeek] += used
		sum += used
	}
	if sum == 0 {
		return profile, totals
	}
	for hour := range profile {
		profile[hour] /= sum
	}
	return profile, totals
}

// regression is a linear regression over weekly totals. Its x axis is in weeks from the end of the series: negative values are history, positive ones the forecast.
type regression struct {
	weeks float64
	meanY float64
	meanX float64
	slope float64
	// stdDev is the standard deviation of the residuals, sumSquaresX the sum of the squared distances of the weeks from meanX.
	stdDev           float64
	sumSquaresX      float64
	degreesOfFreedom float64
}

// fitRegression fits the weekly totals; with fewer than minTrendWeeks weeks the slope is 0.
func fitRegression(totals []float64) regression {
	weeks := float64(len(totals))
	xs := make([]float64, len(totals))
	for i := range xs {
		xs[i] = float64(i) + 0.5 - weeks
	}
	r := regression{
		weeks:            weeks,
		meanY:            stat.Mean(totals, nil),
		meanX:            stat.Mean(xs, nil),
		degreesOfFreedom: weeks - 1,
	}
	if len(totals) >= minTrendWeeks {
		_, r.slope = stat.LinearRegression(xs, totals, nil, false)
		r.degreesOfFreedom = weeks - 2
	}
	residualSquares := 0.0
	for i, x := range xs {
		r.sumSquaresX += (x - r.meanX) * (x - r.meanX)
		residual := totals[i] - r.meanY - r.slope*(x-r.meanX)
		residualSquares += residual * residual
	}
	if r.degreesOfFreedom > 0 {
		r.stdDev = math.Sqrt(residualSquares / r.degreesOfFreedom)
	}
	return r
}

// predict returns the total of a week at a distance in weeks after the end of the series, with a damped slope.
func (r regression) predict(week float64) float64 {
	dampedWeeks := (1 - math.Pow(trendDamping, week)) / (1 - trendDamping)
	return r.meanY + r.slope*(dampedWeeks-r.meanX)
}

// halfWidth returns the half width of the prediction interval of the mean weekly total, over a number of weeks centred at a distance of horizon weeks after the end of the series.
func (r regression) halfWidth(horizon, weeks float64) float64 {
	if r.degreesOfFreedom <= 0 {
		return defaultRelativeHalfWidth * r.meanY
	}
	uncertainty := 1/r.weeks + 1/math.Max(1, weeks)
	if r.slope != 0 {
		uncertainty += (horizon - r.meanX) * (horizon - r.meanX) / r.sumSquaresX
	}
	student := distuv.StudentsT{
		Mu:    0,
		Sigma: 1,
		Nu:    r.degreesOfFreedom,
	}
	return student.Quantile((1+intervalCoverage)/2) * r.stdDev * math.Sqrt(uncertainty)
}
