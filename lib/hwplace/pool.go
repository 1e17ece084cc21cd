// Package hwplace decides which upstream of a pool runs a request, from the work that waits there, the parts of the prompt that it holds, and how it has answered lately.
//
// Work at engines is measured in prompt tokens that have to be read, because reading prompts, not the number of requests, is what keeps a first token waiting. Work at plain services is measured in requests.
package hwplace

import (
	"math"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// Upstream is one replica as its list names it.
type Upstream struct {
	ID      string
	Address string
	Zone    string
	Pool    string
	Slots   int
	// Incarnation tells one start of a replica from the next under the same id.
	Incarnation int64
	// Draining upstreams get no new work.
	Draining bool
	// ModelVersion is the version of its weights, or 0.
	ModelVersion int
}

// Settings weigh the reasons to prefer an upstream. All times are in milliseconds, as scores are.
type Settings struct {
	// Zone is where the router runs.
	Zone string
	// CrossZonePenaltyMS is the added score of another zone.
	CrossZonePenaltyMS float64
	// InitialPrefillTokensPerMS is how many prompt tokens an engine reads in a millisecond until answers have shown better.
	InitialPrefillTokensPerMS float64
	// LoadWeight scales the wait behind other work, MissWeight the reading of what is not cached.
	LoadWeight      float64
	CacheMissWeight float64
	// FetchCostRatio is what a token fetched from another upstream's cache costs, as a part of reading it.
	FetchCostRatio float64
	// MinFetchTokens is the smallest number of tokens that are worth a fetch.
	MinFetchTokens int
	// PrefixCacheRatio is the part of an engine's memory that is believed to hold prompts.
	PrefixCacheRatio float64
	// AffinityDiscountRatio is the part of a prompt that counts as held by the upstream where the others would read it first.
	AffinityDiscountRatio float64
	// EngineJitterMS is the range of chance in the choice of an engine, in milliseconds; RequestSpread that in the choice of a plain upstream, as a part of a request's time.
	EngineJitterMS     float64
	ServiceJitterRatio float64
	// InitialRequestMS is the time of a plain service's request until answers have shown better.
	InitialRequestMS float64
}

// Load is what an upstream says about itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// SlowdownPercent is how long work takes at present; 100 is as usual.
	SlowdownPercent int
}

// IDHash names an upstream among routers in four bytes. Two upstreams of a fleet hardly ever share one, and if they do, they count for each other in what peers tell.
type IDHash uint32

// HashID returns the key of an upstream's id.
func HashID(id string) IDHash { return IDHash(hwprompt.HashUpstreamID(id)) }

// PeerLoad is another router's work at an upstream.
type PeerLoad struct {
	Upstream      IDHash
	PendingTokens float64
	Running       int
}

// Request describes a request that looks for an upstream.
type Request struct {
	Prompt hwprompt.Prompt
	// Excluded were tried already.
	Excluded []string
	// Random lies in [0, 1) and breaks ties.
	Random float64
	// MaxWait bounds the estimated wait when it is above 0.
	MaxWait time.Duration
	// Retryable requests may go to an upstream that has failed lately; a request that can run only once should not.
	Retryable bool
}

// Choice is where a request goes and why.
type Choice struct {
	Upstream Upstream
	// QueueWait is the estimated time behind other work, without the request's own reading.
	QueueWait time.Duration
	// PrefillTokens is the number of prompt tokens that the upstream has to read, Reading how long that takes it.
	PrefillTokens int
	PrefillTime   time.Duration
	// FetchFrom is the address of an upstream whose cache holds more of the prompt, or empty.
	FetchFrom string
	// BelowHalfLoad tells that fewer than half of the upstream's slots are taken and nothing waits.
	BelowHalfLoad bool
	// RecentFailures is the upstream's recent failures.
	RecentFailures float64
}

// InFlightRequest is a request at an upstream. Its owner gives it back with Answered and Ended.
type InFlightRequest struct {
	Upstream string
	started  time.Time
	tokens   float64
	// ahead is the work that was there before, for learning the rate.
	ahead     float64
	answered  bool
	ended     bool
	plainWork bool
}

// Pool keeps what is believed about the upstreams of one pool.
type Pool struct {
	settings Settings
	engine   bool
	capacity int
	members  map[string]*member
	// ids are the members' ids by key.
	ids   map[IDHash]string
	index *hwprompt.CacheIndex
	peers map[string]peerReport
	// elsewhere sums the peers' reports by upstream.
	elsewhere map[IDHash]*PeerLoad
	// noted is what peers have not been told yet.
	noted map[IDHash]*noted
	rate  rate
	// meanTokens is the mean reading of a request.
	meanTokens float64
	// requestMS is the learned time of a plain request.
	requestMS float64
}

type peerReport struct {
	at    time.Time
	loads []PeerLoad
}

