package hwforward

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwhedge"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// hedging is the state of hedged requests of a router. The router's lock guards it.
type hedging struct {
	policy *hwhedge.Policy
	// sent counts the hedges, won those whose answer was relayed, lost all others that have ended.
	sent int64
	won  int64
	lost int64
	// suppressed counts the requests that ran late and were not hedged.
	suppressed map[hwhedge.Reason]int64
}

// newHedging returns the state of hedged requests, or nil if they are disabled.
func newHedging(settings hwhedge.Settings) *hedging {
	if settings.Ratio <= 0 {
		return nil
	}
	return &hedging{
		policy:     hwhedge.New(settings),
		suppressed: map[hwhedge.Reason]int64{},
	}
}

// hedgeWinner names the attempt of a hedged request whose answer was relayed.
type hedgeWinner string

const (
	noWinner      hedgeWinner = "none"
	firstAttempt  hedgeWinner = "first"
	secondAttempt hedgeWinner = "second"
)

// hedgeState describes the hedge of one request.
type hedgeState struct {
	sent   bool
	winner hedgeWinner
	// suppressed is why a hedge was not sent although the request ran late, or empty.
	suppressed hwhedge.Reason
}

// fields returns the fields of the request's log line.
func (s hedgeState) fields() []hwevent.Field {
	switch {
	case s.sent:
		return []hwevent.Field{hwevent.With("hedged", true), hwevent.With("hedge-winner", string(s.winner))}
	case s.suppressed != "":
		return []hwevent.Field{hwevent.With("hedged", false), hwevent.With("hedge-suppressed", string(s.suppressed))}
	default:
		return nil
	}
}

// mayHedge reports whether a second attempt may be sent while the next one is running: the request may be executed more than once, nothing of an answer has been relayed, and there is an attempt left.
func (e *exchange) mayHedge() bool {
	return e.router.hedging != nil && e.retryable() && !e.headerSent && !e.trial && !e.hedge.sent && e.attemptsLeft() >= 1
}

// attemptsLeft returns how many more attempts the request may have while one is running.
func (e *exchange) attemptsLeft() int { return e.route.MaxAttempts - e.executions - 1 }

// hedgeClass returns the class of requests whose latencies are comparable.
func (e *exchange) hedgeClass() hwhedge.Class {
	return hwhedge.NewClass(e.pool, e.route.Streaming, e.prompt.Tokens())
}

// hedgeSchedule returns when a second attempt is decided on, or false if it never is.
func (e *exchange) hedgeSchedule(now time.Time) (hwhedge.Schedule, bool) {
	r := e.router
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.hedging.policy.Schedule(now, e.hedgeClass(), e.route.LatencyObjective)
}

// isDisturbed reports whether an upstream is known to be silent or disturbed.
func (e *exchange) isDisturbed(now time.Time, upstream string) bool {
	r := e.router
	r.lock.Lock()
	defer r.lock.Unlock()
	p := r.pools[e.pool]
	return p == nil || p.IsDisturbed(now, upstream)
}

// hedgeCheck is the state of the decision about a hedge.
type hedgeCheck struct {
	// first is the attempt that is running. Its goroutine owns it; only its choice may be read.
	first     *exchange
	startedAt time.Time
	// due is when after the start of the first attempt the decision was to be made.
	due time.Duration
	// checks is the number of earlier decisions.
	checks int
}

// chooseHedge decides on a second attempt. If it is sent, its start is recorded and an exchange for it is returned.
func (e *exchange) chooseHedge(now time.Time, check hedgeCheck) (*exchange, hwhedge.Decision) {
	r := e.router
	r.lock.Lock()
	defer r.lock.Unlock()
	query := hwplace.Request{
		Prompt:   e.prompt,
		Excluded: slices.Concat(e.excluded, []string{check.first.choice.Upstream.ID}),
		Random:   r.random.Float64(),
		Version:  e.version,

		NewVersions: e.newVersions(now),
	}
	pool := r.pool(now, e.pool)
	if pool == nil {
		return nil, e.suppressHedge(hwhedge.Decision{
			Reason: hwhedge.NoUpstream,
		})
	}
	choice, found := pool.Choose(now, query)
	// The few requests that cold upstreams take are left to first attempts.
	found = found && !pool.IsCold(now, choice.Upstream.ID)
	decision := r.hedging.policy.Decide(now, e.hedgeSituation(now, pool, check, choice, found))
	if decision.Hedge && !r.retryBudget(now, e.pool).TryWithdrawHedge(now) {
		decision = hwhedge.Decision{
			Reason: hwhedge.RetryBudget,
		}
	}
	if !decision.Hedge {
		return nil, e.suppressHedge(decision)
	}
	r.hedging.policy.RecordHedge(now, choice.PrefillTokens)
	r.hedging.sent++
	e.hedge = hedgeState{
		sent:   true,
		winner: noWinner,
	}
	e.attempts++
	second := e.fork(choice, e.startAttempt(now, pool, choice, query))
	// The first attempt may already have executed the request.
	second.executions++
	r.logger.Emit(hwevent.HedgeSent,
		hwevent.With("request-id", e.info.ID),
		hwevent.With("first-upstream", check.first.choice.Upstream.ID),
		hwevent.With("upstream", choice.Upstream.ID),
		hwevent.With("elapsed-ms", now.Sub(check.startedAt).Milliseconds()))
	return second, decision
}

