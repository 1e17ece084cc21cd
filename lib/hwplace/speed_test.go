package hwplace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// speedPool returns a pool of engines that learns their speeds.
func speedPool(count int) *hwplace.Pool { return jitteredPool(count, true) }

// jitteredPool returns a pool of engines in which no two scores are equal.
func jitteredPool(count int, speeds bool) *hwplace.Pool {
	s := settings()
	s.EngineJitterMS = 20
	s.UpstreamSpeeds = speeds
	p := hwplace.New(s, hwplace.NewNotices(), hwplace.NewEvacuations(), 500_000)
	p.SetUpstreams(upstreams("engine", count))
	return p
}

// speedTrial sends requests to a pool whose upstreams take a factor of the usual time.
type speedTrial struct {
	pool    *hwplace.Pool
	random  *rand.Rand
	factors map[string]float64
	// noise is the standard deviation of the logarithm of the time to first token.
	noise float64
	now   time.Time
}

func newSpeedTrial(pool *hwplace.Pool, factors ...float64) *speedTrial {
	s := &speedTrial{
		pool:    pool,
		random:  rand.New(rand.NewPCG(3, 4)),
		factors: map[string]float64{},
		noise:   0.1,
		now:     start,
	}
	for i, factor := range factors {
		s.factors["engine-"+strconv.Itoa(i)] = factor
	}
	return s
}

// run sends one request of some thousand tokens every 200 ms and returns the chosen upstreams.
func (s *speedTrial) run(t require.TestingT, requests int) []string {
	var chosen []string
	for range requests {
		s.now = s.now.Add(200 * time.Millisecond)
		request := hwplace.Request{
			Prompt: hwprompt.New("m", 2000+s.random.IntN(8000), nil),
			Random: s.random.Float64(),
		}
		choice, found := s.pool.Choose(s.now, request)
		require.True(t, found)
		chosen = append(chosen, choice.Upstream.ID)
		s.answer(choice, request)
	}
	return chosen
}

// answer starts a request and answers it after the time that its upstream takes.
func (s *speedTrial) answer(choice hwplace.Choice, request hwplace.Request) {
	inFlight := s.pool.Start(s.now, choice, request)
	factor := s.factors[choice.Upstream.ID] * math.Exp(s.noise*s.random.NormFloat64())
	elapsed := 20*time.Millisecond + time.Duration(factor*float64(choice.PrefillTokens)/50*float64(time.Millisecond))
	s.pool.RecordProgress(s.now.Add(elapsed), inFlight)
	s.pool.Finish(s.now.Add(elapsed), inFlight, false)
}

// runEverywhere sends requests to all upstreams in turn, whatever the choice would be.
func (s *speedTrial) runEverywhere(rounds int) {
	list := upstreams("engine", len(s.factors))
	for range rounds {
		for _, u := range list {
			s.now = s.now.Add(200 * time.Millisecond)
			tokens := 2000 + s.random.IntN(8000)
			request := hwplace.Request{
				Prompt: hwprompt.New("m", tokens, nil),
			}
			// A choice refreshes the factors.
			s.pool.Choose(s.now, request)
			s.answer(hwplace.Choice{
				Upstream:      u,
				PrefillTokens: tokens,
			}, request)
		}
	}
}

// prefillTime returns the estimated prefill time of a prompt at an upstream.
func (s *speedTrial) prefillTime(t *testing.T, upstream string) time.Duration {
	request := hwplace.Request{
		Prompt: hwprompt.New("m", 10_000, nil),
	}
	for id := range s.factors {
		if id != upstream {
			request.Excluded = append(request.Excluded, id)
		}
	}
	return choose(t, s.pool, s.now, request).PrefillTime
}

func ExamplePool_SpeedFactor() {
	trial := newSpeedTrial(speedPool(3), 0.7, 0.7, 1.7)
	trial.noise = 0
	trial.runEverywhere(30)
	fmt.Printf("%.1f %.1f\n", trial.pool.SpeedFactor("engine-0"), trial.pool.SpeedFactor("engine-2"))
	// Output:
	// 0.8 1.7
}