// New returns a pool without upstreams. CacheTokens is 0 for a plain service.
func New(settings Settings, cacheTokens int) *Pool {
	return &Pool{
		settings:  settings,
		engine:    cacheTokens > 0,
		capacity:  int(float64(cacheTokens) * settings.PrefixCacheRatio),
		members:   map[string]*member{},
		ids:       map[IDHash]string{},
		index:     hwprompt.NewCacheIndex(),
		peers:     map[string]peerReport{},
		elsewhere: map[IDHash]*PeerLoad{},
		noted:     map[IDHash]*noted{},
		rate: rate{
			tokensPerMS: settings.InitialPrefillTokensPerMS,
		},
		requestMS: settings.InitialRequestMS,
	}
}

// HasEngines reports whether the pool's upstreams are model engines.
func (p *Pool) HasEngines() bool { return p.engine }

// SetUpstreams replaces the list of upstreams. It returns the ids of those that are new, that left or that began to leave.
func (p *Pool) SetUpstreams(upstreams []Upstream) (added, left, leaving []string) {
	listed := map[string]bool{}
	for _, u := range upstreams {
		listed[u.ID] = true
		m := p.members[u.ID]
		if m == nil || m.upstream.Incarnation != u.Incarnation || m.upstream.Address != u.Address {
			// Another start under the same id holds nothing of before.
			p.index.RemoveUpstream(u.ID)
			m = &member{
				hash: hwprompt.HashUpstreamID(u.ID),
			}
			p.members[u.ID] = m
			p.ids[HashID(u.ID)] = u.ID
			added = append(added, u.ID)
		} else if u.Draining && !m.upstream.Draining {
			leaving = append(leaving, u.ID)
		}
		m.upstream = u
	}
	for id := range p.members {
		if !listed[id] {
			delete(p.members, id)
			delete(p.ids, HashID(id))
			p.index.RemoveUpstream(id)
			left = append(left, id)
		}
	}
	return added, left, leaving
}

// ActiveUpstreams returns the number of upstreams that take new work.
func (p *Pool) ActiveUpstreams() int {
	count := 0
	for _, m := range p.members {
		if !m.upstream.Draining {
			count++
		}
	}
	return count
}

// SetPeerLoads replaces what another router says of its work here.
func (p *Pool) SetPeerLoads(now time.Time, router string, loads []PeerLoad) {
	p.forgetPeer(router)
	if len(loads) > 0 {
		p.peers[router] = peerReport{
			at:    now,
			loads: loads,
		}
		p.addElsewhere(loads, 1)
	}
}

// peerReportAge is how long a peer's report counts; a peer that says nothing for longer has probably gone.
const peerReportAge = 1500 * time.Millisecond

// forgetPeers drops the reports of peers that have fallen silent.
func (p *Pool) forgetPeers(now time.Time) {
	for router, report := range p.peers {
		if now.Sub(report.at) > peerReportAge {
			p.forgetPeer(router)
		}
	}
}

func (p *Pool) forgetPeer(router string) {
	p.addElsewhere(p.peers[router].loads, -1)
	delete(p.peers, router)
}

// addElsewhere keeps the sums of the other routers' work, so that a choice need not go through all reports. Upstreams that are not listed have sums too: their entry may come later than a peer's report.
func (p *Pool) addElsewhere(loads []PeerLoad, sign float64) {
	for _, l := range loads {
		sum := p.elsewhere[l.Upstream]
		if sum == nil {
			sum = &PeerLoad{
				Upstream: l.Upstream,
			}
			p.elsewhere[l.Upstream] = sum
		}
		sum.PendingTokens += sign * l.PendingTokens
		sum.Running += int(sign) * l.Running
		if sum.Running <= 0 {
			delete(p.elsewhere, l.Upstream)
		}
	}
}

// others returns the other routers' work at an upstream.
func (p *Pool) others(m *member) PeerLoad {
	if sum := p.elsewhere[IDHash(m.hash)]; sum != nil {
		return *sum
	}
	return PeerLoad{}
}

// LocalLoads returns the router's own work, for its peers.
func (p *Pool) LocalLoads() []PeerLoad {
	loads := make([]PeerLoad, 0, len(p.members))
	for _, m := range p.members {
		if m.running > 0 {
			loads = append(loads, PeerLoad{
				Upstream:      IDHash(m.hash),
				PendingTokens: m.tokens,
				Running:       m.running,
			})
		}
	}
	return loads
}

// RecordCachedSegment notes that an upstream read a part for another router.
func (p *Pool) RecordCachedSegment(upstream IDHash, link hwprompt.ChainedSegment) {
	if id, listed := p.ids[upstream]; listed {
		p.index.AddSegment(id, link, p.capacity)
	}
}

