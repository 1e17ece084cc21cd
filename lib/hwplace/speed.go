package hwplace

import (
	"math"
	"time"
)

// The speed factor of an upstream is the time that it takes for its work relative to the pool's mean: 1.7 means 1.7 times as long. It multiplies the pool's expected prefill time, or the mean request time of a plain service.
const (
	// minSpeedFactor and maxSpeedFactor bound factors and samples of them. Upstreams of the users differ by 0.7 to 1.7.
	minSpeedFactor = 0.25
	maxSpeedFactor = 4
	// speedDeadBand is the distance from 1 within which a factor counts as exactly 1, so that noise never changes a choice.
	speedDeadBand = 0.07
	// speedDeadBandErrors is the same in standard errors of the estimate. Samples err together when they share a queue that routers don't know of yet, or an engine has less to do than others: with 3 standard errors one in 200 factors of equal engines at full load was outside, with 4 one in 350.
	speedDeadBandErrors = 5
	// speedReturnErrors is the same for a factor that is outside already. Slow upstreams get few requests, so that their factors would fall back to 1 every half a minute.
	speedReturnErrors = 2
	// speedMemory is the time constant of the decay of samples. In a fleet of 88 routers and 90 engines an engine has some four informative samples a second, so that over a hundred count.
	speedMemory = 30 * time.Second
	// speedRefresh is the time between two computations of the factors from the samples.
	speedRefresh = 200 * time.Millisecond
	// minSpeedMS is the shortest expected prefill time from which a speed is learned, in milliseconds. Below it the constant overhead dominates.
	minSpeedMS = 5
	// speedNoiseMS is the part of the time to first token that varies independently of the prompt, in milliseconds: steps of the engine, the network, and work of other routers that is not known yet. A sample whose prefill takes as long has half of the full weight. With 30 ms the factors of fast engines stayed within the dead band in a crest (docs/design/engine-speeds.md).
	speedNoiseMS = 60
	// maxSpeedDeviation bounds the deviation of a sample's logarithm from the expected one: samples that met an unknown queue or an unknown cached prefix count as 1.6 times or 0.6 times the expected time. Without the bound the noise is 1.6 times as large.
	maxSpeedDeviation = 0.5
	// speedSpread is the assumed standard deviation of the logarithms of the factors of an uneven pool. It is 0.4 for factors of 0.7, 0.7 and 1.7.
	speedSpread = 0.35
	// initialSpeedNoise is the standard deviation of the logarithm of a sample until it has been measured, and speedNoiseWeight the samples that it counts for.
	initialSpeedNoise = 0.3
	speedNoiseWeight  = 10
	// minSpeedBiasGain is the least weight of a new sample in the router's bias, which follows the pool's model over its last few dozen samples.
	minSpeedBiasGain = 0.03
	// maxPeerSpeedWeight is the largest weight of all samples of one peer in an upstream's factor, in samples, so that a wrong peer is outweighed by the others.
	maxPeerSpeedWeight = 20
	// minPeerSpeedWeight is the weight below which a peer's samples have aged out.
	minPeerSpeedWeight = 0.01
	// minSentSpeedWeight is the least weight of samples that is worth its bytes in a message to the peers.
	minSentSpeedWeight = 0.1
	// speedChangeRatio is the change of a factor that is logged, and speedChangeInterval the least time between two lines of one upstream.
	speedChangeRatio    = 1.25
	speedChangeInterval = 10 * time.Second
)

// decayedMean is a weighted mean of samples whose weights fall with their age.
type decayedMean struct {
	weight float64
	sum    float64
	at     time.Time
}

// add adds a sample.
func (d *decayedMean) add(now time.Time, value, weight float64) {
	keep := d.keep(now)
	d.weight = d.weight*keep + weight
	d.sum = d.sum*keep + value*weight
	if now.After(d.at) {
		d.at = now
	}
}

// keep returns the part of the weight that remains at the given time.
func (d *decayedMean) keep(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(d.at).Seconds()) / speedMemory.Seconds())
}

