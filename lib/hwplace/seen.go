package hwplace

import "time"

// Observation is what a router saw of an upstream: the load that an answer told, or that no connection could be opened. In a large fleet each router sees each upstream only now and then, so routers tell each other.
type Observation struct {
	Upstream IDHash
	// Running and Waiting are the upstream's own counts, those of all routers together.
	Running int
	Waiting int
	// Unreachable tells that it took no connection; then there are no counts.
	Unreachable bool
	Age         time.Duration
}

// noted is what the router has seen of an upstream and has not told its peers yet.
type noted struct {
	load        Load
	loadAt      time.Time
	unreachable time.Time
}

// said is the newest load that an upstream told anybody.
type said struct {
	requests int
	waiting  int
	at       time.Time
	// since and sinceTokens are what this router has sent there after it.
	since       int
	sinceTokens float64
}

const (
	// saidSpan is how long what an upstream said of its load counts, less and less: about as long as a queue takes to be read.
	saidSpan = time.Second
	// blameSpan is the time within which two peers have to miss an upstream before this router believes them. One alone may be cut off itself.
	blameSpan = time.Second
	// meanStep is the part of a request's reading that the mean takes over.
	meanStep = 0.02
)

// hear takes a load if it is newer than the one that is known.
func (m *member) hear(at time.Time, running, waiting int) {
	if !at.After(m.said.at) {
		return
	}
	m.said = said{
		requests: running + waiting,
		waiting:  waiting,
		at:       at,
	}
}

// sent notes a request that no told load counts yet.
func (m *member) sent(tokens float64) {
	m.said.since++
	m.said.sinceTokens += tokens
}

// reported returns the requests at an upstream and those of them that wait, with the router's own work that came after the report, as far as the report still counts.
func (m *member) reported(now time.Time) (requests, waiting, sinceTokens float64) {
	age := now.Sub(m.said.at)
	if m.said.at.IsZero() || age >= saidSpan {
		return 0, 0, 0
	}
	keep := 1 - age.Seconds()/saidSpan.Seconds()
	return keep*float64(m.said.requests) + float64(m.said.since), keep * float64(m.said.waiting), m.said.sinceTokens
}

// work returns the requests at an upstream and the tokens that wait there. Peers' reports are late by a datagram and leave out what was lost, so an upstream that says that it has more is believed.
func (p *Pool) work(now time.Time, m *member) (requests int, tokens float64) {
	other := p.others(m)
	requests, tokens = m.running+other.Running, m.tokens+other.PendingTokens
	told, waiting, sinceTokens := m.reported(now)
	return max(requests, int(told)), max(tokens, waiting*p.meanTokens+sinceTokens)
}

// note keeps what peers should hear.
func (p *Pool) note(m *member) *noted {
	n := p.noted[IDHash(m.hash)]
	if n == nil {
		n = &noted{}
		p.noted[IDHash(m.hash)] = n
	}
	return n
}

// TakeObservations returns what was seen since it was last asked, at most a number of upstreams; the others wait for the next time.
func (p *Pool) TakeObservations(now time.Time, most int) []Observation {
	seen := make([]Observation, 0, min(most, len(p.noted)))
	for key, n := range p.noted {
		if len(seen) >= most {
			break
		}
		delete(p.noted, key)
		if !n.loadAt.IsZero() {
			seen = append(seen, Observation{
				Upstream: key,
				Running:  n.load.Running,
				Waiting:  n.load.Waiting,
				Age:      now.Sub(n.loadAt),
			})
		}
		if !n.unreachable.IsZero() {
			seen = append(seen, Observation{
				Upstream:    key,
				Unreachable: true,
				Age:         now.Sub(n.unreachable),
			})
		}
	}
	return seen
}

// RecordConnectFailure notes that no connection to an upstream could be opened.
func (p *Pool) RecordConnectFailure(now time.Time, upstream string) {
	if m := p.members[upstream]; m != nil {
		p.note(m).unreachable = now
	}
}

// RecordPeerObservation takes what another router saw.
func (p *Pool) RecordPeerObservation(now time.Time, router string, seen Observation) {
	m := p.members[p.ids[seen.Upstream]]
	if m == nil {
		return
	}
	at := now.Add(-seen.Age)
	if !seen.Unreachable {
		m.hear(at, seen.Running, seen.Waiting)
		return
	}
	if m.blamedBy != "" && m.blamedBy != router && at.Sub(m.blamedAt).Abs() < blameSpan {
		// However many routers tell it, it is one trouble.
		m.addTrouble(now, max(0, 1-m.trouble(now)))
	}
	m.blamedBy = router
	m.blamedAt = at
}
