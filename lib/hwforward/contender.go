package hwforward

import (
	"bytes"
	"context"
	"io"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwlink"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// contender is one of the attempts of a request that run at the same time. Its exchange belongs to its goroutine until that has ended, has no writer, and never writes to the client.
type contender struct {
	race     *race
	exchange *exchange
	// cancel ends the attempt because the request has ended or another contender has won, which is no failure of the upstream. cancelAttempt ends it at its timeout.
	cancel        context.CancelFunc
	cancelAttempt context.CancelFunc
	// executions and exclusions are those of the exchange at the start.
	executions int
	exclusions int
	// done is closed when the goroutine has ended.
	done <-chan error
	// ended is set once the owner of the race has taken the result into account.
	ended bool

	// buffered is the whole answer, or response a stream whose first event has arrived, if the contender has won.
	buffered *bufferedResponse
	response *hwlink.Response
	// result is the end of an attempt without a good answer.
	result attemptResult
}

// startAttempt records the start of an attempt at an upstream. The lock must be held.
func (e *exchange) startAttempt(now time.Time, pool *hwplace.Pool, choice hwplace.Choice, query hwplace.Request) *hwplace.InFlightRequest {
	r := e.router
	inFlight := pool.Start(now, choice, query)
	if pool.HasEngines() {
		for _, segment := range e.prompt.Segments() {
			r.pendingUpdate.Prefills = append(r.pendingUpdate.Prefills, Prefill{
				Pool:     e.pool,
				Upstream: hwplace.HashID(choice.Upstream.ID),
				Prefix:   segment,
			})
		}
	}
	return inFlight
}

// fork returns an exchange for one more attempt of the request at the chosen upstream. It shares only what does not change during attempts.
func (e *exchange) fork(choice hwplace.Choice, inFlight *hwplace.InFlightRequest) *exchange {
	return &exchange{
		router:     e.router,
		request:    e.request,
		info:       e.info,
		route:      e.route,
		pool:       e.pool,
		account:    e.account,
		body:       e.body,
		prompt:     e.prompt,
		cost:       e.cost,
		arrivedAt:  e.arrivedAt,
		deadline:   e.deadline,
		identity:   e.identity,
		segments:   e.segments,
		suspects:   e.suspects,
		executions: e.executions,
		attempts:   e.attempts,
		excluded:   slices.Clone(e.excluded),
		inFlight:   inFlight,
		choice:     choice,
		version:    e.version,
		origin:     e.origin,
		queueWait:  e.queueWait,
		shareUsage: e.shareUsage,
	}
}

// run sends the request and waits for the whole answer, or the first event of a stream. The first contender that has one wins; another ends its attempt as one that the router has cut.
//
// attemptCtx ends with ctx or with the timeout of the attempt.
func (c *contender) run(ctx, attemptCtx context.Context, now time.Time) {
	e := c.exchange
	response, result := e.exchangeHead(ctx, attemptCtx, now)
	switch {
	case response == nil:
		c.result = result
	case e.isStream(response):
		c.awaitEvent(ctx, response)
	default:
		c.bufferAnswer(ctx, response)
	}
	if c.buffered == nil && c.response == nil && c.result.fallback == nil {
		e.releaseMemory()
	}
}

// bufferAnswer reads a whole answer.
func (c *contender) bufferAnswer(ctx context.Context, response *hwlink.Response) {
	e := c.exchange
	defer response.Close()
	defer e.recordExposure()
	buffered, failure := e.bufferResponse(ctx, response)
	if buffered == nil {
		c.result = failure
		return
	}
	e.proof = buffered.proof()
	if c.race.claim(c) {
		c.buffered = buffered
		return
	}
	c.result = cutResult()
}

// awaitEvent reads a stream up to its first event. What was read is relayed once the contender is adopted.
func (c *contender) awaitEvent(ctx context.Context, response *hwlink.Response) {
	e := c.exchange
	read, err := e.readFirstEvent(response)
	if err == nil && c.race.claim(c) {
		response.Body = io.MultiReader(bytes.NewReader(read), response.Body)
		c.response = response
		return
	}
	defer response.Close()
	defer e.recordExposure()
	e.finishAttempt(ctx, err != nil, err)
	if err == nil {
		c.result = cutResult()
		return
	}
	e.excluded = append(e.excluded, e.choice.Upstream.ID)
	c.result = attemptResult{
		outcome: failed,
		cause:   err,
	}
}

// cutResult is the result of an attempt that had an answer after another one had won.
func cutResult() attemptResult {
	return attemptResult{
		outcome: failed,
		cause:   context.Canceled,
	}
}

// readFirstEvent reads a stream until it holds an event that is no comment, or has ended, and returns what was read.
func (e *exchange) readFirstEvent(response *hwlink.Response) ([]byte, error) {
	var read []byte
	// checked is the length of the comments at the beginning.
	checked := 0
	chunk := make([]byte, streamReadBytes)
	for {
		n, err := response.Body.Read(chunk)
		oldCap := cap(read)
		read = append(read, chunk[:n]...)
		if grown := cap(read) - oldCap; grown > 0 {
			if reserveErr := e.reserveMemory(int64(grown)); reserveErr != nil {
				return nil, reserveErr
			}
		}
		for end := eventEnd(read[checked:]); end >= 0; end = eventEnd(read[checked:]) {
			if !isComment(read[checked : checked+end]) {
				return read, nil
			}
			checked += end
		}
		switch {
		case err == io.EOF && len(bytes.Trim(read[checked:], "\r\n")) > 0:
			return nil, &ResponseError{
				Reason: "ends inside an event",
			}
		case err == io.EOF:
			return read, nil
		case err != nil:
			return nil, err
		case len(read) > maxEventBytes:
			return nil, &ResponseError{
				Reason: "has an event that is too large",
			}
		}
	}
}