// weightAt returns the weight of the samples.
func (d *decayedMean) weightAt(now time.Time) float64 { return d.weight * d.keep(now) }

// mean returns the mean of the samples, or 0 without any.
func (d *decayedMean) mean() float64 {
	if d.weight <= 0 {
		return 0
	}
	return d.sum / d.weight
}

// speedModel estimates the speed factor of one upstream. Samples are logarithms of factors, so that twice and half as long weigh the same.
type speedModel struct {
	// samples are those of this router and of its peers.
	samples decayedMean
	// unsent are this router's samples since the last message to the peers.
	unsent decayedMean
	// peers are the weights of the samples by peer.
	peers map[string]*decayedMean
	// logFactor is the logarithm of the factor without the dead band, as of the last refresh.
	logFactor float64
	// value is the factor; 0 stands for 1.
	value float64
	// slowdowns are the slowdowns that the upstream reported.
	slowdowns decayedMean
	// lasting is the mean of the reported slowdowns, at least 1, as of the last refresh or report.
	lasting float64
	// logged is the factor that was last logged, as of loggedAt; 0 stands for 1.
	logged   float64
	loggedAt time.Time
}

// factor returns the speed factor.
func (m *speedModel) factor() float64 {
	if m.value == 0 {
		return 1
	}
	return m.value
}

// poolSpeeds is what the speed models of a pool have in common.
type poolSpeeds struct {
	refreshedAt time.Time
	// uneven reports that not all factors are 1.
	uneven bool
	// bias is the mean logarithm by which this router's samples exceed the factors. It takes up the error of the pool's model, so that peers with different models agree on the factors.
	bias       float64
	biasWeight float64
	// squares are the squared deviations of this router's samples from the factors.
	squares decayedMean
}

// noise returns the variance of the logarithm of a sample.
func (s *poolSpeeds) noise() float64 {
	return (s.squares.sum + speedNoiseWeight*initialSpeedNoise*initialSpeedNoise) / (s.squares.weight + speedNoiseWeight)
}

// learnTime updates the models of a request's time from its first event after elapsed. The upstream may be nil if it is no longer listed.
func (p *Pool) learnTime(now time.Time, s *upstreamState, r *InFlightRequest, elapsed time.Duration) {
	factor := 1.0
	if p.settings.UpstreamSpeeds && s != nil && r.state == s {
		factor = s.speed.factor() * s.currentSlowdown(now)
		p.addSpeedSample(now, s, r, elapsed)
	}
	if r.plainService {
		p.meanRequestMS += requestSmoothing * (elapsed.Seconds()*1000/factor - p.meanRequestMS)
		return
	}
	if overhead := p.FirstTokenOverhead(); factor != 1 && elapsed > overhead {
		elapsed = overhead + time.Duration(float64(elapsed-overhead)/factor)
	}
	p.prefill.addSample(r.prefillTokens, r.tokensAhead, elapsed)
}

// addSpeedSample adds a sample to the speed factor of the upstream that answered a request.
func (p *Pool) addSpeedSample(now time.Time, s *upstreamState, r *InFlightRequest, elapsed time.Duration) {
	observed, expected, weight := elapsed.Seconds()*1000, p.meanRequestMS, 1.0
	if r.queued {
		return
	}
	if !r.plainService {
		tokens := r.prefillTokens + r.tokensAhead
		expected = tokens / p.prefill.tokensPerMS
		// Like the pool's model, a sample with much work ahead, or one that is too fast for the prompt, says little about the engine.
		if r.tokensAhead > maxAheadRatio*r.prefillTokens || observed*maxTokensPerMS < tokens || expected < minSpeedMS {
			return
		}
		observed -= p.prefill.overheadMS
		weight = expected * expected / (expected*expected + speedNoiseMS*speedNoiseMS)
	}
	slowdown := s.currentSlowdown(now)
	// In a spell it is not known for which part of the time the upstream was slow.
	weight /= slowdown * slowdown
	deviation := clampLogFactor(math.Log(max(observed, 0)/(expected*slowdown))) - p.speeds.bias - s.speed.logFactor
	deviation = min(maxSpeedDeviation, max(-maxSpeedDeviation, deviation))
	p.speeds.squares.add(now, deviation*deviation, weight)
	p.speeds.biasWeight += weight
	correction := weight * max(minSpeedBiasGain, 1/p.speeds.biasWeight) * deviation
	p.speeds.bias += correction
	value := clampLogFactor(s.speed.logFactor + deviation - correction)
	s.speed.samples.add(now, value, weight)
	s.speed.unsent.add(now, value, weight)
	p.unsentObservation(s)
}

