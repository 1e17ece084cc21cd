package hwengine_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwengine"
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

// latencies are the mean time to first token and the parts of requests that are later than two limits.
type latencies struct {
	mean     time.Duration
	over800  float64
	over600  float64
	onTime   float64
	requests int
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

func TestTrial(t *testing.T) {
	for _, c := range []struct{name string; engine func(int) hwengine.Settings}{
		{"equal", nil}, {"uneven", unevenEngine}, {"disturbed", disturbedEngine}, {"both", unevenDisturbedEngine},
	} {
		for _, load := range []float64{0.5, 0.75, 1, 1.25, 1.5} {
			for _, speeds := range []bool{false, true} {
				const seeds = 8
				var sum latencies
				refused := 0
				var text string
				for seed := range uint64(seeds) {
					f, l := crest(fleetOptions{engine: c.engine, reports: true, upstreamSpeeds: speeds, seed: seed}, load)
					sum.mean += l.mean / seeds
					sum.over800 += l.over800 / seeds
					sum.over600 += l.over600 / seeds
					sum.onTime += l.onTime / seeds
					refused += f.refused
					if speeds && seed == 0 {
					for i := range engineCount {
						text += " " + strconv.FormatFloat(f.routers[0].SpeedFactor(strconv.Itoa(i)), 'f', 2, 64)
					}
					}
				}
				t.Logf("%s load %.2f speeds %-5v: mean %s, over 800 %.4f, over 600 %.4f, on time %.3f; refused %d:%s", c.name, load, speeds, sum.mean.Round(time.Millisecond), sum.over800, sum.over600, sum.onTime, refused, text)
			}
		}
	}
	assert.True(t, true)
}