// The engines of a deployment differ by factors of 0.7 to 1.7. One model for all of them underestimates the slow ones and overestimates the fast ones.
func TestUnevenEnginesGetFactorsOfTheirOwn(t *testing.T) {
	trial := newSpeedTrial(speedPool(3), 0.7, 0.7, 1.7)
	trial.runEverywhere(100)
	for id, factor := range trial.factors {
		want := time.Duration(factor * 10_000 / 50 * float64(time.Millisecond))
		assert.InEpsilon(t, want, trial.prefillTime(t, id), 0.12, id)
	}
	chosen := map[string]int{}
	for _, id := range trial.run(t, 300) {
		chosen[id]++
	}
	assert.Less(t, chosen["engine-2"], 30, "idle fast engines are preferred")
}

// The pool's rate and the factors are learned from the same samples. If they could move against each other, the rate would drift away over hours.
func TestRateAndFactorsDoNotDrift(t *testing.T) {
	trial := newSpeedTrial(speedPool(3), 0.7, 0.7, 1.7)
	trial.noise = 0.3
	var rates []float64
	for range 40 {
		trial.runEverywhere(100)
		rate, _ := trial.pool.LearnedRates()
		rates = append(rates, rate)
		speeds := trial.pool.SpeedFactors()
		assert.InDelta(t, 0.75, speeds.Least, 0.12)
		assert.InDelta(t, 1.8, speeds.Greatest, 0.25)
	}
	// The geometric mean of the factors is 0.94.
	for _, rate := range rates {
		assert.InEpsilon(t, 50/0.94, rate, 0.15)
	}
}

// Samples of equal engines are noisy. Factors must stay at exactly 1 then, and every choice must be the same as without them.
func TestEqualEnginesAreChosenAsWithoutFactors(t *testing.T) {
	for _, noise := range []float64{0, 0.1, 0.3, 0.6} {
		with, without := newSpeedTrial(speedPool(4), 1, 1, 1, 1), newSpeedTrial(jitteredPool(4, false), 1, 1, 1, 1)
		with.noise, without.noise = noise, noise
		for range 20 {
			assert.Equal(t, without.run(t, 50), with.run(t, 50), noise)
			assert.Equal(t, hwplace.SpeedFactors{Least: 1, Mean: 1, Greatest: 1}, with.pool.SpeedFactors(), noise)
		}
		wantRate, _ := without.pool.LearnedRates()
		rate, _ := with.pool.LearnedRates()
		assert.Equal(t, wantRate, rate)
	}
}

// One request met an unknown queue. A single slow answer must not turn others away from an engine.
func TestFewSamplesHaveLittleWeight(t *testing.T) {
	trial := newSpeedTrial(speedPool(3), 1, 1, 1)
	trial.runEverywhere(2)
	trial.factors["engine-1"] = 4
	trial.runEverywhere(1)
	trial.factors["engine-1"] = 1
	trial.runEverywhere(1)
	assert.Equal(t, hwplace.SpeedFactors{Least: 1, Mean: 1, Greatest: 1}, trial.pool.SpeedFactors())
}

// On a large deployment a router sends an engine one request every ten seconds, too few to learn its speed alone. Its peers' samples make up for that, and none is counted twice.
func TestPeersShareTheirSamples(t *testing.T) {
	routers := make([]*speedTrial, 12)
	for i := range routers {
		routers[i] = newSpeedTrial(speedPool(6), 0.7, 0.7, 1.7, 0.7, 0.7, 1.7)
		routers[i].random = rand.New(rand.NewPCG(1, uint64(i)))
	}
	now := start
	for range 12 {
		for i, from := range routers {
			from.now = now
			from.runEverywhere(1)
			now = from.now
			observations := from.pool.TakeObservations(now, 100)
			for j, to := range routers {
				for _, observation := range observations {
					if i != j {
						to.pool.RecordPeerObservation(now, strconv.Itoa(i), observation)
					}
				}
			}
		}
	}
	for i, router := range routers {
		assert.Empty(t, router.pool.TakeObservations(now, 100), "what peers observed is not passed on")
		router.pool.Choose(now.Add(time.Second), documentRequest(1, 1))
		assert.InDelta(t, 0.745, router.pool.SpeedFactor("engine-0"), 0.1, i)
		assert.InDelta(t, 1.81, router.pool.SpeedFactor("engine-2"), 0.3, i)
	}
}

