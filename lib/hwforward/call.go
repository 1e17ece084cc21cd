// Package hwforward carries callers' requests to upstreams and their answers back: it finds the route, checks the key, admits or refuses, sends, tries again where that is allowed, and relays.
//
// What callers and upstreams speak beyond plain HTTP is behind the Edge interface. Where a request goes is decided by hwplace, whether it is taken by hwadmit; this package joins them, holds their lock, and makes the answers true.
package hwforward

import (
	"net/http"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// Call is what a request's head says, in the product's words.
type Call struct {
	// ID names this one request; upstreams echo it.
	ID string
	// Key is the caller's key, or empty.
	Key string
	// Patience is how long the caller waits for the end of the answer, or 0 when it does not say.
	Patience time.Duration
	// Model and Parts describe the prompt, PromptTokens its length.
	Model        string
	Parts        []hwprompt.Segment
	PromptTokens int
	// OutputTokens is the largest number of tokens to generate.
	OutputTokens int
	// ResumeAfter is the id of the last event that the caller has, or empty.
	ResumeAfter string
}

// Send is what the router tells an upstream beside the request itself.
type Send struct {
	// Left is the time that the caller still waits.
	Left time.Duration
	// Expect is the id of the upstream for which the request is meant.
	Expect string
	// Account is the client account, or empty.
	Account string
	// FetchFrom is the address of an upstream whose cache holds more of the prompt, or empty.
	FetchFrom string
	// ResumeAfter is the id of the last event that the caller has, or empty.
	ResumeAfter string
}

// Facts are what the head of an upstream's answer says.
type Facts struct {
	// Signed tells that the answer is an upstream's own.
	Signed bool
	// NotRun is the upstream's statement that it did not run the request.
	NotRun bool
	// Load is nil when the answer tells no load.
	Load *hwplace.Load
}

// Edge translates between what callers and upstreams speak and the router's own types.
type Edge interface {
	// Call reads a request's head.
	Call(request *http.Request) Call
	// Forward returns the header for an upstream: the caller's, less what concerns one connection or is not for upstreams, with what the router has to say.
	Forward(header http.Header, send Send) http.Header
	// Facts reads the head of an upstream's answer.
	Facts(status int, header http.Header) Facts
	// Relay writes the header of an upstream's answer for the caller, less what concerns one connection or only the router.
	Relay(to, from http.Header)
	// IDHeader is the header in which upstreams echo a request's id.
	IDHeader() string
}

// HopHeaders concern one connection and are never passed on.
var HopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// refusal kinds and their statuses differ from hwerror's table only where a status is a promise: what has not run is refused with 503.
func statusOf(f *hwerror.Refusal) int {
	switch f.Kind {
	case hwerror.KindQuarantined, hwerror.KindQueueFull:
		return http.StatusServiceUnavailable
	default:
		return f.Status()
	}
}
