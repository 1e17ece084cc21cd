package hwresponse

import (
	"errors"
	"io"
	"net/http"
)

// Body is the body of a response that net/http has parsed. It fails at its end if net/http takes a broken body for a complete one.
type Body struct {
	response *http.Response
}

// NewBody returns a reader of a response's body.
func NewBody(response *http.Response) *Body {
	return &Body{
		response: response,
	}
}

// Read reads from the body. At the end, it returns a *HeadError in place of io.EOF if the trailer is invalid.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := checkNames(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
