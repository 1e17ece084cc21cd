// Package hwresponse detects broken HTTP/1.1 responses that net/http accepts, for every part of the fleet that reads responses.
package hwresponse

import (
	"net/http"
	"strconv"
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
func CheckHead(status int) error {
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
		return nil
	}
}