// Choose returns the best upstream for a request, or false when none may take it.
func (p *Pool) Choose(now time.Time, ask Request) (Choice, bool) {
	p.forgetPeers(now)
	var best Choice
	lowest := math.Inf(1)
	holder, held := p.holder(now, ask)
	home := p.home(ask.Prompt)
	for id, m := range p.members {
		if m.upstream.Draining || slices.Contains(ask.Excluded, id) {
			continue
		}
		choice, score := p.weigh(now, m, ask, holder, held)
		if ask.MaxWait > 0 && choice.QueueWait > ask.MaxWait {
			continue
		}
		if id == home {
			score -= p.settings.AffinityDiscountRatio * float64(choice.PrefillTokens) / p.rate.tokensPerMS
		}
		score += p.spread() * chance(m.hash, ask.Random)
		if score < lowest {
			best = choice
			lowest = score
		}
	}
	return best, !math.IsInf(lowest, 1)
}

// chance returns a number in [0, 1) that differs by upstream and draw.
func chance(hash uint64, draw float64) float64 {
	return float64(hwprompt.RendezvousScore(math.Float64bits(draw), hash)>>40) / (1 << 24)
}

// spread returns the range, in milliseconds, of the chance that is added to scores. Routers that choose by the same reports would otherwise all take the same upstream until the next reports.
func (p *Pool) spread() float64 {
	if p.engine {
		return p.settings.EngineJitterMS
	}
	return p.settings.ServiceJitterRatio * p.requestMS
}

// weigh returns what a request would find at an upstream and its score in milliseconds; the lowest score is best.
func (p *Pool) weigh(now time.Time, m *member, ask Request, holder *member, held int) (Choice, float64) {
	running, tokens := p.work(now, m)
	slots := max(1, m.upstream.Slots)
	choice := Choice{
		Upstream:       m.upstream,
		BelowHalfLoad:  2*running < slots,
		RecentFailures: m.trouble(now),
	}
	score := choice.RecentFailures * troubleMS
	if !ask.Retryable {
		score += choice.RecentFailures * troubleMS
	}
	score += m.silence(now)
	if m.upstream.Zone != p.settings.Zone {
		score += p.settings.CrossZonePenaltyMS
	}
	slow := m.slowness(now)
	if !p.engine {
		wait := p.requestMS * slow * float64(max(0, running-slots+1)) / float64(slots)
		choice.QueueWait = milliseconds(wait)
		return choice, score + wait + p.requestMS*slow*(1+float64(running)/float64(slots))
	}
	cached := p.index.CachedTokens(m.upstream.ID, ask.Prompt)
	choice.PrefillTokens = ask.Prompt.Tokens() - cached
	readMS := float64(choice.PrefillTokens)
	if fetched := held - cached; holder != nil && holder != m && fetched >= p.settings.MinFetchTokens {
		choice.FetchFrom = holder.upstream.Address
		choice.PrefillTokens -= fetched
		readMS -= float64(fetched) * (1 - p.settings.FetchCostRatio)
	}
	choice.PrefillTime = milliseconds(slow * readMS / p.rate.tokensPerMS)
	wait := slow * tokens / p.rate.tokensPerMS
	// A request that finds no slot waits until one of the running ends.
	if running >= slots {
		wait += fullMS * float64(running-slots+1) / float64(slots)
	}
	choice.QueueWait = milliseconds(wait)
	score += p.settings.LoadWeight*(wait+slotMS*float64(running)/float64(slots)) + p.settings.CacheMissWeight*slow*readMS/p.rate.tokensPerMS
	return choice, score
}

const (
	// troubleMS is the score of one recent failure, in milliseconds: a failed request costs its caller about that.
	troubleMS = 400
	// fullMS is the wait for a slot when all are taken and as many requests wait, in milliseconds: the length of a typical stream.
	fullMS = 2000
	// slotMS is the score of a full batch, in milliseconds: tokens come more slowly the more requests run.
	slotMS = 200
)

// home returns the upstream where all routers would read the prompt's deepest shared part first.
func (p *Pool) home(prompt hwprompt.Prompt) string {
	chain, shared := prompt.SharedPrefix()
	if !shared {
		return ""
	}
	home := ""
	highest := uint64(0)
	for id, m := range p.members {
		if m.upstream.Draining {
			continue
		}
		if rank := hwprompt.RendezvousScore(chain, m.hash); home == "" || rank > highest {
			home = id
			highest = rank
		}
	}
	return home
}

// holder returns the sound upstream that holds most of a prompt, and how many tokens. One that leaves gets no requests but still hands out what it holds.
func (p *Pool) holder(now time.Time, ask Request) (*member, int) {
	if !p.engine || p.settings.MinFetchTokens <= 0 {
		return nil, 0
	}
	var best *member
	most := 0
	for id, m := range p.members {
		if m.trouble(now) >= 1 || m.silence(now) > 0 {
			continue
		}
		if held := p.index.CachedTokens(id, ask.Prompt); held > most {
			best = m
			most = held
		}
	}
	return best, most
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
