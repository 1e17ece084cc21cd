// Package hwintake turns callers' HTTP requests into calls and writes refusals back as JSON.
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
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Call is a checked request of a client account. Nobody changes it once the intake has handed it over.
//
// It is passed by reference: copies of it in the frames between the listener and the relay of a stream would push the stack of every open stream beyond eight kilobytes, to sixteen.
type Call struct {
	ID      string
	Account hwdocument.Account
	Pool    hwdocument.Pool
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	// Stream tells that the caller asked for an event stream.
	Stream bool
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	// QueueTimeout is how long the call may wait for its start.
	QueueTimeout time.Duration
	// ResponseTimeout is how long a whole answer may take.
	ResponseTimeout time.Duration
	// PromptTokens is the estimated size of the prompt.
	PromptTokens float64
	// MaxTokens is the caller's bound on generated tokens; 0 is none.
	MaxTokens float64
	// PrefixHash names the beginning of the prompt, for the upstreams' prefix caches; 0 is none.
	PrefixHash uint64
	// BodyHash names the body.
	BodyHash uint64
}

// Gateway runs calls.
type Gateway interface {
	// Document returns the document in force, or nil before the first one.
	Document() *hwdocument.Document
	// Serve runs a call and writes its answer, or the refusal, to the writer.
	Serve(ctx context.Context, call *Call, writer http.ResponseWriter)
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
	// BodyReadTimeout is how long the body may take to arrive.
	BodyReadTimeout time.Duration
}

// IdempotencyKeyHeader carries the caller's key for a request that must run at most once.
const IdempotencyKeyHeader = "Idempotency-Key"

// RequestIDHeader carries the request's id, chosen by the caller or by the router.
const RequestIDHeader = "X-Request-Id"

// longestName bounds the ids and keys that callers choose, in bytes.
const longestName = 200

// bytesPerToken is the rough size of a token of text.
const bytesPerToken = 4

// prefixBytes is how much of a prompt names its prefix.
const prefixBytes = 2048

func refuse(kind hwerror.Kind, message string) *hwerror.RequestError {
	return hwerror.NewRejection(kind, hwevent.RequestRefused.Number, message)
}

// readBody reads the body within the limits.
func readBody(w http.ResponseWriter, r *http.Request, limits Limits) ([]byte, *hwerror.RequestError) {
	control := http.NewResponseController(w)
	// A writer without deadlines, as in tests, has no slow senders.
	_ = control.SetReadDeadline(time.Now().Add(limits.BodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, refuse(hwerror.KindBodyTooLarge, "the body is larger than this service accepts")
	case err != nil:
		// The deadline stays: the server reads what is left of the body before it answers.
		w.Header().Set("Connection", "close")
		return nil, refuse(hwerror.KindMalformedRequest, "the body could not be read to its end in time")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// modelRequest is the part of a completion request that the router needs.
type modelRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           float64         `json:"max_tokens"`
	MaxCompletionTokens float64         `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

// decode reads a completion request in a goroutine of its own. The decoder needs a deep stack; on the goroutine that serves the caller it would stay for as long as the answer streams.
func decode(body []byte) (modelRequest, error) {
	var request modelRequest
	done := hwtask.Start(context.Background(), func(context.Context) error {
		return json.NewDecoder(bytes.NewReader(body)).Decode(&request)
	})
	err := <-done
	return request, err
}

// modelCall checks a completion request.
func modelCall(document *hwdocument.Document, account hwdocument.Account, call *Call) (*Call, *hwerror.RequestError) {
	request, err := decode(call.Body)
	if err != nil {
		return nil, refuse(hwerror.KindMalformedRequest, "the body is not a JSON completion request")
	}
	prompt := request.Prompt
	if strings.HasSuffix(call.Path, "/chat/completions") {
		prompt = request.Messages
	}
	if request.Model == "" || len(prompt) == 0 {
		return nil, refuse(hwerror.KindMalformedRequest, "the request names no model or no prompt")
	}
	pool, known := document.PoolForModel(request.Model)
	if !known || !account.MayUsePool(pool.Name) {
		return nil, refuse(hwerror.KindUnknownModel, "the model does not exist or is not open to this account")
	}
	call.Pool = pool
	call.Stream = request.Stream
	call.Idempotent = true
	call.QueueTimeout = pool.QueueTimeout.Std()
	call.ResponseTimeout = pool.AnswerTimeout.Std()
	call.PromptTokens = float64(len(prompt)) / bytesPerToken
	call.MaxTokens = max(request.MaxTokens, request.MaxCompletionTokens, 0)
	call.PrefixHash = xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	return call, nil
}

// serviceCall checks a call of a plain service.
func serviceCall(document *hwdocument.Document, account hwdocument.Account, call *Call) (*Call, *hwerror.RequestError) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(call.Path, servicePrefix), "/")
	service, known := document.Service(name)
	if !known || !account.MayUsePool(service.Pool) {
		return nil, refuse(hwerror.KindUnknownRoute, "the service does not exist or is not open to this account")
	}
	path, query, _ := strings.Cut("/"+rest, "?")
	route, pathKnown, methodKnown := service.MatchRoute(call.Method, path)
	switch {
	case !pathKnown:
		return nil, refuse(hwerror.KindUnknownRoute, "the service has no such route")
	case !methodKnown:
		return nil, refuse(hwerror.KindMethodNotAllowed, "the route does not take this method")
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
