package hwplace

import "time"

// Start notes that a request is sent as chosen.
func (p *Pool) Start(now time.Time, choice Choice, ask Request) *InFlightRequest {
	ticket := &InFlightRequest{
		Upstream:  choice.Upstream.ID,
		started:   now,
		tokens:    float64(choice.PrefillTokens),
		plainWork: !p.engine,
	}
	m := p.members[choice.Upstream.ID]
	if m == nil {
		return ticket
	}
	_, ticket.ahead = p.work(now, m)
	if m.waiting == 0 {
		m.waitingSince = now
	}
	m.running++
	m.waiting++
	m.tokens += ticket.tokens
	m.sent(ticket.tokens)
	if p.engine {
		p.meanTokens += meanStep * (ticket.tokens - p.meanTokens)
		p.index.AddPrompt(choice.Upstream.ID, ask.Prompt, p.capacity)
	}
	return ticket
}

// RecordProgress notes a sign of the request's run, an event or its whole answer. The first one says that its prompt has been read; it returns that it was the first, and how long that took.
func (p *Pool) RecordProgress(now time.Time, t *InFlightRequest) (first bool, took time.Duration) {
	m := p.members[t.Upstream]
	if m != nil {
		m.progressed = now
	}
	if t.answered {
		return false, 0
	}
	t.answered = true
	took = now.Sub(t.started)
	if t.plainWork {
		p.requestMS += requestStep * (took.Seconds()*1000 - p.requestMS)
	} else {
		p.rate.learn(t.tokens, t.ahead, took)
	}
	if m != nil {
		m.waiting = max(0, m.waiting-1)
		m.tokens = max(0, m.tokens-t.tokens)
		m.addTrouble(now, -goodAnswer)
	}
	return true, took
}

// requestStep is the part of a plain request's time that the mean takes over.
const requestStep = 0.05

// RecordLoad takes what an upstream said about its load.
func (p *Pool) RecordLoad(now time.Time, upstream string, load Load) {
	m := p.members[upstream]
	if m == nil {
		return
	}
	m.report(now, load)
	// What peers know anyway is not told again.
	if known, _ := p.work(now, m); load.Waiting > 0 || load.Running > known {
		n := p.note(m)
		n.load, n.loadAt = load, now
	}
	m.hear(now, load.Running, load.Waiting)
}

// Finish notes that the request no longer runs. Failed tells that the upstream is to blame.
func (p *Pool) Finish(now time.Time, t *InFlightRequest, failed bool) {
	if t.ended {
		return
	}
	t.ended = true
	m := p.members[t.Upstream]
	if m == nil {
		return
	}
	m.running = max(0, m.running-1)
	if !t.answered {
		m.waiting = max(0, m.waiting-1)
		m.tokens = max(0, m.tokens-t.tokens)
	}
	if failed {
		m.addTrouble(now, 1)
	}
}

// LearnedRates returns the learned reading rate in tokens per millisecond, and the learned time of a plain request in milliseconds.
func (p *Pool) LearnedRates() (tokensPerMS, requestMS float64) {
	return p.rate.tokensPerMS, p.requestMS
}