// A peer with a fault reports a factor far beyond the bounds, with any weight. Other routers' samples must outweigh it.
func TestNonsenseOfOnePeerIsOutweighed(t *testing.T) {
	p := speedPool(3)
	now := start
	for i := range 300 {
		now = start.Add(time.Duration(i) * 100 * time.Millisecond)
		for peer := range 8 {
			for u := range 3 {
				p.RecordPeerObservation(now, "peer-"+strconv.Itoa(peer), hwplace.Observation{
					Upstream:    hwplace.HashID("engine-" + strconv.Itoa(u)),
					SpeedFactor: 1,
					SpeedWeight: 0.1,
				})
			}
		}
		for _, factor := range []float64{1e9, math.Inf(1), math.NaN(), -1, 0} {
			for _, weight := range []float64{1e9, math.Inf(1), math.NaN(), -1} {
				p.RecordPeerObservation(now, "wrong", hwplace.Observation{
					Upstream:    hwplace.HashID("engine-0"),
					SpeedFactor: factor,
					SpeedWeight: weight,
				})
			}
		}
	}
	p.Choose(now, documentRequest(1, 1))
	// Its 20 samples of a factor of 4 are beside 120 of 1, relative to the pool's mean.
	assert.LessOrEqual(t, p.SpeedFactor("engine-0"), math.Pow(4, 20.0/140))
	assert.GreaterOrEqual(t, p.SpeedFactors().Least, 0.9)
	for later := range 20 {
		p.Choose(now.Add(time.Duration(later)*30*time.Second), documentRequest(1, 1))
	}
	assert.Equal(t, hwplace.SpeedFactors{Least: 1, Mean: 1, Greatest: 1}, p.SpeedFactors(), "what peers report ages out")
}

// A replica starts again on another machine. Its speed must be learned anew, and answers of the former lifetime must not count for it.
func TestANewLifetimeStartsANewEstimate(t *testing.T) {
	trial := newSpeedTrial(speedPool(3), 0.7, 0.7, 1.7)
	trial.runEverywhere(60)
	require.Greater(t, trial.pool.SpeedFactor("engine-2"), 1.4)
	list := upstreams("engine", 3)
	request := hwplace.Request{
		Prompt: hwprompt.New("m", 9000, nil),
	}
	former := trial.pool.Start(trial.now, hwplace.Choice{Upstream: list[2], PrefillTokens: 9000}, request)
	list[2].Incarnation++
	trial.pool.SetUpstreams(list)
	assert.Equal(t, 1.0, trial.pool.SpeedFactor("engine-2"))
	trial.pool.RecordProgress(trial.now.Add(10*time.Second), former)
	for _, observation := range trial.pool.TakeObservations(trial.now, 100) {
		assert.NotEqual(t, hwplace.HashID("engine-2"), observation.Upstream)
	}
	trial.factors["engine-2"] = 0.7
	trial.runEverywhere(60)
	assert.InEpsilon(t, 1, trial.pool.SpeedFactor("engine-2"), 0.2, "equal to the others by now")
}