// suppressHedge counts a final decision against a hedge. The lock must be held.
func (e *exchange) suppressHedge(decision hwhedge.Decision) hwhedge.Decision {
	if decision.CheckAgain == 0 {
		e.router.hedging.suppressed[decision.Reason]++
		e.hedge.suppressed = decision.Reason
	}
	return decision
}

// hedgeSituation collects what the decision about a hedge depends on. The lock must be held.
func (e *exchange) hedgeSituation(now time.Time, pool *hwplace.Pool, check hedgeCheck, choice hwplace.Choice, found bool) hwhedge.Situation {
	r := e.router
	headroom := pool.Headroom(now)
	admission := r.settings.Admission.Decide(hwadmit.Request{
		QueueWait:        choice.QueueWait,
		LatencyObjective: e.route.LatencyObjective,
		ShareUsage:       e.shareUsage,
		PrefillTime:      choice.PrefillTime,
	})
	return hwhedge.Situation{
		Draining:         r.drainingSince.Load() != nil,
		Suspect:          e.isHedgeSuspect(check.first.choice.Upstream.ID),
		AttemptsLeft:     e.attemptsLeft(),
		Slots:            headroom.Slots,
		FreeSlots:        headroom.FreeSlots,
		Upstreams:        headroom.Upstreams,
		WaitingUpstreams: headroom.Waiting,
		Found:            found,
		Admitted:         admission.Admitted,
		Estimate:         pool.EstimateAnswer(now, choice),
		Tokens:           choice.PrefillTokens,
		Elapsed:          now.Sub(check.startedAt),
		Due:              check.due,
		FirstEstimate:    pool.EstimateAnswer(now, check.first.choice),
		TimeLeft:         e.deadline.Sub(now),
		Checks:           check.checks,
	}
}

// isHedgeSuspect reports whether the request, or a part of its prompt, may crash upstreams, or whether it is being found out if the upstream that runs it has crashed. The lock must be held.
func (e *exchange) isHedgeSuspect(upstream string) bool {
	segments := e.router.segments
	if _, quarantined := segments.Quarantined(e.suspects); quarantined || segments.Suspected(e.suspects) {
		return true
	}
	_, checking := e.router.pendingChecks[upstream]
	return checking && !segments.AllAnswered(e.segments)
}

// recordHedgeEnd counts the end of a race and records the latency of its first attempt. Parameter elapsed is the time since its start; cut means that it was cancelled because the second attempt had won.
func (e *exchange) recordHedgeEnd(now time.Time, winner hedgeWinner, elapsed time.Duration, cut bool) {
	r := e.router
	r.lock.Lock()
	defer r.lock.Unlock()
	switch {
	case winner == firstAttempt:
		r.hedging.policy.RecordLatency(now, e.hedgeClass(), elapsed)
	case cut:
		r.hedging.policy.RecordCut(now, e.hedgeClass(), elapsed)
	}
	if !e.hedge.sent {
		return
	}
	e.hedge.winner = winner
	if winner == secondAttempt {
		r.hedging.won++
	} else {
		r.hedging.lost++
	}
}

// writeHedgeMetrics writes the counters of hedges. The lock must be held.
func (r *Router) writeHedgeMetrics(w *bytes.Buffer) {
	h := r.hedging
	if h == nil {
		h = &hedging{}
	}
	_, _ = fmt.Fprintf(w, "hickorywick_hedges_sent_total %d\n", h.sent)
	_, _ = fmt.Fprintf(w, "hickorywick_hedges_won_total %d\n", h.won)
	_, _ = fmt.Fprintf(w, "hickorywick_hedges_lost_total %d\n", h.lost)
	for _, reason := range hwhedge.Reasons() {
		_, _ = fmt.Fprintf(w, "hickorywick_hedges_suppressed_total{reason=%q} %d\n", string(reason), h.suppressed[reason])
	}
}
