package hwforward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwhedge"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// race runs an attempt of a request and, if that is late, a second one at another upstream. The goroutine of the request owns it. The contenders' goroutines touch only their own exchange and the winner.
type race struct {
	parent *exchange
	// contenders are the first attempt and, once it is sent, the hedge. The results come through ended.
	contenders []*contender
	ended      chan *contender
	winner     atomic.Pointer[contender]
	running    int
	// hedgeDue fires when a hedge is decided on.
	hedgeDue *time.Timer
	schedule hwhedge.Schedule
	check    hedgeCheck
	// timeout fires when the first attempt has used up its time, or is nil; timedOut is set then.
	timeout  *time.Timer
	timedOut bool
	// crashCheck is closed once it is known whether the upstream of a contender that has failed has crashed, or nil.
	crashCheck <-chan struct{}
}

// maxContenders is the number of attempts of a request that may run at the same time.
const maxContenders = 2

// sendHedged sends the request to the selected upstream and, if the answer is late, to another one. The first good answer is relayed.
func (e *exchange) sendHedged(ctx context.Context) attemptResult {
	now := e.router.clock.Now()
	s := &race{
		parent: e,
		ended:  make(chan *contender, maxContenders),
	}
	defer s.close()
	schedule, planned := e.hedgeSchedule(now)
	s.schedule = schedule
	s.check.due = schedule.Early
	s.hedgeDue = time.NewTimer(schedule.Early)
	if !planned {
		s.hedgeDue.Stop()
	}
	if timeout, limited := e.attemptTimeout(now); limited {
		s.timeout = time.NewTimer(timeout)
	}
	s.check.first = e.fork(e.choice, e.inFlight)
	s.check.startedAt = now
	s.start(ctx, now, s.check.first, false)
	for {
		if result, over := s.step(ctx); over {
			return result
		}
	}
}

// start begins an attempt. The timeout of the first one is that of the race, because whether it applies depends on the second.
func (s *race) start(requestCtx context.Context, now time.Time, child *exchange, limited bool) {
	ctx, cancel := context.WithCancel(requestCtx)
	limit := unlimitedContext
	if limited {
		limit = child.attemptContext
	}
	attemptCtx, cancelAttempt := limit(ctx, now)
	c := &contender{
		race:          s,
		exchange:      child,
		cancel:        cancel,
		cancelAttempt: cancelAttempt,
		executions:    child.executions,
		exclusions:    len(child.excluded),
	}
	s.contenders = append(s.contenders, c)
	s.running++
	child.router.watchAttempt(child, cancelAttempt)
	c.done = hwtask.Start(ctx, func(ctx context.Context) error {
		c.run(ctx, attemptCtx, now)
		s.ended <- c
		return nil
	})
}

// unlimitedContext returns the context of an attempt without a timeout of its own.
func unlimitedContext(ctx context.Context, _ time.Time) (context.Context, context.CancelFunc) {
	return context.WithCancel(ctx)
}

// claim makes a contender the winner and reports whether there was none before.
func (s *race) claim(c *contender) bool { return s.winner.CompareAndSwap(nil, c) }

// step waits for the next event of the race, and returns the result of the attempt once the race is over.
func (s *race) step(ctx context.Context) (attemptResult, bool) {
	var timeout <-chan time.Time
	if s.timeout != nil {
		timeout = s.timeout.C
	}
	select {
	case c := <-s.ended:
		return s.settle(ctx, c)
	case <-s.hedgeDue.C:
		s.decideHedge(ctx)
	case <-timeout:
		s.timedOut = true
		s.cutFirst()
	case <-s.crashCheck:
		s.crashCheck = nil
		s.cutCulprit()
	}
	return attemptResult{}, false
}

// decideHedge sends a hedge, or sets the time of the next decision. Before the late time, a hedge is sent only if the first upstream is known to be silent or disturbed.
func (s *race) decideHedge(ctx context.Context) {
	if s.winner.Load() != nil {
		return
	}
	e := s.parent
	now := e.router.clock.Now()
	first := s.check.first
	elapsed := now.Sub(s.check.startedAt)
	if s.check.due < s.schedule.Late && !e.isDisturbed(now, first.choice.Upstream.ID) {
		s.check.due = s.schedule.Late
		s.hedgeDue.Reset(s.check.due - elapsed)
		return
	}
	second, decision := e.chooseHedge(now, s.check)
	s.check.checks++
	switch {
	case second != nil:
		s.start(ctx, now, second, true)
	case decision.CheckAgain > 0:
		s.check.due = decision.CheckAgain
		s.hedgeDue.Reset(s.check.due - elapsed)
	}
}

