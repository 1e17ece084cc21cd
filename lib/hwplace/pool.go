// Package hwplace chooses the upstream of a pool that runs a request, from the work queued at each upstream, the prefixes of the prompt in its cache, and its recent failures and latency.
//
// A pool consists either of model inference engines or of replicas of a plain service. The load of an engine is measured in prompt tokens to prefill, because the time to first token depends on prefill, not on the number of requests. The load of a plain service is measured in requests.
package hwplace

import (
	"math"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwprompt"
	"github.com/hickorywick/hickorywick/lib/hwquota"
)

// Upstream is one replica as its entry in the list of upstreams describes it.
type Upstream struct {
	ID      string
	Address string
	Zone    string
	Pool    string
	// Slots is how many requests the replica runs at the same time.
	Slots int
	// Incarnation differs between starts of a replica under the same id.
	Incarnation int64
	// Draining upstreams get no new requests.
	Draining bool
	// ModelVersion is the version of the model's weights, or 0.
	ModelVersion int
	// Cold means that by its registration the upstream is still cold.
	Cold bool
	// Version names the version of the upstream's software. Names of versions have no order.
	Version string
}

// Settings are the weights of the choice of an upstream. Scores are in milliseconds.
type Settings struct {
	// Zone is the availability zone of the router.
	Zone string
	// CrossZonePenaltyMS is added to the score of an upstream in another zone.
	CrossZonePenaltyMS float64
	// InitialPrefillTokensPerMS is the prefill rate of an engine until one has been estimated from answers.
	InitialPrefillTokensPerMS float64
	// LoadWeight scales the wait behind other requests in the score of an engine.
	LoadWeight float64
	// CacheMissWeight scales the time to prefill the tokens that an engine has not cached.
	CacheMissWeight float64
	// FetchCostRatio is the cost of fetching a token from another engine's cache, as a ratio of the cost of its prefill.
	FetchCostRatio float64
	// MinFetchTokens is the smallest number of tokens that are worth a fetch; 0 disables fetches.
	MinFetchTokens int
	// PrefixCacheRatio is the part of an engine's cache memory that is assumed to hold prompts.
	PrefixCacheRatio float64
	// AffinityDiscountRatio is the part of the prefill time that is subtracted from the score of the prompt's affinity upstream, the one that rendezvous hashing ranks first.
	AffinityDiscountRatio float64
	// EngineJitterMS is the range of the random addition to the score of an engine.
	EngineJitterMS float64
	// ServiceJitterRatio is the range of the random addition to the score of a plain service's upstream, as a ratio of the mean request time.
	ServiceJitterRatio float64
	// InitialRequestMS is the request time of a plain service until one has been measured.
	InitialRequestMS float64
	// UpstreamSpeeds enables a speed factor for each upstream, learned from its answers and those to peers. Without it all upstreams of a pool count as equally fast.
	UpstreamSpeeds bool
}

// Load is what an upstream reports about itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// SlowdownPercent is how long work takes at present relative to normal; 100 is normal, 0 means that it is not reported.
	SlowdownPercent int
}

// IDHash identifies an upstream in messages between routers by four bytes. Collisions within a fleet are rare; the loads and observations that peers report of the colliding upstreams are then mixed up.
type IDHash uint32

// HashID returns the hash of an upstream's id.
func HashID(id string) IDHash { return IDHash(hwprompt.HashUpstreamID(id)) }

// PeerLoad is the load that another router has placed on an upstream.
type PeerLoad struct {
	Upstream IDHash
	// PendingTokens is the number of prompt tokens of the router's requests that are not prefilled yet.
	PendingTokens float64
	// Running counts the router's requests in flight.
	Running int
}

// Request describes a request for which an upstream is chosen.
type Request struct {
	Prompt hwprompt.Prompt
	// Excluded are the ids of upstreams that may not be chosen, because they have been tried.
	Excluded []string
	// Random is a random number in [0, 1) from which the jitter of the scores is derived.
	Random float64
	// MaxWait excludes upstreams with a longer estimated wait; 0 is no limit.
	MaxWait time.Duration
	// LeastLoaded chooses the upstream with the fewest requests, where a crash would hit the fewest.
	LeastLoaded bool
	// Version is the only version that may be chosen, or 0 for any.
	Version VersionHash
	// NewVersions are the versions that are chosen only if no upstream of another one takes requests.
	NewVersions []VersionHash
}

