package hwintake

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwerror"
)

// The paths that clients use.
const (
	chatPath      = "/v1/chat/completions"
	textPath      = "/v1/completions"
	modelsPath    = "/v1/models"
	servicePrefix = "/services/"
)

// Handler serves the HTTP requests of clients.
type Handler struct {
	gateway Gateway
	limits  Limits
}

// NewHandler returns a handler that passes valid calls to the gateway.
func NewHandler(gateway Gateway, limits Limits) *Handler {
	return &Handler{
		gateway: gateway,
		limits:  limits,
	}
}

// ServeHTTP validates a request and passes it to the gateway.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Validation is a separate function so that its stack frame is released while the response is streamed.
	if call := h.prepareCall(w, r); call != nil {
		h.gateway.Serve(r.Context(), call, w)
	}
}

// prepareCall returns the call to execute, or nil if it has already written a response.
func (h *Handler) prepareCall(w http.ResponseWriter, r *http.Request) *Call {
	id := requestID(r)
	w.Header().Set(RequestIDHeader, id)
	document := h.gateway.Document()
	if document == nil {
		WriteError(w, reject(hwerror.KindNotReady, "no document is in force yet").WithRetryAfter(time.Second))
		return nil
	}
	account, known := document.Authenticate(bearerToken(r))
	if !known {
		WriteError(w, reject(hwerror.KindUnknownKey, "the key belongs to no account"))
		return nil
	}
	if r.URL.Path == modelsPath && r.Method == http.MethodGet {
		writeModels(w, document, account)
		return nil
	}
	call, requestErr := h.validate(document, account, id, w, r)
	if requestErr != nil {
		WriteError(w, requestErr)
		return nil
	}
	return call
}

func (h *Handler) validate(document *hwdocument.Document, account hwdocument.Account, id string, w http.ResponseWriter, r *http.Request) (*Call, *hwerror.RequestError) {
	isCompletion := r.URL.Path == chatPath || r.URL.Path == textPath
	if !isCompletion && !strings.HasPrefix(r.URL.Path, servicePrefix) {
		return nil, reject(hwerror.KindUnknownRoute, "this path is not served")
	}
	if isCompletion && r.Method != http.MethodPost {
		return nil, reject(hwerror.KindMethodNotAllowed, "completions are asked for with POST")
	}
	key := r.Header.Get(IdempotencyKeyHeader)
	if len(key) > maxIDBytes {
		return nil, reject(hwerror.KindMalformedRequest, "the idempotency key is longer than 200 bytes")
	}
	body, requestErr := readBody(w, r, h.limits)
	if requestErr != nil {
		return nil, requestErr
	}
	call := &Call{
		ID:             id,
		Account:        account,
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		Header:         forwardedHeader(r.Header, id),
		Body:           body,
		IdempotencyKey: key,
		BodyHash:       xxhash.Sum64(body),
	}
	if isCompletion {
		return completionCall(document, account, call)
	}
	return serviceCall(document, account, call)
}

// requestID returns the client's request ID if it is valid, or a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(RequestIDHeader)
	if id != "" && len(id) <= maxIDBytes && !strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return id
	}
	return NewID()
}

// idBytes is the number of random bytes in an ID.
const idBytes = 12

// NewID returns a random ID in hexadecimal.
func NewID() string {
	var id [idBytes]byte
	// crypto/rand.Read never returns an error: it crashes the process instead.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func bearerToken(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// unforwardedHeaders are not forwarded: the hop-by-hop headers of a connection, and those that the router consumes or sets.
var unforwardedHeaders = map[string]bool{
	"Authorization":       true,
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"X-Attempt-Id":        true,
}

func forwardedHeader(header http.Header, id string) http.Header {
	out := http.Header{}
	named := map[string]bool{}
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	for name, values := range header {
		if !unforwardedHeaders[name] && !named[name] {
			out[name] = values
		}
	}
	out.Set(RequestIDHeader, id)
	return out
}

// CopyResponseHeader copies the headers of an upstream's response, except hop-by-hop headers, to the client's.
func CopyResponseHeader(to, from http.Header) {
	for name, values := range from {
		if !unforwardedHeaders[name] {
			to[name] = values
		}
	}
}

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message   string            `json:"message"`
	Type      hwerror.Kind      `json:"type"`
	Code      hwerror.Kind      `json:"code"`
	Event     int               `json:"event"`
	Execution hwerror.Execution `json:"execution"`
}

// ErrorJSON encodes an error as the JSON body that clients receive.
func ErrorJSON(requestErr *hwerror.RequestError) []byte {
	body := errorBody{
		Error: errorFields{
			Message:   requestErr.Message,
			Type:      requestErr.Kind,
			Code:      requestErr.Kind,
			Event:     requestErr.EventNumber,
			Execution: requestErr.Execution,
		},
	}
	// Marshalling strings and numbers cannot fail.
	text, _ := json.Marshal(body)
	return text
}

// ExecutionHeader repeats the execution field of the body for clients that do not parse it.
const ExecutionHeader = "X-Execution"

// WriteError writes an error response.
func WriteError(w http.ResponseWriter, requestErr *hwerror.RequestError) {
	text := ErrorJSON(requestErr)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Header().Set(ExecutionHeader, string(requestErr.Execution))
	if requestErr.RetryAfter > 0 {
		seconds := (requestErr.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(requestErr.Status())
	_, _ = w.Write(text)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func writeModels(w http.ResponseWriter, document *hwdocument.Document, account hwdocument.Account) {
	list := modelList{
		Object: "list",
		Data:   []modelItem{},
	}
	for _, pool := range document.Pools {
		if !account.MayUsePool(pool.Name) {
			continue
		}
		for _, model := range pool.Models {
			list.Data = append(list.Data, modelItem{
				ID:      model,
				Object:  "model",
				OwnedBy: pool.Name,
			})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(list)
}