// settle takes the end of a contender into account.
func (s *race) settle(ctx context.Context, c *contender) (attemptResult, bool) {
	e := s.parent
	child := c.exchange
	c.ended = true
	s.running--
	e.executions += child.executions - c.executions
	e.excluded = append(e.excluded, child.excluded[c.exclusions:]...)
	e.reservedBytes += child.reservedBytes
	child.reservedBytes = 0
	if child.cancelled.Load() {
		e.cancelled.Store(true)
	}
	switch {
	case s.winner.Load() == c:
		return s.relay(ctx, c), true
	case s.running == 0:
		return s.failure(ctx), true
	}
	// The other attempt takes the place of a retry.
	s.crashCheck = child.crashCheck
	s.cutFirst()
	return attemptResult{}, false
}

// cutFirst ends the first attempt after its timeout, unless the hedge has taken the attempt that would follow.
func (s *race) cutFirst() {
	e := s.parent
	if s.timedOut && e.route.MaxAttempts-e.executions-s.running > 0 {
		s.contenders[0].cancelAttempt()
	}
}

// cutCulprit ends the attempts that still run if the request may have crashed the upstream of the one that has failed.
func (s *race) cutCulprit() {
	r := s.parent.router
	r.lock.Lock()
	culprit := !r.segments.AllAnswered(s.parent.segments) && r.segments.Suspected(s.parent.segments)
	r.lock.Unlock()
	// Once the race itself has claimed the win, no contender can win while it is being cancelled.
	if culprit && s.claim(&contender{}) {
		s.cancelExcept(nil)
	}
}

// cancelExcept cancels all contenders but one. Their upstreams stop once the connections are closed.
func (s *race) cancelExcept(winner *contender) {
	for _, c := range s.contenders {
		if c != winner {
			c.cancel()
		}
	}
}

// relay cancels the other contender and relays the answer of the winner.
func (s *race) relay(ctx context.Context, c *contender) attemptResult {
	e := s.parent
	s.cancelExcept(c)
	now := e.router.clock.Now()
	first := s.contenders[0]
	winner := secondAttempt
	if c == first {
		winner = firstAttempt
	}
	e.recordHedgeEnd(now, winner, now.Sub(s.check.startedAt), !first.ended)
	e.adopt(c)
	if c.response != nil {
		defer c.response.Close()
		defer e.recordExposure()
		return e.relayStream(ctx, c.response)
	}
	e.writeBuffered(c.buffered)
	if s.running > 0 {
		// The client need not wait until the other attempt has ended. An error means that it has left.
		_ = e.controller.Flush()
	}
	return attemptResult{
		outcome: done,
	}
}

// adopt makes the winner's attempt that of the request.
func (e *exchange) adopt(c *contender) {
	child := c.exchange
	e.choice = child.choice
	e.inFlight = child.inFlight
	e.sentAt = child.sentAt
	e.proof = child.proof
	e.suspected = child.suspected
	r := e.router
	r.lock.Lock()
	defer r.lock.Unlock()
	e.begun = child.begun
	if _, watched := r.attempts[child]; watched {
		delete(r.attempts, child)
		r.attempts[e] = c.cancelAttempt
	} else {
		// A segment of the prompt was quarantined between the answer and now.
		e.cancelled.Store(true)
	}
}

// failure returns the result of a race in which no contender had a good answer, as if one attempt had failed.
func (s *race) failure(ctx context.Context) attemptResult {
	e := s.parent
	e.recordHedgeEnd(e.router.clock.Now(), noWinner, 0, false)
	result := s.contenders[0].result
	for _, c := range s.contenders[1:] {
		if severity(c.result) > severity(result) {
			result = c.result
		}
	}
	for _, c := range s.contenders {
		if result.fallback == nil {
			result.fallback = c.result.fallback
		}
		if check := c.exchange.crashCheck; check != nil {
			awaitCheck(ctx, e.crashCheck)
			e.crashCheck = check
		}
	}
	return result
}

// awaitCheck waits until it is known whether an upstream has crashed.
func awaitCheck(ctx context.Context, check <-chan struct{}) {
	if check == nil {
		return
	}
	select {
	case <-check:
	case <-ctx.Done():
	}
}

// severity orders failed attempts by what they mean for a retry: one that may have been executed comes before one that certainly was not, and that before one of which nothing was sent.
func severity(result attemptResult) int {
	switch {
	case result.unsent:
		return 0
	case result.outcome == notExecuted:
		return 1
	default:
		return 2
	}
}

// close cancels the attempts and waits until their connections are closed and their ends are recorded.
func (s *race) close() {
	e := s.parent
	s.hedgeDue.Stop()
	if s.timeout != nil {
		s.timeout.Stop()
	}
	s.cancelExcept(nil)
	for _, c := range s.contenders {
		// The task returns no error.
		_ = hwtask.Join(c.done)
		c.exchange.releaseMemory()
		e.router.unwatchAttempt(c.exchange)
	}
	e.router.unwatchAttempt(e)
}
