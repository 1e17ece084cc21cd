// Package hwintake authenticates and validates HTTP requests of clients, and writes errors back as JSON.
package hwintake

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Call is a validated request of a client account. It is immutable once it has been passed to the Gateway.
//
// It is passed by pointer: copies in the stack frames between the listener and the code that relays a stream would grow the stack of each open stream from eight kilobytes to sixteen.
type Call struct {
	ID      string
	Account hwdocument.Account
	Pool    hwdocument.Pool
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// Stream is true if the client asked for an event stream.
	Stream bool
	// Idempotent is true if the request may safely run more than once.
	Idempotent bool
	// IdempotencyKey is empty if the client sent none.
	IdempotencyKey string
	// QueueTimeout is how long the call may wait in a queue before it is sent to an upstream.
	QueueTimeout time.Duration
	// ResponseTimeout is how long the complete response may take.
	ResponseTimeout time.Duration
	// PromptTokens is the estimated length of the prompt in tokens.
	PromptTokens float64
	// MaxTokens is the client's limit on generated tokens; 0 means no limit.
	MaxTokens float64
	// PrefixHash is a hash of the beginning of the prompt, for routing to a warm prefix cache; 0 means no prompt.
	PrefixHash uint64
	BodyHash   uint64
	// Segments are the messages of a chat that other requests may share: all but the last one.
	Segments []hwquarantine.Segment
}

// Gateway routes calls to upstreams.
type Gateway interface {
	// Document returns the active configuration document, or nil before the first one is loaded.
	Document() *hwdocument.Document
	// Serve executes a call and writes its response, or an error, to the writer.
	Serve(ctx context.Context, call *Call, writer http.ResponseWriter)
}

// Limits restrict the bodies that clients may send.
type Limits struct {
	MaxBodyBytes int64
	// BodyReadTimeout is how long reading the whole body may take.
	BodyReadTimeout time.Duration
}

// IdempotencyKeyHeader carries the client's key for a request that must run at most once.
const IdempotencyKeyHeader = "Idempotency-Key"

// RequestIDHeader carries the request's ID, which the client or else the router chooses.
const RequestIDHeader = "X-Request-Id"

// maxIDBytes is the maximum length in bytes of request IDs and idempotency keys that clients choose.
const maxIDBytes = 200

// bytesPerToken approximates the size of a token of text.
const bytesPerToken = 4

// prefixBytes is how much of a prompt is hashed into Call.PrefixHash.
const prefixBytes = 2048

func reject(kind hwerror.Kind, message string) *hwerror.RequestError {
	return hwerror.NewRejection(kind, hwevent.RequestRefused.Number, message)
}

// readBody reads the whole body, within the limits on its size and time.
func readBody(w http.ResponseWriter, r *http.Request, limits Limits) ([]byte, *hwerror.RequestError) {
	control := http.NewResponseController(w)
	// The error is ignored: writers without read deadlines occur only in tests, where no client sends slowly.
	_ = control.SetReadDeadline(time.Now().Add(limits.BodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, reject(hwerror.KindBodyTooLarge, "the body is larger than this service accepts")
	case err != nil:
		// The read deadline is not cleared: the server still reads the rest of the body before it responds.
		w.Header().Set("Connection", "close")
		return nil, reject(hwerror.KindMalformedRequest, "the body could not be read to its end in time")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// completionRequest holds the fields of a completion request that the router uses.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           float64         `json:"max_tokens"`
	MaxCompletionTokens float64         `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`

	segments []hwquarantine.Segment
}

// decodeCompletion parses a completion request in a separate goroutine. The decoder needs a deep stack, which the goroutine that serves the client would keep until the response has been streamed.
func decodeCompletion(body []byte) (completionRequest, error) {
	var request completionRequest
	done := hwtask.Start(context.Background(), func(context.Context) error {
		if err := json.NewDecoder(bytes.NewReader(body)).Decode(&request); err != nil {
			return err
		}
		request.segments = chatSegments(request.Model, request.Messages)
		return nil
	})
	err := <-done
	return request, err
}

// chatSegments identifies the messages of a chat that other requests may share. A chat that is no list of messages has none; the engine judges it.
func chatSegments(model string, encoded json.RawMessage) []hwquarantine.Segment {
	var messages []json.RawMessage
	if len(encoded) == 0 || json.Unmarshal(encoded, &messages) != nil || len(messages) < 2 {
		return nil
	}
	segments := make([]hwquarantine.Segment, 0, len(messages)-1)
	for _, message := range messages[:len(messages)-1] {
		digest := xxhash.New()
		// Writing to a digest never fails.
		_, _ = digest.WriteString(model + "\x00")
		_, _ = digest.Write(message)
		segments = append(segments, hwquarantine.Segment(digest.Sum64()))
	}
	return segments
}

// completionCall validates a completion request and fills in the call.
func completionCall(document *hwdocument.Document, account hwdocument.Account, call *Call) (*Call, *hwerror.RequestError) {
	request, err := decodeCompletion(call.Body)
	if err != nil {
		return nil, reject(hwerror.KindMalformedRequest, "the body is not a JSON completion request")
	}
	prompt := request.Prompt
	if strings.HasSuffix(call.Path, "/chat/completions") {
		prompt = request.Messages
	}
	if request.Model == "" || len(prompt) == 0 {
		return nil, reject(hwerror.KindMalformedRequest, "the request names no model or no prompt")
	}
	pool, known := document.PoolForModel(request.Model)
	if !known || !account.MayUsePool(pool.Name) {
		return nil, reject(hwerror.KindUnknownModel, "the model does not exist or is not open to this account")
	}
	call.Pool = pool
	call.Stream = request.Stream
	call.Idempotent = true
	call.QueueTimeout = pool.QueueTimeout.Std()
	call.ResponseTimeout = pool.AnswerTimeout.Std()
	call.PromptTokens = float64(len(prompt)) / bytesPerToken
	call.MaxTokens = max(request.MaxTokens, request.MaxCompletionTokens, 0)
	call.Segments = request.segments
	call.PrefixHash = xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	return call, nil
}

// serviceCall validates a request to a service that is not a model, and fills in the call.
func serviceCall(document *hwdocument.Document, account hwdocument.Account, call *Call) (*Call, *hwerror.RequestError) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(call.Path, servicePrefix), "/")
	service, known := document.Service(name)
	if !known || !account.MayUsePool(service.Pool) {
		return nil, reject(hwerror.KindUnknownRoute, "the service does not exist or is not open to this account")
	}
	path, query, _ := strings.Cut("/"+rest, "?")
	route, pathKnown, methodKnown := service.MatchRoute(call.Method, path)
	switch {
	case !pathKnown:
		return nil, reject(hwerror.KindUnknownRoute, "the service has no such route")
	case !methodKnown:
		return nil, reject(hwerror.KindMethodNotAllowed, "the route does not take this method")
	}
	pool, _ := document.Pool(service.Pool)
	call.Pool = pool
	call.Path = path
	if query != "" {
		call.Path = path + "?" + query
	}
	call.Idempotent = route.Idempotent || hwdocument.IsSafeMethod(call.Method)
	call.QueueTimeout = min(pool.QueueTimeout.Std(), route.Deadline.Std())
	call.ResponseTimeout = route.Deadline.Std()
	return call, nil
}
