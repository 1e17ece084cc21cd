package hwengine_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwengine"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// kind is a kind of request of the modelled load.
type kind struct {
	objective    time.Duration
	sharedTokens int
	ownTokens    float64
	outputTokens int
	documents    uint64
	perSecond    float64
}

// kinds are long drafts, chat replies and short hints, as a customer sends them to nine engines.
var kinds = []kind{
	{objective: 800 * time.Millisecond, sharedTokens: 4_900, ownTokens: 5_000, outputTokens: 380, documents: 78, perSecond: 33},
	{objective: 300 * time.Millisecond, sharedTokens: 200, ownTokens: 600, outputTokens: 290, documents: 150, perSecond: 97},
	{objective: 400 * time.Millisecond, sharedTokens: 570, ownTokens: 1_800, outputTokens: 22, documents: 130, perSecond: 55},
}

const (
	engineCount  = 9
	routerCount  = 4
	tick         = time.Millisecond
	reportPeriod = 100 * time.Millisecond
)

// pending is a request in flight.
type pending struct {
	kind     kind
	router   int
	inFlight *hwplace.InFlightRequest
}

// fleet is several routers that share engines, in virtual time. Routers hear of each other's load with a delay of reportPeriod, as they do by datagrams.
type fleet struct {
	random  *rand.Rand
	now     time.Duration
	engines []*hwengine.Engine
	routers []*hwplace.Pool
	pending map[int]*pending
	nextID  int
	// load multiplies the rates of all kinds.
	load    float64
	options fleetOptions
	// firstTokens are the times to first token since resetCounts.
	firstTokens []time.Duration
	// admitted, refused and onTime count the requests since resetCounts.
	admitted, refused, onTime int
}

// fleetOptions are the variations of the modelled fleet.
type fleetOptions struct {
	// engine returns the settings of an engine by its number; nil makes all equal.
	engine func(number int) hwengine.Settings
	// reports makes engines report their load and slowdown in their answers, and routers exchange observations.
	reports bool
	// admitAll sends every request, however long its wait.
	admitAll bool
	// upstreamSpeeds enables the speed factors of the routers.
	upstreamSpeeds bool
	// routers is the number of routers; 0 stands for routerCount.
	routers int
	// seed is added to that of the arrivals.
	seed uint64
	// kinds are the kinds of requests; nil stands for the modelled load.
	kinds []kind
}

var epoch = time.Unix(1_700_000_000, 0)

func (f *fleet) clock() time.Time { return epoch.Add(f.now) }

func newFleet(load float64) *fleet { return newFleetWith(load, fleetOptions{}) }

func newFleetWith(load float64, options fleetOptions) *fleet {
	f := &fleet{
		random:  rand.New(rand.NewPCG(7, 7+options.seed)),
		pending: map[int]*pending{},
		load:    load,
		options: options,
	}
	if options.kinds == nil {
		f.options.kinds = kinds
	}
	if options.routers == 0 {
		f.options.routers = routerCount
	}
	for i := range engineCount {
		s := sheet()
		if options.engine != nil {
			s = options.engine(i)
		}
		f.engines = append(f.engines, hwengine.New(s))
	}
	f.restartRouters()
	return f
}

// restartRouters replaces all routers by new ones, as after a loss of power. The engines keep running.
func (f *fleet) restartRouters() {
	upstreams := make([]hwplace.Upstream, 0, engineCount)
	for i := range engineCount {
		upstreams = append(upstreams, hwplace.Upstream{
			ID:      strconv.Itoa(i),
			Address: "10.0.0." + strconv.Itoa(i) + ":80",
			Slots:   sheet().Slots,
		})
	}
	f.routers = nil
	for range f.options.routers {
		p := hwplace.New(hwplace.Settings{
			InitialPrefillTokensPerMS: 45,
			LoadWeight:                0.25,
			CacheMissWeight:           2,
			PrefixCacheRatio:          0.6,
			AffinityDiscountRatio:     1,
			EngineJitterMS:            20,
			UpstreamSpeeds:            f.options.upstreamSpeeds,
		}, hwplace.NewNotices(), hwplace.NewEvacuations(), 560_000)
		p.SetUpstreams(upstreams)
		f.routers = append(f.routers, p)
	}
	f.pending = map[int]*pending{}
}

// document returns the shared segment of a kind's prompts.
func (k kind) document(number uint64) hwprompt.Segment {
	return hwprompt.Segment{
		ID:     uint64(k.sharedTokens)<<32 + number,
		Tokens: k.sharedTokens,
	}
}

// listCaches tells every router what the engines have cached.
func (f *fleet) listCaches() {
	for i, engine := range f.engines {
		var held []hwprompt.CachedSegment
		for _, k := range kinds {
			for number := range k.documents {
				segment := k.document(number)
				if engine.CachedTokens(hwprompt.New("m", 0, []hwprompt.Segment{segment})) > 0 {
					held = append(held, hwprompt.CachedSegment{
						Model:   "m",
						Segment: segment,
					})
				}
			}
		}
		for _, p := range f.routers {
			p.RecordCacheList(strconv.Itoa(i), held)
		}
	}
}