// Choice is a chosen upstream with the estimates on which the choice was based.
type Choice struct {
	Upstream Upstream
	// QueueWait is the estimated wait behind other requests, without the request's own prefill.
	QueueWait time.Duration
	// PrefillTokens is the number of prompt tokens that the upstream neither has cached nor fetches.
	PrefillTokens int
	// PrefillTime is the estimated time to prefill or fetch what the upstream has not cached.
	PrefillTime time.Duration
	// FetchFrom is the address of an upstream whose cache holds a longer prefix of the prompt, or empty.
	FetchFrom string
	// BelowHalfLoad means that the upstream has fewer requests than half of its slots.
	BelowHalfLoad bool
	// RecentFailures is the decayed number of the upstream's recent failures.
	RecentFailures float64
}

// InFlightRequest is a request that was sent to an upstream. Whoever started it must report its end with Pool.Finish.
type InFlightRequest struct {
	// Upstream is the id of the upstream.
	Upstream  string
	startedAt time.Time
	// prefillTokens is the number of tokens that the upstream had to prefill for it.
	prefillTokens float64
	// tokensAhead is the number of tokens that waited for prefill at the upstream before it.
	tokensAhead  float64
	progressed   bool
	finished     bool
	plainService bool
	// permit is the permit that the request took if the upstream was cold.
	permit hwquota.Permit
	// state is that of the upstream's lifetime at which the request was started, or nil.
	state *upstreamState
	// queued means that the time to the first event includes more than the upstream's own work on the request: a wait for a slot, or a fetch.
	queued bool
}

// Pool holds the upstreams of one pool with the router's estimates of their load, caches and health. It is not safe for concurrent use.
type Pool struct {
	settings    Settings
	notices     *Notices
	evacuations *Evacuations
	hasEngines  bool
	// cacheCapacity is the number of prompt tokens that an engine is assumed to keep cached.
	cacheCapacity int
	// upstreams is keyed by id.
	upstreams map[string]*upstreamState
	// ordered holds the upstreams in the order of the list.
	ordered  []*upstreamState
	idByHash map[IDHash]string
	// idByLifetime is keyed by the lifetimes of the listed upstreams.
	idByLifetime map[LifetimeHash]string
	cacheIndex   *hwprompt.CacheIndex
	peerReports  map[string]peerReport
	// oldestReport is not after the time of any peer report.
	oldestReport time.Time
	// peerLoadSums is the sum of the peers' reports for each upstream.
	peerLoadSums map[IDHash]*peerLoadSum
	// spareEntries is the memory of a replaced report, for the next one.
	spareEntries []peerLoadEntry
	// unsentObservations have not been sent to the peers yet.
	unsentObservations map[IDHash]*unsentObservation
	prefill            prefillModel
	speeds             poolSpeeds
	// meanPrefillTokens is the moving average of the tokens that a request has to prefill.
	meanPrefillTokens float64
	// meanRequestMS is the moving average of the time of a plain service's request.
	meanRequestMS float64
	// cold limits the requests to cold upstreams.
	cold poolCold
}

// New returns a pool without upstreams. Notices are what all upstreams have said of themselves, evacuations the zones that the operators evacuate; pools share both. CacheTokens is the size of an engine's KV cache in tokens, or 0 for a plain service.
func New(settings Settings, notices *Notices, evacuations *Evacuations, cacheTokens int) *Pool {
	return &Pool{
		settings:           settings,
		notices:            notices,
		evacuations:        evacuations,
		hasEngines:         cacheTokens > 0,
		cacheCapacity:      int(float64(cacheTokens) * settings.PrefixCacheRatio),
		upstreams:          map[string]*upstreamState{},
		idByHash:           map[IDHash]string{},
		idByLifetime:       map[LifetimeHash]string{},
		cacheIndex:         hwprompt.NewCacheIndex(),
		peerReports:        map[string]peerReport{},
		peerLoadSums:       map[IDHash]*peerLoadSum{},
		unsentObservations: map[IDHash]*unsentObservation{},
		prefill:            newPrefillModel(settings.InitialPrefillTokensPerMS),
		meanRequestMS:      settings.InitialRequestMS,
	}
}

// HasEngines reports whether the pool's upstreams are inference engines.
func (p *Pool) HasEngines() bool { return p.hasEngines }

