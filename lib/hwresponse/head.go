// Package hwresponse detects broken HTTP/1.1 responses that net/http accepts, for every part of the fleet that reads responses.
package hwresponse

import (
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// HeadError reports that the head of a response is invalid.
type HeadError struct {
	Problem string
}

// Error returns a message with the problem.
func (e *HeadError) Error() string { return "invalid HTTP response head: " + e.Problem }

// maxStatus is the largest valid status code (RFC 9110, section 15).
const maxStatus = 599

// CheckHead returns a *HeadError if a response head that net/http has parsed is invalid, be it interim or final.
func CheckHead(status int, header http.Header) error {
	switch {
	case status < http.StatusContinue || status > maxStatus:
		return &HeadError{
			Problem: "status " + strconv.Itoa(status) + " is not between 100 and 599",
		}
	case status == http.StatusSwitchingProtocols:
		// What follows is in another protocol, which no request has asked for.
		return &HeadError{
			Problem: "status 101 without a request to switch protocols",
		}
	default:
		return checkNames(header)
	}
}

// checkNames returns a *HeadError if the name of a field is not a token (RFC 9110, section 5.1). net/http keeps a field whose name holds a blank under that name, so that neither its framing nor the removal of hop-by-hop fields recognises it.
func checkNames(header http.Header) error {
	for name, values := range header {
		// net/http also lists the trailer fields that were announced and not sent, without values.
		if values != nil && !httpguts.ValidHeaderFieldName(name) {
			return &HeadError{
				Problem: "the field name " + strconv.Quote(name) + " is not a token",
			}
		}
	}
	return nil
}
