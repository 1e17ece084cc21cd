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

// RequestInfo is what a request's head says, in the product's words.
type RequestInfo struct {
	// ID names this one request; upstreams echo it.
	ID string
	// APIKey is the caller's key, or empty.
	APIKey string
	// ClientTimeout is how long the caller waits for the end of the answer, or 0 when it does not say.
	ClientTimeout time.Duration
	// Model and Parts describe the prompt, PromptTokens its length.
	Model        string
	PromptParts  []hwprompt.Segment
	PromptTokens int
	// MaxOutputTokens is the largest number of tokens to generate.
	MaxOutputTokens int
	// LastEventID is the id of the last event that the caller has, or empty.
	LastEventID string
}

// ForwardInfo is what the router tells an upstream beside the request itself.
type ForwardInfo struct {
	// TimeLeft is the time that the caller still waits.
	TimeLeft time.Duration
	// ExpectedUpstream is the id of the upstream for which the request is meant.
	ExpectedUpstream string
	// Account is the client account, or empty.
	Account string
	// FetchCacheFrom is the address of an upstream whose cache holds more of the prompt, or empty.
	FetchCacheFrom string
	// LastEventID is the id of the last event that the caller has, or empty.
	LastEventID string
}

// ResponseInfo are what the head of an upstream's answer says.
type ResponseInfo struct {
	// Signed tells that the answer is an upstream's own.
	Signed bool
	// NotExecuted is the upstream's statement that it did not run the request.
	NotExecuted bool
	// Load is nil when the answer tells no load.
	Load *hwplace.Load
}

// Protocol translates between what callers and upstreams speak and the router's own types.
type Protocol interface {
	// ParseRequest reads a request's head.
	ParseRequest(request *http.Request) RequestInfo
	// UpstreamHeader returns the header for an upstream: the caller's, less what concerns one connection or is not for upstreams, with what the router has to say.
	UpstreamHeader(header http.Header, send ForwardInfo) http.Header
	// ParseResponse reads the head of an upstream's answer.
	ParseResponse(status int, header http.Header) ResponseInfo
	// CopyResponseHeader writes the header of an upstream's answer for the caller, less what concerns one connection or only the router.
	CopyResponseHeader(to, from http.Header)
	// RequestIDHeader is the header in which upstreams echo a request's id.
	RequestIDHeader() string
}

// HopByHopHeaders concern one connection and are never passed on.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// refusal kinds and their statuses differ from hwerror's table only where a status is a promise: what has not run is refused with 503.
func statusOf(f *hwerror.RequestError) int {
	switch f.Kind {
	case hwerror.KindRequestQuarantined, hwerror.KindQueueFull:
		return http.StatusServiceUnavailable
	default:
		return f.Status()
	}
}