// Neighbours slow an engine down 2.5 times in spells of 600 ms, which it reports. A spell must not enter the lasting factor, and a report from a spell must not count any longer than the spell lasts.
func TestSpellsAreNotLasting(t *testing.T) {
	trial := newSpeedTrial(speedPool(3), 1, 1, 1)
	for i := range 200 {
		slowdown := 1.0
		if i%7 == 0 {
			slowdown = 2.5
		}
		trial.factors["engine-0"] = slowdown
		trial.pool.RecordLoad(trial.now, "engine-0", hwplace.Load{Slots: 64, SlowdownPercent: int(100 * slowdown)})
		trial.runEverywhere(1)
	}
	assert.Equal(t, hwplace.SpeedFactors{Least: 1, Mean: 1, Greatest: 1}, trial.pool.SpeedFactors())
	before := trial.prefillTime(t, "engine-0")
	trial.now = trial.now.Add(2 * time.Second)
	trial.pool.RecordLoad(trial.now, "engine-0", hwplace.Load{Slots: 64, SlowdownPercent: 250})
	assert.Greater(t, trial.prefillTime(t, "engine-0"), 2*before)
	trial.now = trial.now.Add(700 * time.Millisecond)
	assert.Less(t, trial.prefillTime(t, "engine-0"), before*3/2, "the spell is likely to be over")
}

// The machines of a plain service differ too. Requests go where they take less time.
func TestPlainServicesHaveFactorsOfTheRequestTime(t *testing.T) {
	s := settings()
	s.UpstreamSpeeds = true
	s.ServiceJitterRatio = 0.5
	p := hwplace.New(s, hwplace.NewNotices(), hwplace.NewEvacuations(), 0)
	list := upstreams("service", 3)
	for i := range list {
		list[i].Slots = 6
	}
	p.SetUpstreams(list)
	random := rand.New(rand.NewPCG(1, 2))
	times := map[string]float64{"service-0": 42, "service-1": 42, "service-2": 102}
	chosen := map[string]int{}
	greatest := 1.0
	now := start
	for i := range 1000 {
		now = now.Add(150 * time.Millisecond)
		request := hwplace.Request{
			Random: random.Float64(),
		}
		choice := choose(t, p, now, request)
		if i >= 500 {
			chosen[choice.Upstream.ID]++
			greatest = max(greatest, p.SpeedFactor("service-2"))
		}
		inFlight := p.Start(now, choice, request)
		end := now.Add(time.Duration(times[choice.Upstream.ID] * math.Exp(0.2*random.NormFloat64()) * float64(time.Millisecond)))
		p.RecordProgress(end, inFlight)
		p.Finish(end, inFlight, false)
	}
	// A slow upstream that gets no requests is forgotten after some time and tried again.
	assert.InDelta(t, 1.8, greatest, 0.3)
	assert.Less(t, chosen["service-2"], 100)
	assert.Greater(t, chosen["service-0"], 150)
	assert.Greater(t, chosen["service-1"], 150)
}

// Without the setting, what peers report of speeds changes nothing.
func TestWithoutTheSettingPeersChangeNothing(t *testing.T) {
	p := enginePool(2)
	before := choose(t, p, start, documentRequest(1, 1))
	for range 50 {
		p.RecordPeerObservation(start, "peer", hwplace.Observation{
			Upstream:    hwplace.HashID(before.Upstream.ID),
			SpeedFactor: 4,
			SpeedWeight: 5,
		})
	}
	assert.Equal(t, before, choose(t, p, start.Add(time.Second), documentRequest(1, 1)))
	assert.Empty(t, p.TakeSpeedChanges(start))
}

// A change is logged once, and again only after a further one.
func TestSpeedChangesAreReportedOnce(t *testing.T) {
	trial := newSpeedTrial(speedPool(3), 0.7, 0.7, 1.7)
	trial.runEverywhere(100)
	require.NotEmpty(t, trial.pool.TakeSpeedChanges(trial.now))
	assert.Empty(t, trial.pool.TakeSpeedChanges(trial.now))
	trial.runEverywhere(20)
	assert.Empty(t, trial.pool.TakeSpeedChanges(trial.now))
}