// clampLogFactor clamps the logarithm of a factor to the bounds of factors. What is not a number becomes 0.
func clampLogFactor(value float64) float64 {
	if math.IsNaN(value) {
		return 0
	}
	return min(math.Log(maxSpeedFactor), max(math.Log(minSpeedFactor), value))
}

// recordPeerSpeed adds a peer's samples to an upstream's speed factor.
func (p *Pool) recordPeerSpeed(now time.Time, s *upstreamState, router string, observation Observation) {
	weight := observation.SpeedWeight
	if !p.settings.UpstreamSpeeds || !(weight > 0) || !(observation.SpeedFactor > 0) {
		return
	}
	if s.speed.peers == nil {
		s.speed.peers = map[string]*decayedMean{}
	}
	own := s.speed.peers[router]
	if own == nil {
		own = &decayedMean{}
		s.speed.peers[router] = own
	}
	weight = min(weight, maxPeerSpeedWeight-own.weightAt(now))
	if weight <= 0 {
		return
	}
	own.add(now, 0, weight)
	s.speed.samples.add(now, clampLogFactor(math.Log(observation.SpeedFactor)), weight)
}

// refreshSpeeds computes the factors from the samples if they are due.
//
// The mean of the factors' logarithms is kept at 0: the pool's model learns the mean time from samples that are divided by the factors, so without this the two could drift in opposite directions.
func (p *Pool) refreshSpeeds(now time.Time) {
	if !p.settings.UpstreamSpeeds || now.Sub(p.speeds.refreshedAt).Abs() < speedRefresh {
		return
	}
	p.speeds.refreshedAt = now
	noise := p.speeds.noise()
	priorWeight := noise / (speedSpread * speedSpread)
	sum, total := 0.0, 0.0
	for _, s := range p.ordered {
		s.speed.refreshLasting(now)
		weight := s.speed.samples.weightAt(now)
		confidence := weight / (weight + priorWeight)
		sum += confidence * s.speed.samples.mean()
		total += confidence
		for router, own := range s.speed.peers {
			if own.weightAt(now) < minPeerSpeedWeight {
				delete(s.speed.peers, router)
			}
		}
	}
	p.speeds.uneven = false
	mean := 0.0
	if total > 0 {
		mean = sum / total
	}
	for _, s := range p.ordered {
		weight := s.speed.samples.weightAt(now)
		s.speed.logFactor = clampLogFactor(weight / (weight + priorWeight) * (s.speed.samples.mean() - mean))
		bandErrors := float64(speedDeadBandErrors)
		if s.speed.factor() != 1 {
			bandErrors = speedReturnErrors
		}
		s.speed.value = math.Exp(s.speed.logFactor)
		if band := max(math.Log(1+speedDeadBand), bandErrors*math.Sqrt(noise/max(weight, minPeerSpeedWeight))); math.Abs(s.speed.logFactor) <= band {
			s.speed.value = 1
		}
		p.speeds.uneven = p.speeds.uneven || s.speed.value != 1
	}
}

