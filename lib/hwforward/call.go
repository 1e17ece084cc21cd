// Package hwforward proxies requests from clients to upstreams: it matches the route, authenticates the key, admits or refuses the request, forwards it, retries it where that is allowed, and relays the response.
//
// The headers that clients and upstreams use beyond plain HTTP are behind the Protocol interface. Package hwplace selects the upstream and package hwadmit decides on admission. This package combines the two, holds the lock that guards their state, and makes sure that every response is correct about whether the request was executed.
package hwforward

import (
	"net/http"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
)

// RequestInfo is the information that Protocol extracts from a request's header.
type RequestInfo struct {
	// ID identifies the request; upstreams echo it.
	ID string
	// APIKey is the client's key, or empty.
	APIKey string
	// ClientTimeout is how long the client waits for the complete response, or 0 if it does not state a timeout.
	ClientTimeout time.Duration
	// Model and PromptParts describe the prompt; PromptTokens is its length.
	Model        string
	PromptParts  []hwprompt.Segment
	PromptTokens int
	// MaxOutputTokens is the limit on the number of generated tokens.
	MaxOutputTokens int
	// LastEventID is the id of the last event that the client received, or empty.
	LastEventID string
	// Resumes is the ID of the request that brought the first event of the stream that the client takes up, or empty.
	Resumes string
}

// ForwardInfo is what the router sends to an upstream in addition to the client's request.
type ForwardInfo struct {
	// TimeLeft is the time until the client's deadline.
	TimeLeft time.Duration
	// ExpectedUpstream is the id of the upstream that the request is addressed to.
	ExpectedUpstream string
	// Account is the client account, or empty.
	Account string
	// FetchCacheFrom is the address of an upstream whose prefix cache holds more of the prompt, or empty.
	FetchCacheFrom string
	// LastEventID is the id of the last event that the client received, or empty.
	LastEventID string
}

// ResponseInfo is the information that Protocol extracts from the status and header of an upstream's response.
type ResponseInfo struct {
	// Signed reports whether the response carries an upstream's signature.
	Signed bool
	// NotExecuted reports whether the upstream states that it did not execute the request.
	NotExecuted bool
	// Load is the load that the upstream reports, or nil.
	Load *hwplace.Load
	// Leaving reports whether the upstream states that it leaves.
	Leaving bool
	// Pause is for how long the upstream wants no requests of this router, or 0. UnusablePause reports that it states a time that can't be read.
	Pause         time.Duration
	UnusablePause bool
	// ColdFor is how much longer the upstream is cold by its own word, or 0.
	ColdFor time.Duration
}

// Protocol translates between the headers of clients and upstreams and the router's types.
type Protocol interface {
	// ParseRequest reads the header of a client's request.
	ParseRequest(request *http.Request) RequestInfo
	// UpstreamHeader returns the request header for an upstream: the client's header without hop-by-hop fields and fields that are meant for the router only, plus the fields of info.
	UpstreamHeader(header http.Header, info ForwardInfo) http.Header
	// ParseResponse reads the status and header of an upstream's response.
	ParseResponse(status int, header http.Header) ResponseInfo
	// CopyResponseHeader copies the header of an upstream's response for the client, without hop-by-hop fields and fields that are meant for the router only.
	CopyResponseHeader(to, from http.Header)
	// RequestIDHeader returns the name of the header in which upstreams echo the request id.
	RequestIDHeader() string
}

// CacheLister translates the query that asks an engine which segments of prompts it has cached.
type CacheLister interface {
	// CacheListTarget returns the request target of the query, which is a GET request.
	CacheListTarget() string
	// ParseCacheList reads the body of the response.
	ParseCacheList(body []byte) ([]hwprompt.CachedSegment, error)
}

// HopByHopHeaders apply to a single connection and are never forwarded.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// admissionRefusalKind tells callers whether they exceed their share or the fleet lacks capacity: an account within its share can do nothing about the refusal.
func (e *exchange) admissionRefusalKind() hwerror.Kind {
	if e.shareUsage >= 1 {
		return hwerror.KindOverShare
	}
	return hwerror.KindDeadlineCannotBeMet
}

// refusalStatus returns the HTTP status of a refusal. It differs from the status in hwerror only where the status must guarantee to the client that the request was not executed: such refusals use 503.
func refusalStatus(refusal *hwerror.RequestError) int {
	switch refusal.Kind {
	case hwerror.KindRequestQuarantined, hwerror.KindQueueFull:
		return http.StatusServiceUnavailable
	default:
		return refusal.Status()
	}
}