// Whatever upstreams and peers report, in whatever order of time, factors stay within their bounds, and estimates are numbers.
func TestFactorsStayInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := speedPool(3)
		list := upstreams("engine", 3)
		now := start
		var inFlight []*hwplace.InFlightRequest
		anyFloat := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, 1, math.NaN(), math.Inf(1), math.Inf(-1)}))
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-2000, 20_000).Draw(t, "ms")) * time.Millisecond)
			upstream := rapid.IntRange(0, 2).Draw(t, "upstream")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				request := hwplace.Request{
					Prompt: hwprompt.New("m", rapid.IntRange(0, 60_000).Draw(t, "tokens"), nil),
				}
				if choice, found := p.Choose(now, request); found {
					inFlight = append(inFlight, p.Start(now, choice, request))
				}
			case 1:
				if len(inFlight) > 0 {
					p.RecordProgress(now, inFlight[0])
					p.Finish(now, inFlight[0], false)
					inFlight = inFlight[1:]
				}
			case 2:
				p.RecordLoad(now, list[upstream].ID, hwplace.Load{SlowdownPercent: rapid.Int().Draw(t, "slowdown")})
			case 3:
				p.RecordPeerObservation(now, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "peer"), hwplace.Observation{
					Upstream:    hwplace.HashID(list[upstream].ID),
					SpeedFactor: anyFloat.Draw(t, "factor"),
					SpeedWeight: anyFloat.Draw(t, "weight"),
				})
			case 4:
				list[upstream].Incarnation++
				p.SetUpstreams(list)
			case 5:
				for _, observation := range p.TakeObservations(now, 10) {
					if observation.SpeedWeight > 0 && !(observation.SpeedFactor >= 0.25-1e-9 && observation.SpeedFactor <= 4+1e-9) {
						t.Fatalf("observation %+v", observation)
					}
				}
			}
			speeds := p.SpeedFactors()
			if !(speeds.Least >= 0.25-1e-9 && speeds.Least <= speeds.Greatest && speeds.Greatest <= 4+1e-9) || math.IsNaN(speeds.Mean) {
				t.Fatalf("factors %+v", speeds)
			}
			rate, _ := p.LearnedRates()
			choice, found := p.Choose(now, documentRequest(1, 1))
			if !found || !(rate >= 10 && rate <= 400) || choice.PrefillTime < 0 || choice.PrefillTime > time.Hour || choice.QueueWait < 0 {
				t.Fatalf("rate %g, choice %+v", rate, choice)
			}
		}
	})
}

// BenchmarkChooseWithSpeeds measures one choice among the engines of a large deployment, which all differ and have reported a slowdown lately.
func BenchmarkChooseWithSpeeds(b *testing.B) {
	for _, speeds := range []bool{false, true} {
		b.Run(fmt.Sprintf("speeds-%v", speeds), func(b *testing.B) {
			const engines = 140
			p := jitteredPool(engines, speeds)
			for i := range engines {
				id := "engine-" + strconv.Itoa(i)
				p.RecordLoad(start, id, hwplace.Load{Slots: 64, SlowdownPercent: 150})
				for peer := range 8 {
					p.RecordPeerObservation(start, strconv.Itoa(peer), hwplace.Observation{
						Upstream:    hwplace.HashID(id),
						SpeedFactor: []float64{0.7, 0.7, 1.7}[i%3],
						SpeedWeight: 10,
					})
				}
			}
			for i := range b.N {
				p.Choose(start.Add(time.Duration(i)*time.Microsecond), documentRequest(uint64(i%200), uint64(i)))
			}
		})
	}
}

// BenchmarkRecordPeerSpeed measures what a peer's samples of one upstream cost its receiver.
func BenchmarkRecordPeerSpeed(b *testing.B) {
	p := jitteredPool(90, true)
	for i := range b.N {
		p.RecordPeerObservation(start.Add(time.Duration(i)*time.Millisecond), strconv.Itoa(i%87), hwplace.Observation{
			Upstream:    hwplace.HashID("engine-1"),
			SpeedFactor: 1.2,
			SpeedWeight: 0.5,
		})
	}
}
