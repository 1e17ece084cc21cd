package hwusage

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Series is an account's usage by hour, in cost units, from an hour on without gaps.
type Series struct {
	From  time.Time
	Units []float64
}

// Forecast is the expected usage in cost units, with the range in which it lies in four of five cases.
type Forecast struct {
	Units float64
	Low   float64
	High  float64
	// Weeks is how many whole weeks it rests on. Below two the range is a rough guess.
	Weeks int
}

// The method's constants; design/usage.md explains them.
const (
	hoursPerWeek = 7 * 24
	mostWeeks    = 12
	trendWeeks   = 4
	damping      = 0.9
	rangePart    = 0.8
	// guessedRange is the relative half width without two weeks to learn it from.
	guessedRange = 0.5
)

// Predict returns the usage from one time to another, both whole hours after the series.
//
// A week has a typical profile by its hours, and a total. The profile is the mean of the last weeks; the totals follow a line whose slope is damped more the farther it reaches. The range comes from how far the totals lay from the line.
func Predict(series Series, from, to time.Time) Forecast {
	weeks := min(mostWeeks, len(series.Units)/hoursPerWeek)
	if weeks == 0 {
		return predictFlat(series, to.Sub(from).Hours())
	}
	begin := len(series.Units) - weeks*hoursPerWeek
	profile, totals := profileOf(series.Units[begin:], weeks)
	line := fit(totals)
	origin := series.From.Add(time.Duration(begin) * time.Hour)
	units := 0.0
	ahead := 0.0
	hours := 0.0
	for at := from; at.Before(to); at = at.Add(time.Hour) {
		hour := int(at.Sub(origin).Hours())
		week := float64(hour)/hoursPerWeek - float64(weeks)
		units += profile[hour%hoursPerWeek] * math.Max(0, line.level(week))
		ahead += week
		hours++
	}
	if hours == 0 {
		return Forecast{
			Weeks: weeks,
		}
	}
	spread := line.halfRange(ahead/hours, hours/hoursPerWeek) * hours / hoursPerWeek
	return Forecast{
		Units: units,
		Low:   math.Max(0, units-spread),
		High:  units + spread,
		Weeks: weeks,
	}
}

// predictFlat extends the mean of less than a week.
func predictFlat(series Series, hours float64) Forecast {
	if len(series.Units) == 0 {
		return Forecast{}
	}
	units := stat.Mean(series.Units, nil) * hours
	return Forecast{
		Units: units,
		Low:   (1 - guessedRange) * units,
		High:  (1 + guessedRange) * units,
	}
}

// profileOf returns the part of a week's usage that falls in each of its hours, and the totals of the weeks.
func profileOf(units []float64, weeks int) (profile, totals []float64) {
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

// line is a straight line through weekly totals; week 0 is the week after the last one.
type line struct {
	weeks  float64
	mean   float64
	centre float64
	slope  float64
	// deviation is the standard deviation of a week's total from the line, spreadX the sum of squared distances of the weeks from their centre, freedom the degrees of freedom.
	deviation float64
	spreadX   float64
	freedom   float64
}

// fit returns the line; with too few weeks for a trend it is level.
func fit(totals []float64) line {
	weeks := float64(len(totals))
	xs := make([]float64, len(totals))
	for i := range xs {
		xs[i] = float64(i) + 0.5 - weeks
	}
	l := line{
		weeks:   weeks,
		mean:    stat.Mean(totals, nil),
		centre:  stat.Mean(xs, nil),
		freedom: weeks - 1,
	}
	if len(totals) >= trendWeeks {
		_, l.slope = stat.LinearRegression(xs, totals, nil, false)
		l.freedom = weeks - 2
	}
	squares := 0.0
	for i, x := range xs {
		l.spreadX += (x - l.centre) * (x - l.centre)
		off := totals[i] - l.mean - l.slope*(x-l.centre)
		squares += off * off
	}
	if l.freedom > 0 {
		l.deviation = math.Sqrt(squares / l.freedom)
	}
	return l
}

// level returns a week's total at a distance in weeks from the end of the series.
func (l line) level(week float64) float64 {
	reached := (1 - math.Pow(damping, week)) / (1 - damping)
	return l.mean + l.slope*(reached-l.centre)
}

// halfRange returns the half width of the range of a week's mean total, over a number of weeks around a distance ahead.
func (l line) halfRange(ahead, weeks float64) float64 {
	if l.freedom <= 0 {
		return guessedRange * l.mean
	}
	uncertainty := 1/l.weeks + 1/math.Max(1, weeks)
	if l.slope != 0 {
		uncertainty += (ahead - l.centre) * (ahead - l.centre) / l.spreadX
	}
	student := distuv.StudentsT{
		Mu:    0,
		Sigma: 1,
		Nu:    l.freedom,
	}
	return student.Quantile((1+rangePart)/2) * l.deviation * math.Sqrt(uncertainty)
}