// SetUpstreams replaces the list of upstreams. It returns the ids of the upstreams that are new or restarted, that are no longer listed, and that have started to drain.
func (p *Pool) SetUpstreams(upstreams []Upstream) (added, removed, draining []string) {
	listed := map[string]bool{}
	for _, u := range upstreams {
		listed[u.ID] = true
		s := p.upstreams[u.ID]
		if s == nil || s.upstream.Incarnation != u.Incarnation || s.upstream.Address != u.Address {
			// A restarted upstream has an empty cache.
			p.cacheIndex.RemoveUpstream(u.ID)
			if s != nil {
				delete(p.idByLifetime, s.upstream.Lifetime().Hash())
			}
			p.idByLifetime[u.Lifetime().Hash()] = u.ID
			if s != nil {
				p.releasePeerLoadSum(s.peers)
			}
			s = &upstreamState{
				hash:      hwprompt.HashUpstreamID(u.ID),
				peers:     p.acquirePeerLoadSum(HashID(u.ID)),
				cacheSlot: p.cacheIndex.Slot(u.ID),
			}
			p.upstreams[u.ID] = s
			p.idByHash[HashID(u.ID)] = u.ID
			added = append(added, u.ID)
		} else if u.Draining && !s.upstream.Draining {
			draining = append(draining, u.ID)
		}
		s.upstream = u
		s.version = u.VersionHash()
		s.notice = p.notices.find(u.Lifetime())
	}
	for id, s := range p.upstreams {
		if !listed[id] {
			delete(p.idByLifetime, s.upstream.Lifetime().Hash())
			delete(p.upstreams, id)
			delete(p.idByHash, HashID(id))
			p.cacheIndex.RemoveUpstream(id)
			p.releasePeerLoadSum(s.peers)
			removed = append(removed, id)
		}
	}
	p.ordered = p.ordered[:0]
	for _, u := range upstreams {
		if listed[u.ID] {
			listed[u.ID] = false
			p.ordered = append(p.ordered, p.upstreams[u.ID])
		}
	}
	return added, removed, draining
}

// LocalLoads returns the load that this router has placed on the upstreams, for its peers.
func (p *Pool) LocalLoads() []PeerLoad {
	loads := make([]PeerLoad, 0, len(p.upstreams))
	for _, s := range p.ordered {
		if s.running > 0 {
			loads = append(loads, PeerLoad{
				Upstream:      IDHash(s.hash),
				PendingTokens: s.pendingTokens,
				Running:       s.running,
			})
		}
	}
	return loads
}

// RecordCachedSegment records that an upstream has cached a segment of a prompt that another router sent there.
func (p *Pool) RecordCachedSegment(upstream IDHash, segment hwprompt.ChainedSegment) {
	if id, listed := p.idByHash[upstream]; listed {
		p.cacheIndex.AddSegment(id, segment, p.cacheCapacity)
	}
}

// RecordCacheList records the segments that an upstream states it has cached.
func (p *Pool) RecordCacheList(upstream string, segments []hwprompt.CachedSegment) {
	if p.upstreams[upstream] != nil {
		p.cacheIndex.AddListed(upstream, segments, p.cacheCapacity)
	}
}

// Choose returns the upstream with the lowest score for a request, or false when no upstream is eligible. Upstreams with equal scores are preferred in the order of the list from a position that the request's random number determines.
func (p *Pool) Choose(now time.Time, request Request) (Choice, bool) {
	p.expirePeerReports(now)
	p.refreshSpeeds(now)
	var best, e estimate
	lowest := math.Inf(1)
	var cachedTokens []int
	if p.hasEngines {
		cachedTokens = p.cacheIndex.CachedTokensBySlot(request.Prompt)
	}
	holder, held := p.largestCacheHolder(now, request, cachedTokens)
	affinity := p.affinityUpstream(now, request.Prompt)
	before, after := p.fromRandomPosition(request)
	for _, part := range [][]*upstreamState{after, before} {
		for _, s := range part {
			if !p.takesRequests(now, s) || !s.isOfVersion(request.Version) || slices.Contains(request.Excluded, s.upstream.ID) || !p.hasPermit(now, s) {
				continue
			}
			p.evaluate(now, s, &request, cachedTokens, holder, held, &e)
			if request.MaxWait > 0 && milliseconds(e.waitMS) > request.MaxWait {
				continue
			}
			score := e.score
			if s == affinity {
				score -= p.affinityDiscount(now, e)
			}
			if slices.Contains(request.NewVersions, s.version) {
				score += newVersionPenaltyMS
			}
			if request.LeastLoaded {
				requests, _ := p.currentLoad(now, s)
				score += leastLoadedPenaltyMS * float64(requests)
			}
			score += p.jitterRangeMS() * jitter(s.hash, request.Random)
			if score < lowest {
				best = e
				lowest = score
			}
		}
	}
	if best.upstream == nil {
		return Choice{}, false
	}
	return best.choice(now, p.hasEngines, holder), true
}

// jitter returns a pseudorandom number in [0, 1) that depends on the upstream's hash and the request's random number.
func jitter(hash uint64, random float64) float64 {
	return float64(hwprompt.RendezvousScore(math.Float64bits(random), hash)>>40) / (1 << 24)
}

// jitterRangeMS returns the range of the jitter that is added to scores. Without it, routers with the same peer reports would all choose the same upstream until the next reports.
func (p *Pool) jitterRangeMS() float64 {
	if p.hasEngines {
		return p.settings.EngineJitterMS
	}
	return p.settings.ServiceJitterRatio * p.meanRequestMS
}

