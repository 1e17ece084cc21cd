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
	source   io.Reader
	checkEnd func() error
	// err is the error with which the body ended, or nil.
	err error
}

// NewBody returns a reader of a response's body.
func NewBody(response *http.Response) *Body {
	return &Body{
		response: response,
		source:   response.Body,
		checkEnd: func() error { return nil },
	}
}

// WithEndCheck returns a reader that also calls check at the end of the body, and fails with its error.
func (b *Body) WithEndCheck(check func() error) *Body {
	return &Body{
		response: b.response,
		source:   b.source,
		checkEnd: check,
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

// endError returns io.EOF if the body that has ended is complete.
func (b *Body) endError() error {
	if err := checkNames(b.response.Trailer); err != nil {
		return err
	}
	if err := b.checkEnd(); err != nil {
		return err
	}
	return io.EOF
}
