package hwengine_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwengine"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// unevenSpeeds are the time factors of the engines of a deployment whose machines differ.
var unevenSpeeds = []float64{0.7, 0.7, 1.7}

// unevenEngine returns the settings of an engine of such a deployment.
func unevenEngine(number int) hwengine.Settings {
	s := sheet()
	s.TimeFactor = unevenSpeeds[number%len(unevenSpeeds)]
	return s
}

// disturbedEngine returns the settings of an engine whose neighbours slow it down 2.5 times in spells of 600 ms, 15 % of the time.
func disturbedEngine(number int) hwengine.Settings {
	const (
		length = 600 * time.Millisecond
		period = 4 * time.Second
	)
	s := sheet()
	random := rand.New(rand.NewPCG(11, uint64(number)))
	for at := time.Duration(0); at < 5*time.Minute; {
		// The gap between two spells is uniform around its mean.
		at += time.Duration((0.5 + random.Float64()) * float64(period-length))
		s.Spells = append(s.Spells, hwengine.Spell{
			From:     at,
			To:       at + length,
			Slowdown: 2.5,
		})
		at += length
	}
	return s
}

// unevenDisturbedEngine returns the settings of an engine that differs from others and is disturbed.
func unevenDisturbedEngine(number int) hwengine.Settings {
	s := disturbedEngine(number)
	s.TimeFactor = unevenEngine(number).TimeFactor
	return s
}

// latencies are the mean time to first token, the parts of requests that are later than two limits, and the part of all requests, refused ones included, that had it within their objective.
type latencies struct {
	mean     time.Duration
	over800  float64
	over600  float64
	onTime   float64
	requests int
	refused  int
}

func (f *fleet) latencies() latencies {
	l := latencies{
		requests: len(f.firstTokens),
	}
	if l.requests == 0 {
		return l
	}
	for _, elapsed := range f.firstTokens {
		l.mean += elapsed / time.Duration(l.requests)
		if elapsed > 800*time.Millisecond {
			l.over800 += 1 / float64(l.requests)
		}
		if elapsed > 600*time.Millisecond {
			l.over600 += 1 / float64(l.requests)
		}
	}
	l.onTime = float64(f.onTime) / float64(f.admitted+f.refused)
	return l
}

// crest runs a fleet for half a minute at a moderate load and returns its latencies in ten seconds of a high one.
func crest(options fleetOptions, load float64) (*fleet, latencies) {
	f := newFleetWith(0.6*load, options)
	f.run(30 * time.Second)
	f.load = load
	f.run(2 * time.Second)
	f.resetCounts()
	f.run(10 * time.Second)
	return f, f.latencies()
}

// compare runs a crest with and without speed factors, over several seeds, and logs the means.
func compare(t *testing.T, name string, options fleetOptions, load float64) (before, after latencies) {
	t.Helper()
	const seeds = 4
	means := map[bool]latencies{}
	for _, speeds := range []bool{false, true} {
		var mean latencies
		for seed := range uint64(seeds) {
			options.upstreamSpeeds, options.seed = speeds, seed
			f, l := crest(options, load)
			mean.mean += l.mean / seeds
			mean.over800 += l.over800 / seeds
			mean.over600 += l.over600 / seeds
			mean.onTime += l.onTime / seeds
			mean.requests += l.requests
			mean.refused += f.refused
		}
		means[speeds] = mean
		t.Logf("%s, load %g, speed factors %v: mean %s, over 800 ms %.4f, over 600 ms %.4f, on time %.3f of all, %d sent, %d refused", name, load, speeds, mean.mean.Round(time.Millisecond), mean.over800, mean.over600, mean.onTime, mean.requests, mean.refused)
	}
	return means[false], means[true]
}

// Engines with time factors of 0.7, 0.7 and 1.7 share a crest. With one rate for all, waits at the slow engines are underestimated, and requests there are late.
func TestUnevenEnginesUnderACrest(t *testing.T) {
	for _, load := range []float64{0.75, 1.25} {
		before, after := compare(t, "uneven", fleetOptions{engine: unevenEngine, reports: true}, load)
		assert.Less(t, after.over800, before.over800/2, load)
		assert.Less(t, after.over600, before.over600/2, load)
		assert.Greater(t, after.onTime, before.onTime-0.01, load)
		assert.Less(t, after.mean, before.mean*105/100, load)
	}
}

// Neighbours slow engines down for 600 ms at a time. Reports of it must neither send requests away from the engines that have cached their prompts nor count after the spell.
func TestNeighboursSlowEnginesFor600ms(t *testing.T) {
	for _, load := range []float64{0.5, 0.75} {
		before, after := compare(t, "disturbed", fleetOptions{engine: disturbedEngine, reports: true}, load)
		assert.Less(t, after.over600, before.over600*12/10, load)
		assert.Greater(t, after.onTime, before.onTime-0.005, load)
		assert.Less(t, after.mean, before.mean*105/100, load)
	}
}

// Thirty routers share engines that differ and are disturbed, so that each sends an engine few requests. The samples of their peers make up for it.
func TestManyRoutersAtUnevenDisturbedEngines(t *testing.T) {
	before, after := compare(t, "uneven and disturbed, 30 routers", fleetOptions{engine: unevenDisturbedEngine, reports: true, routers: 30}, 0.75)
	assert.Less(t, after.over800, before.over800/2)
	assert.Less(t, after.over600, before.over600/2)
	assert.Greater(t, after.onTime, before.onTime)
	assert.Less(t, after.mean, before.mean)
}

// All engines are equal and highly loaded. Queues that routers don't know of yet make some samples slow, which must not set a factor.
func TestEqualEnginesHaveNoFactors(t *testing.T) {
	for _, load := range []float64{0.5, 1, 1.5} {
		f := newFleetWith(load, fleetOptions{reports: true, upstreamSpeeds: true})
		for range 40 {
			f.run(time.Second)
			for _, p := range f.routers {
				for i := range engineCount {
					assert.Equal(t, 1.0, p.SpeedFactor(strconv.Itoa(i)), load)
				}
			}
		}
	}
}

// A spell lengthens the steps that begin in it, and a time factor all steps.
func TestTimeFactorsAndSpellsLengthenSteps(t *testing.T) {
	s := sheet()
	s.TimeFactor = 2
	s.Spells = []hwengine.Spell{{
		From:     time.Second,
		To:       2 * time.Second,
		Slowdown: 2.5,
	}}
	engine := hwengine.New(s)
	times := map[int]time.Duration{}
	for i, at := range []time.Duration{0, time.Second, 2 * time.Second} {
		engine.Advance(at)
		engine.Submit(hwengine.Request{
			ID:           i,
			Prompt:       hwprompt.New("m", 1000, nil),
			OutputTokens: 1,
		})
		for id, first := range firstTokenTimes(engine.Advance(at + 500*time.Millisecond)) {
			times[id] = first - at - s.FirstToken
		}
	}
	step := 19_454 * time.Microsecond
	assert.InDelta(t, 2*step, times[0], float64(time.Millisecond))
	assert.InDelta(t, 5*step, times[1], float64(time.Millisecond))
	assert.InDelta(t, 2*step, times[2], float64(time.Millisecond))
}
