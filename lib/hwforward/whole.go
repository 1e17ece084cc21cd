package hwforward

import (
	"context"
	"net/http"
	"strconv"

	"github.com/hickorywick/hickorywick/lib/hwlink"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

// bufferedResponse is a response whose body was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// maxResponseBytes is the maximum size of the body of a buffered response.
const maxResponseBytes = 16 << 20

// ResponseError reports that an upstream's response can't be relayed. Reason completes the sentence "the upstream's response ...".
type ResponseError struct {
	Reason string
}

func (e *ResponseError) Error() string { return "the upstream's response " + e.Reason }

// bufferAndRelay reads a response to its end before relaying it, so that a truncated response never reaches the client.
func (e *exchange) bufferAndRelay(ctx context.Context, response *hwlink.Response) attemptResult {
	buffered, failure := e.bufferResponse(ctx, response)
	if buffered == nil {
		return failure
	}
	e.writeBuffered(buffered)
	e.proof = buffered.proof()
	return attemptResult{
		outcome: done,
	}
}

// proof returns what a response to the whole request proves if the upstream survives it.
func (b *bufferedResponse) proof() hwquarantine.Proof {
	if b.status < http.StatusMultipleChoices {
		return hwquarantine.ProvesSegments
	}
	return hwquarantine.ProvesRequest
}

// bufferResponse reads a response to its end and ends the attempt. It returns the response if it may be relayed, and the result of the failed attempt otherwise.
func (e *exchange) bufferResponse(ctx context.Context, response *hwlink.Response) (*bufferedResponse, attemptResult) {
	r := e.router
	body, err := readLimited(response.Body, response.Length, maxResponseBytes, e.reserveMemory)
	if err != nil {
		e.finishAttempt(ctx, true, err)
		e.excluded = append(e.excluded, e.choice.Upstream.ID)
		return nil, attemptResult{
			outcome: failed,
			cause:   err,
		}
	}
	response.ReleaseConnection(r.clock.Now())
	buffered := &bufferedResponse{
		status: response.Status,
		header: response.Header,
		body:   body,
	}
	e.recordProgress()
	serverError := buffered.status >= http.StatusInternalServerError
	e.finishAttempt(ctx, serverError, nil)
	if serverError {
		e.excluded = append(e.excluded, e.choice.Upstream.ID)
		return nil, attemptResult{
			outcome:  failed,
			fallback: buffered,
			cause: &ResponseError{
				Reason: "is an error, status " + strconv.Itoa(buffered.status),
			},
		}
	}
	return buffered, attemptResult{}
}

// rejectionReason returns why nothing of a response may be relayed, whole or as a stream, or an empty string.
func rejectionReason(response *hwlink.Response, info ResponseInfo) string {
	_, encoded := response.Header["Content-Encoding"]
	switch {
	case encoded:
		return "has a content encoding that was not requested"
	case response.Status < http.StatusMultipleChoices && !info.Signed:
		return "is not signed"
	case promisesNotExecuted(response.Status):
		// This status would tell the client that the request was not executed, which the response does not prove.
		return "has status " + strconv.Itoa(response.Status) + " without stating that the request was not executed"
	default:
		return ""
	}
}

// rejectResponse ends an attempt of whose response nothing may be relayed.
func (e *exchange) rejectResponse(ctx context.Context, reason string) attemptResult {
	e.finishAttempt(ctx, true, nil)
	e.excluded = append(e.excluded, e.choice.Upstream.ID)
	return attemptResult{
		outcome: failed,
		cause: &ResponseError{
			Reason: reason,
		},
	}
}

// promisesNotExecuted reports whether a status tells a client that its request was not executed.
func promisesNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// writeBuffered writes a buffered response to the client and ends the exchange.
func (e *exchange) writeBuffered(buffered *bufferedResponse) {
	h := e.writer.Header()
	e.router.protocol.CopyResponseHeader(h, buffered.header)
	h.Set("Content-Length", strconv.Itoa(len(buffered.body)))
	e.status = buffered.status
	e.firstByteAt = e.router.clock.Now()
	e.headerSent = true
	e.extendWriteDeadline()
	e.writer.WriteHeader(buffered.status)
	_, err := e.writer.Write(buffered.body)
	e.logEnd(nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
