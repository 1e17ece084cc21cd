package hwplace

import "time"

// Observation is what a router observed of an upstream: the load in an answer, or a failure to connect. Routers exchange observations because in a large fleet each router contacts each upstream only now and then.
type Observation struct {
	Upstream IDHash
	// Running and Waiting are the upstream's own counts of the requests of all routers.
	Running int
	Waiting int
	// Unreachable means that no connection could be opened. Running and Waiting are then 0.
	Unreachable bool
	// SpeedFactor is the mean of the router's samples of the upstream's speed factor since its last message, and SpeedWeight their weight in samples. If the weight is above 0, the observation contains nothing else.
	SpeedFactor float64
	SpeedWeight float64
	// Age is how long ago the observation was made.
	Age time.Duration
}

// unsentObservation is what the router has observed of an upstream and has not sent to its peers yet.
type unsentObservation struct {
	load          Load
	loadAt        time.Time
	unreachableAt time.Time
}

// reportedLoad is the newest load that an upstream reported, to this router or to a peer.
type reportedLoad struct {
	requests   int
	waiting    int
	reportedAt time.Time
	// sentSince and tokensSince count the requests that this router has sent there since the report, and their prompt tokens to prefill.
	sentSince   int
	tokensSince float64
}

const (
	// loadReportMaxAge is the age at which a reported load stops counting; its weight falls linearly until then. It is about the time that a queue takes to be prefilled.
	loadReportMaxAge = time.Second
	// unreachableWindow is the time within which two peers have to fail to connect to an upstream for it to count as failed here. A single peer may itself be cut off from the network.
	unreachableWindow = time.Second
	// prefillSmoothing is the weight of a new sample in the moving average of the tokens that a request has to prefill.
	prefillSmoothing = 0.02
)

// updateReportedLoad replaces the reported load if the given one is newer.
func (s *upstreamState) updateReportedLoad(at time.Time, running, waiting int) {
	if !at.After(s.reported.reportedAt) {
		return
	}
	s.reported = reportedLoad{
		requests:   running + waiting,
		waiting:    waiting,
		reportedAt: at,
	}
}

// recordSent adds a request that the reported load does not include.
func (s *upstreamState) recordSent(tokens float64) {
	s.reported.sentSince++
	s.reported.tokensSince += tokens
}

// reportedLoadAt estimates the load from the newest report, weighted by its age: all requests at the upstream, and those of them that wait. Requests that this router has sent since the report are added to the first with their full weight; tokensSince is their prompt tokens.
func (s *upstreamState) reportedLoadAt(now time.Time) (requests, waiting, tokensSince float64) {
	if s.reported.reportedAt.IsZero() {
		return 0, 0, 0
	}
	age := now.Sub(s.reported.reportedAt)
	if age >= loadReportMaxAge {
		return 0, 0, 0
	}
	weight := 1 - age.Seconds()/loadReportMaxAge.Seconds()
	return weight*float64(s.reported.requests) + float64(s.reported.sentSince), weight * float64(s.reported.waiting), s.reported.tokensSince
}

// currentLoad estimates the requests at an upstream and the prompt tokens that it has yet to prefill. Peers' reports lag by a datagram and miss what was lost on the way, so the upstream's own report takes precedence where it is higher.
func (p *Pool) currentLoad(now time.Time, s *upstreamState) (requests int, tokens float64) {
	peers := s.peers.load
	requests, tokens = s.running+peers.Running, s.pendingTokens+peers.PendingTokens
	reported, waiting, tokensSince := s.reportedLoadAt(now)
	return max(requests, int(reported)), max(tokens, waiting*p.meanPrefillTokens+tokensSince)
}

// unsentObservation returns the entry of an upstream for the next message to the peers, and creates it if there is none.
func (p *Pool) unsentObservation(s *upstreamState) *unsentObservation {
	o := p.unsentObservations[IDHash(s.hash)]
	if o == nil {
		o = &unsentObservation{}
		p.unsentObservations[IDHash(s.hash)] = o
	}
	return o
}

// TakeObservations removes and returns the observations that have not been sent to the peers, of at most limit upstreams. The others remain for the next call.
func (p *Pool) TakeObservations(now time.Time, limit int) []Observation {
	observations := make([]Observation, 0, min(limit, len(p.unsentObservations)))
	for upstream, o := range p.unsentObservations {
		if len(observations) >= limit {
			break
		}
		delete(p.unsentObservations, upstream)
		if !o.loadAt.IsZero() {
			observations = append(observations, Observation{
				Upstream: upstream,
				Running:  o.load.Running,
				Waiting:  o.load.Waiting,
				Age:      now.Sub(o.loadAt),
			})
		}
		if speed, found := p.takeSpeedObservation(upstream); found {
			observations = append(observations, speed)
		}
		if !o.unreachableAt.IsZero() {
			observations = append(observations, Observation{
				Upstream:    upstream,
				Unreachable: true,
				Age:         now.Sub(o.unreachableAt),
			})
		}
	}
	return observations
}

// RecordConnectFailure records that no connection to an upstream could be opened, for the next message to the peers.
func (p *Pool) RecordConnectFailure(now time.Time, upstream string) {
	if s := p.upstreams[upstream]; s != nil {
		p.unsentObservation(s).unreachableAt = now
	}
}

// RecordPeerObservation applies an observation received from another router.
func (p *Pool) RecordPeerObservation(now time.Time, router string, observation Observation) {
	s := p.upstreams[p.idByHash[observation.Upstream]]
	if s == nil {
		return
	}
	if observation.SpeedWeight > 0 {
		p.recordPeerSpeed(now, s, router, observation)
		return
	}
	at := now.Add(-observation.Age)
	if !observation.Unreachable {
		s.updateReportedLoad(at, observation.Running, observation.Waiting)
		return
	}
	if s.unreachablePeer != "" && s.unreachablePeer != router && at.Sub(s.unreachableAt).Abs() < unreachableWindow {
		// Reports of any number of routers count as a single failure.
		s.addFailures(now, max(0, 1-s.recentFailures(now)))
	}
	s.unreachablePeer = router
	s.unreachableAt = at
}
