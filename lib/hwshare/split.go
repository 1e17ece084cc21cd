package hwshare

import "math"

// The histogram's buckets are half octaves of cost, from one cost unit up.
const (
	histogramBuckets = 64
	bucketsPerOctave = 2
	// histogramDecay reduces the weight of old costs with each new one, so that the threshold adapts to the workload. The histogram covers about the last two hundred costs.
	histogramDecay = 0.995
	// minThresholdSamples is how many costs are needed to compute a threshold.
	minThresholdSamples = 20
	// minGroupDistanceOctaves is how far the means of the two groups must be apart: a factor of about five and a half.
	minGroupDistanceOctaves = 2.5
)

// ThresholdEstimator computes the cost threshold between the short and long requests of a pool.
//
// It keeps an exponentially decaying histogram of costs on a logarithmic scale and splits it where the variance between the two groups is largest, as in Otsu's method. The threshold lies midway between the means of the two groups. Unlike a multiple of the mean cost, it does not move when the mix of short and long requests changes.
type ThresholdEstimator struct {
	weights [histogramBuckets]float64
	samples int
}

// NewThresholdEstimator returns an estimator without any samples.
func NewThresholdEstimator() *ThresholdEstimator { return &ThresholdEstimator{} }

// Observe adds a cost in cost units to the histogram.
func (e *ThresholdEstimator) Observe(cost float64) {
	if cost <= 0 {
		return
	}
	for i := range e.weights {
		e.weights[i] *= histogramDecay
	}
	bucket := int(bucketsPerOctave * math.Log2(math.Max(1, cost)))
	e.weights[min(bucket, histogramBuckets-1)]++
	e.samples++
}

// bucketGroup is the total weight of the buckets on one side of a split and the weighted sum of their indexes.
type bucketGroup struct {
	weight float64
	sum    float64
}

// mean returns the mean index of the group.
func (g bucketGroup) mean() float64 { return g.sum / g.weight }

// Threshold returns the cost in cost units above which a request is long, and false if the costs don't form two groups or there are too few of them.
func (e *ThresholdEstimator) Threshold() (float64, bool) {
	if e.samples < minThresholdSamples {
		return 0, false
	}
	var total bucketGroup
	for i, weight := range e.weights {
		total.weight += weight
		total.sum += weight * float64(i)
	}
	var low bucketGroup
	maxVariance, midpoint, groupDistance := 0.0, 0.0, 0.0
	for i, weight := range e.weights {
		low.weight += weight
		low.sum += weight * float64(i)
		high := bucketGroup{
			weight: total.weight - low.weight,
			sum:    total.sum - low.sum,
		}
		if low.weight == 0 || high.weight <= 0 {
			continue
		}
		distance := high.mean() - low.mean()
		if variance := low.weight * high.weight * distance * distance; variance > maxVariance {
			maxVariance = variance
			midpoint = (low.mean() + high.mean()) / 2
			groupDistance = distance
		}
	}
	if groupDistance < minGroupDistanceOctaves*bucketsPerOctave {
		return 0, false
	}
	return math.Exp2((midpoint + 0.5) / bucketsPerOctave), true
}
