package hwresponse

import (
	"errors"
	"io"
	"net/http"
)

// IsCloseDelimited reports whether a response that net/http has parsed has neither a length nor a transfer encoding, so that its body ends with the connection.
func IsCloseDelimited(response *http.Response, method string) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && method != http.MethodHead
}

// Body is the body of a response that net/http has parsed. It fails at its end if net/http takes a broken body for a complete one.
type Body struct {
	response *http.Response
	source   io.ReadCloser
	checkEnd func() error
	onBroken func()
	// err is the error with which the body ended, or nil.
	err error
}

// NewBody returns a reader of a response's body.
func NewBody(response *http.Response) *Body {
	return &Body{
		response: response,
		source:   response.Body,
		checkEnd: func() error { return nil },
		onBroken: func() {},
	}
}

// WithEndCheck returns a reader that also calls check at the end of the body, and fails with its error.
func (b *Body) WithEndCheck(check func() error) *Body {
	return &Body{
		response: b.response,
		source:   b.source,
		checkEnd: check,
		onBroken: b.onBroken,
	}
}

// WithBrokenHook returns a reader that also calls hook if the body fails at its end.
func (b *Body) WithBrokenHook(hook func()) *Body {
	return &Body{
		response: b.response,
		source:   b.source,
		checkEnd: b.checkEnd,
		onBroken: hook,
	}
}

// Read reads from the body. At the end, it returns an error in place of io.EOF if the trailer is invalid or the check fails.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.endError()
	}
	b.err = err
	return n, err
}

// Close closes the response's body.
func (b *Body) Close() error { return b.source.Close() }

// endError returns io.EOF if the body that has ended is complete.
func (b *Body) endError() error {
	err := checkNames(b.response.Trailer)
	if err == nil {
		err = b.checkEnd()
	}
	if err == nil {
		return io.EOF
	}
	b.onBroken()
	return err
}
