package hwresponse

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
)

// MaxInterim limits the interim (1xx) responses before a final one. net/http's client limits only the size of their heads.
const MaxInterim = 5

// InterimLimitError returns the error for a response with more than MaxInterim interim responses.
func InterimLimitError() *HeadError {
	return &HeadError{
		Problem: "more than " + strconv.Itoa(MaxInterim) + " interim responses",
	}
}

// Transport is an http.RoundTripper that fails where net/http returns a broken response.
type Transport struct {
	next http.RoundTripper
}

// NewTransport returns a transport that sends requests through next, or through http.DefaultTransport if next is nil.
func NewTransport(next http.RoundTripper) *Transport {
	if next == nil {
		next = http.DefaultTransport
	}
	return &Transport{
		next: next,
	}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// RoundTrip sends a request and returns its response. The error is a *HeadError if the head, or that of an interim response, is invalid. The body fails at its end if the trailer is invalid, or with an *EarlyCloseError if it ends with the connection before the request was written. Whether the server has received what was written is for a Conn to tell.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	interim := 0
	written := make(chan httptrace.WroteRequestInfo, 1)
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		// With this hook, net/http leaves it to the hook to limit interim responses.
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			interim++
			if interim > MaxInterim {
				return InterimLimitError()
			}
			return CheckHead(status, http.Header(header))
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			// net/http may send a request again, and only the last time counts.
			select {
			case <-written:
			default:
			}
			written <- info
		},
	})
	response, err := t.next.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		_ = response.Body.Close()
		// net/http puts the connection of a response without a body back before it returns the response.
		t.CloseIdleConnections()
		return nil, err
	}
	// It puts the connection back at the end of a body, too, before the trailer is judged.
	body := NewBody(response).WithBrokenHook(t.CloseIdleConnections)
	if IsCloseDelimited(response, request.Method) {
		body = body.WithEndCheck(func() error { return checkWritten(ctx, written) })
	}
	response.Request = request
	response.Body = body
	return response, nil
}

// checkWritten returns an error unless the whole request was written. It is called at the end of a response's connection, which ends the write.
func checkWritten(ctx context.Context, written <-chan httptrace.WroteRequestInfo) error {
	select {
	case info := <-written:
		if info.Err != nil {
			return &EarlyCloseError{
				Cause: info.Err,
			}
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
