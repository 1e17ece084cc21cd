package hwforward

import (
	"context"
	"net/http"
	"strconv"

	"github.com/hickorywick/hickorywick/lib/hwlink"
)

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	signed bool
}

// largestAnswer bounds an answer that is read whole, in bytes.
const largestAnswer = 16 << 20

// ResponseError is the cause when an upstream's answer can't be relayed.
type ResponseError struct {
	Reason string
}

// Error says what is wrong.
func (e *ResponseError) Error() string { return "the upstream's answer " + e.Reason }

// whole reads an answer to its end and relays it, so that one that breaks off never reaches the caller.
func (d *delivery) whole(ctx context.Context, answer *hwlink.Response, facts ResponseInfo) attempt {
	r := d.router
	body, err := readBody(answer.Body, answer.Length, largestAnswer, d.hold)
	if err != nil {
		d.finish(ctx, true, true)
		d.excluded = append(d.excluded, d.choice.Upstream.ID)
		return attempt{
			outcome: failed,
			cause:   err,
		}
	}
	answer.ReleaseConnection(r.clock.Now())
	whole := &wholeAnswer{
		status: answer.Status,
		header: answer.Header,
		body:   body,
		signed: facts.Signed,
	}
	if fault := d.fault(whole); fault != "" {
		d.finish(ctx, true, false)
		d.excluded = append(d.excluded, d.choice.Upstream.ID)
		return attempt{
			outcome: failed,
			cause: &ResponseError{
				Reason: fault,
			},
		}
	}
	d.answered()
	bad := whole.status >= http.StatusInternalServerError
	d.finish(ctx, bad, false)
	if bad {
		d.excluded = append(d.excluded, d.choice.Upstream.ID)
		return attempt{
			outcome: failed,
			spare:   whole,
			cause: &ResponseError{
				Reason: "is a failure, " + strconv.Itoa(whole.status),
			},
		}
	}
	d.relayWhole(whole)
	r.acquit(r.clock.Now(), d.fingerprint)
	return attempt{
		outcome: done,
	}
}

// fault returns why an answer must not be relayed, or nothing.
func (d *delivery) fault(w *wholeAnswer) string {
	switch {
	case w.header.Get("Content-Encoding") != "":
		return "is encoded though nobody asked for it"
	case w.status < http.StatusMultipleChoices && !w.signed:
		return "is not signed"
	case promises(w.status):
		// To the caller the status would promise that the request has not run, which this answer does not prove.
		return "has status " + strconv.Itoa(w.status) + " without saying that the request did not run"
	default:
		return ""
	}
}

// promises reports whether a status tells a caller that its request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// relayWhole writes an upstream's answer.
func (d *delivery) relayWhole(w *wholeAnswer) {
	h := d.writer.Header()
	d.router.edge.CopyResponseHeader(h, w.header)
	h.Set("Content-Length", strconv.Itoa(len(w.body)))
	d.status = w.status
	d.firstByte = d.router.clock.Now()
	d.headed = true
	d.extendWrite()
	d.writer.WriteHeader(w.status)
	_, err := d.writer.Write(w.body)
	d.log(nil)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}