// evaluate estimates how a request would fare at an upstream. It fills an estimate of the caller, because copies took a sixth of the time of a choice. The score is in milliseconds; the lowest is best. The holder, if any, is the upstream from whose cache the request can fetch its first holderTokens tokens.
func (p *Pool) evaluate(now time.Time, s *upstreamState, request *Request, cachedTokens []int, holder *upstreamState, holderTokens int, e *estimate) {
	running, tokens := p.currentLoad(now, s)
	slots := max(1, s.upstream.Slots)
	e.upstream = s
	e.belowHalfLoad = 2*running < slots
	e.fetches = false
	score := s.recentFailures(now) * failurePenaltyMS
	score += s.silenceMS(now)
	if s.upstream.Zone != p.settings.Zone {
		score += p.settings.CrossZonePenaltyMS
	}
	// slowdown is relative to the pool's mean.
	slowdown := p.timeFactor(now, s)
	if !p.hasEngines {
		e.waitMS = p.meanRequestMS * slowdown * float64(max(0, running-slots+1)) / float64(slots)
		e.score = score + e.waitMS + p.meanRequestMS*slowdown*(1+float64(running)/float64(slots))
		return
	}
	cached := cachedTokens[s.cacheSlot]
	e.prefillTokens = request.Prompt.Tokens() - cached
	// cost is in tokens of prefill; a fetched token costs a part of one.
	cost := float64(e.prefillTokens)
	if fetched := holderTokens - cached; holder != nil && holder != s && fetched >= p.settings.MinFetchTokens {
		e.fetches = true
		e.prefillTokens -= fetched
		cost -= float64(fetched) * (1 - p.settings.FetchCostRatio)
	}
	e.prefillMS = slowdown * cost / p.prefill.tokensPerMS
	wait := slowdown * tokens / p.prefill.tokensPerMS
	// Without a free slot the request also waits until a running one ends.
	if running >= slots {
		wait += s.speed.factor() * slotWaitMS * float64(running-slots+1) / float64(slots)
	}
	e.waitMS = wait
	e.score = score + (p.settings.LoadWeight*(wait+fullBatchPenaltyMS*float64(running)/float64(slots)) + p.settings.CacheMissWeight*slowdown*cost/p.prefill.tokensPerMS)
}

const (
	// failurePenaltyMS is the score of one recent failure, in milliseconds: about the delay that a failed request causes its caller.
	failurePenaltyMS = 400
	// leastLoadedPenaltyMS is the score of each request at an upstream for a request that goes to the least loaded one, in milliseconds: it outweighs all else.
	leastLoadedPenaltyMS = 10_000
	// newVersionPenaltyMS is the score of an upstream of a new version, in milliseconds. It outweighs all that does not exclude the other upstreams.
	newVersionPenaltyMS = 1_000_000
	// slotWaitMS is the wait for a slot when all slots are taken and as many requests wait, in milliseconds: the length of a typical stream.
	slotWaitMS = 2000
	// fullBatchPenaltyMS is the score of an engine with all slots taken, in milliseconds: token generation slows down with the number of running requests.
	fullBatchPenaltyMS = 200
)

// affinityUpstream returns the upstream that rendezvous hashing ranks first for the prompt's shared prefix, or nil. All routers agree on it without communication.
func (p *Pool) affinityUpstream(now time.Time, prompt hwprompt.Prompt) *upstreamState {
	prefixHash, shared := prompt.SharedPrefix()
	if !shared {
		return nil
	}
	var first *upstreamState
	highest := uint64(0)
	for _, s := range p.ordered {
		if score := p.affinityScore(hwprompt.RendezvousScore(prefixHash, s.hash), s); (first == nil || score > highest) && !s.isLeaving(now) && !p.isEvacuated(s) {
			first = s
			highest = score
		}
	}
	return first
}

// largestCacheHolder returns the healthy upstream that has cached the longest prefix of a prompt, with the length of that prefix in tokens. It may be a draining one, or one in an evacuated zone: that gets no requests, but others can still fetch from its cache.
func (p *Pool) largestCacheHolder(now time.Time, request Request, cachedTokens []int) (*upstreamState, int) {
	if !p.hasEngines || p.settings.MinFetchTokens <= 0 {
		return nil, 0
	}
	var holder *upstreamState
	most := 0
	before, after := p.fromRandomPosition(request)
	for _, part := range [][]*upstreamState{after, before} {
		for _, s := range part {
			if cached := cachedTokens[s.cacheSlot]; cached > most && s.recentFailures(now) < 1 && s.silenceMS(now) <= 0 {
				holder = s
				most = cached
			}
		}
	}
	return holder, most
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