func (f *fleet) resetCounts() {
	f.admitted, f.refused, f.onTime = 0, 0, 0
	f.firstTokens = nil
}

// run advances the fleet under load.
func (f *fleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += tick {
		for _, engine := range f.engines {
			for _, event := range engine.Advance(f.now) {
				f.handleEvent(event)
			}
		}
		if f.now%reportPeriod == 0 {
			f.exchangeLoads()
		}
		for _, k := range f.options.kinds {
			if f.random.Float64() < f.load*k.perSecond*tick.Seconds() {
				f.arrive(k)
			}
		}
	}
}

func (f *fleet) exchangeLoads() {
	for from, p := range f.routers {
		loads := p.LocalLoads()
		observations := p.TakeObservations(f.clock(), 100)
		for to, peer := range f.routers {
			if to != from {
				peer.SetPeerLoads(f.clock(), strconv.Itoa(from), loads)
				for _, observation := range observations {
					peer.RecordPeerObservation(f.clock(), strconv.Itoa(from), observation)
				}
			}
		}
	}
}

func (f *fleet) handleEvent(event hwengine.Event) {
	r := f.pending[event.ID]
	if r == nil {
		return
	}
	p := f.routers[r.router]
	if event.Finished {
		p.Finish(epoch.Add(event.At), r.inFlight, false)
		delete(f.pending, event.ID)
		return
	}
	if f.options.reports {
		f.reportLoad(event, r)
	}
	if first, elapsed := p.RecordProgress(epoch.Add(event.At), r.inFlight); first {
		f.firstTokens = append(f.firstTokens, elapsed)
		if elapsed <= r.kind.objective {
			f.onTime++
		}
	}
}

// reportLoad passes what the engine states with a request's first token to its router.
func (f *fleet) reportLoad(event hwengine.Event, r *pending) {
	number, _ := strconv.Atoi(r.inFlight.Upstream)
	engine := f.engines[number]
	f.routers[r.router].RecordLoad(epoch.Add(event.At), r.inFlight.Upstream, hwplace.Load{
		Running:         engine.Running(),
		Waiting:         engine.Waiting(),
		Slots:           sheet().Slots,
		SlowdownPercent: int(100 * engine.Slowdown()),
	})
}

// arrive handles a new request at a random router.
func (f *fleet) arrive(k kind) {
	router := f.random.IntN(f.options.routers)
	p := f.routers[router]
	request := hwplace.Request{
		Prompt: hwprompt.New("m", k.sharedTokens+int(k.ownTokens*f.random.ExpFloat64()), []hwprompt.Segment{k.document(f.random.Uint64N(k.documents)), {ID: f.random.Uint64()}}),
		Random: f.random.Float64(),
	}
	choice, _ := p.Choose(f.clock(), request)
	decision := hwadmit.Settings{MaxWaitRatio: 0.35, UnusedShareFactor: 2, OverShareRange: 1}.Decide(hwadmit.Request{
		QueueWait:        choice.QueueWait,
		LatencyObjective: k.objective,
	})
	if !decision.Admitted && !f.options.admitAll {
		f.refused++
		return
	}
	f.admitted++
	f.nextID++
	f.pending[f.nextID] = &pending{
		kind:     k,
		router:   router,
		inFlight: p.Start(f.clock(), choice, request),
	}
	engine, _ := strconv.Atoi(choice.Upstream.ID)
	f.engines[engine].Submit(hwengine.Request{
		ID:           f.nextID,
		Prompt:       request.Prompt,
		OutputTokens: k.outputTokens,
	})
}

// Drafts, chat replies and hints share the engines at a high load. The rate that routers learn is that of the engines, tokens of running requests included, and not that of the shortest prompts.
func TestRoutersLearnTheEnginesRate(t *testing.T) {
	f := newFleet(1)
	f.run(20 * time.Second)
	for _, p := range f.routers {
		tokensPerMS, _ := p.LearnedRates()
		assert.Greater(t, tokensPerMS, 30.0)
		assert.Less(t, tokensPerMS, 61.8, "the rate of the data sheet without steps")
	}
}

// All routers lose power for 1.3 s in a crest while the engines keep running. Routers that ask the engines what they have cached admit and serve more requests in the two seconds after it; without the lists they overestimate every prefill.
func TestRestartedFleetServesFromTheEnginesCaches(t *testing.T) {
	afterRestart := func(load float64, listed bool) *fleet {
		f := newFleet(load)
		f.run(15 * time.Second)
		f.load = 0
		f.run(1300 * time.Millisecond)
		f.load = load
		f.restartRouters()
		if listed {
			f.listCaches()
		}
		f.resetCounts()
		f.run(2 * time.Second)
		return f
	}
	for _, load := range []float64{1.5, 2, 2.5} {
		listed, unlisted := afterRestart(load, true), afterRestart(load, false)
		t.Logf("load %g: %d admitted and %d on time with lists, %d and %d without", load, listed.admitted, listed.onTime, unlisted.admitted, unlisted.onTime)
		assert.Greater(t, listed.onTime, unlisted.onTime, load)
		assert.Greater(t, listed.admitted, unlisted.admitted, load)
	}
}
