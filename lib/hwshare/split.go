package hwshare

import "math"

// The scale of a split: half octaves of cost, from one cost unit up.
const (
	splitBuckets   = 64
	splitPerOctave = 2
	// splitDecay forgets old costs, so that the border follows the work; it remembers some two hundred.
	splitDecay = 0.995
	// splitSamples is how many costs are needed before there is a border.
	splitSamples = 20
	// splitOctaves is how far the centres of the two groups must lie apart: a factor of about five and a half.
	splitOctaves = 2.5
)

// ThresholdEstimator finds the border between short and long work of a pool.
//
// It keeps a decaying histogram of costs on a logarithmic scale and puts the border where the variance between the two sides is largest. Unlike a multiple of the mean, the border does not move when the mix of short and long work changes.
type ThresholdEstimator struct {
	weights [splitBuckets]float64
	samples int
}

// NewThresholdEstimator returns a split that knows no cost yet.
func NewThresholdEstimator() *ThresholdEstimator { return &ThresholdEstimator{} }

// Observe takes a cost in cost units.
func (s *ThresholdEstimator) Observe(cost float64) {
	if cost <= 0 {
		return
	}
	for i := range s.weights {
		s.weights[i] *= splitDecay
	}
	bucket := int(splitPerOctave * math.Log2(math.Max(1, cost)))
	s.weights[min(bucket, splitBuckets-1)]++
	s.samples++
}

// side is the weight of the buckets on one side of a border and the sum of their positions.
type side struct {
	weight float64
	sum    float64
}

func (s side) centre() float64 { return s.sum / s.weight }

// Threshold returns the cost in cost units above which work is long, and false while the work is all of one kind.
func (s *ThresholdEstimator) Threshold() (float64, bool) {
	if s.samples < splitSamples {
		return 0, false
	}
	var total side
	for i, weight := range s.weights {
		total.weight += weight
		total.sum += weight * float64(i)
	}
	var low side
	best, at, apart := 0.0, 0.0, 0.0
	for i, weight := range s.weights {
		low.weight += weight
		low.sum += weight * float64(i)
		high := side{
			weight: total.weight - low.weight,
			sum:    total.sum - low.sum,
		}
		if low.weight == 0 || high.weight <= 0 {
			continue
		}
		distance := high.centre() - low.centre()
		if between := low.weight * high.weight * distance * distance; between > best {
			best = between
			at = (low.centre() + high.centre()) / 2
			apart = distance
		}
	}
	if apart < splitOctaves*splitPerOctave {
		return 0, false
	}
	return math.Exp2((at + 0.5) / splitPerOctave), true
}