// takeSpeedObservation returns this router's samples of an upstream since the last message to the peers as one observation, and removes them. Too few of them remain for a later message.
func (p *Pool) takeSpeedObservation(upstream IDHash) (Observation, bool) {
	s := p.upstreams[p.idByHash[upstream]]
	if s == nil || s.speed.unsent.weight < minSentSpeedWeight {
		return Observation{}, false
	}
	unsent := s.speed.unsent
	s.speed.unsent = decayedMean{}
	return Observation{
		Upstream:    upstream,
		SpeedFactor: math.Exp(unsent.mean()),
		SpeedWeight: unsent.weight,
	}, true
}

// SpeedFactors are the least, the mean and the greatest speed factor of a pool's upstreams.
type SpeedFactors struct {
	Least    float64
	Mean     float64
	Greatest float64
}

// SpeedFactors returns the range of the pool's speed factors, all 1 without upstreams.
func (p *Pool) SpeedFactors() SpeedFactors {
	if len(p.upstreams) == 0 {
		return SpeedFactors{
			Least:    1,
			Mean:     1,
			Greatest: 1,
		}
	}
	factors := SpeedFactors{
		Least: maxSpeedFactor,
	}
	for _, s := range p.ordered {
		factor := s.speed.factor()
		factors.Least = min(factors.Least, factor)
		factors.Mean += factor / float64(len(p.upstreams))
		factors.Greatest = max(factors.Greatest, factor)
	}
	return factors
}

// SpeedFactor returns the speed factor of an upstream, 1 if it isn't listed.
func (p *Pool) SpeedFactor(upstream string) float64 {
	if s := p.upstreams[upstream]; s != nil {
		return s.speed.factor()
	}
	return 1
}

// SpeedChange is a change of an upstream's speed factor, for the log.
type SpeedChange struct {
	Upstream string
	From     float64
	To       float64
}

// TakeSpeedChanges returns the speed factors that have changed considerably since they were last returned.
func (p *Pool) TakeSpeedChanges(now time.Time) []SpeedChange {
	if !p.settings.UpstreamSpeeds {
		return nil
	}
	// Factors age without requests too.
	p.refreshSpeeds(now)
	var changes []SpeedChange
	for id, s := range p.upstreams {
		from, to := s.speed.logged, s.speed.factor()
		if from == 0 {
			from = 1
		}
		if max(to/from, from/to) < speedChangeRatio || now.Sub(s.speed.loggedAt) < speedChangeInterval {
			continue
		}
		s.speed.logged = to
		s.speed.loggedAt = now
		changes = append(changes, SpeedChange{
			Upstream: id,
			From:     from,
			To:       to,
		})
	}
	return changes
}

// timeFactor returns how many times longer than the pool's mean the upstream takes for its work at present.
func (p *Pool) timeFactor(now time.Time, s *upstreamState) float64 {
	if !p.settings.UpstreamSpeeds {
		return s.slowdownFactor(now)
	}
	return s.speed.factor() * s.currentSlowdown(now)
}

// affinityScore returns the score of an upstream for the affinity of a prefix, given its score by rendezvous hashing. It makes the number of prefixes of an upstream proportional to its speed, by weighted rendezvous hashing.
func (p *Pool) affinityScore(score uint64, s *upstreamState) uint64 {
	if !p.speeds.uneven {
		return score
	}
	// The logarithm is not above 0, where the bits of numbers are in falling order.
	return ^math.Float64bits(-math.Abs(s.speed.factor() * math.Log(float64(score)/0x1p64)))
}

// affinityDiscount returns the part of a request's prefill time that is subtracted from the score of its affinity upstream. A spell of slowness raises the discount like the prefill time: when the discount stayed the same, spells moved prefixes to other upstreams, whose prefill cost more than the spells.
func (p *Pool) affinityDiscount(now time.Time, e estimate) float64 {
	discount := p.settings.AffinityDiscountRatio * float64(e.prefillTokens) / p.prefill.tokensPerMS
	if p.settings.UpstreamSpeeds {
		discount *= e.upstream.currentSlowdown(now)
	}
	return discount
}
