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

// The paths that callers use.
const (
	chatPath      = "/v1/chat/completions"
	textPath      = "/v1/completions"
	modelsPath    = "/v1/models"
	servicePrefix = "/services/"
)

// Handler answers callers.
type Handler struct {
	gateway Gateway
	limits  Limits
}

// NewHandler returns a handler that runs calls on the gateway.
func NewHandler(gateway Gateway, limits Limits) *Handler {
	return &Handler{
		gateway: gateway,
		limits:  limits,
	}
}

// ServeHTTP checks a request and runs it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The checks are a function of their own, so that their frame is gone while the answer streams.
	if call := h.admit(w, r); call != nil {
		h.gateway.Serve(r.Context(), call, w)
	}
}

// admit returns the call to run, or nil when the request has been answered already.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request) *Call {
	id := requestID(r)
	w.Header().Set(RequestIDHeader, id)
	document := h.gateway.Document()
	if document == nil {
		WriteError(w, refuse(hwerror.KindNotReady, "no document is in force yet").WithRetryAfter(time.Second))
		return nil
	}
	account, known := document.Authenticate(bearer(r))
	if !known {
		WriteError(w, refuse(hwerror.KindUnknownKey, "the key belongs to no account"))
		return nil
	}
	if r.URL.Path == modelsPath && r.Method == http.MethodGet {
		writeModels(w, document, account)
		return nil
	}
	call, refusal := h.check(document, account, id, w, r)
	if refusal != nil {
		WriteError(w, refusal)
		return nil
	}
	return call
}

func (h *Handler) check(document *hwdocument.Document, account hwdocument.Account, id string, w http.ResponseWriter, r *http.Request) (*Call, *hwerror.RequestError) {
	model := r.URL.Path == chatPath || r.URL.Path == textPath
	if !model && !strings.HasPrefix(r.URL.Path, servicePrefix) {
		return nil, refuse(hwerror.KindUnknownRoute, "this path is not served")
	}
	if model && r.Method != http.MethodPost {
		return nil, refuse(hwerror.KindMethodNotAllowed, "completions are asked for with POST")
	}
	key := r.Header.Get(IdempotencyKeyHeader)
	if len(key) > longestName {
		return nil, refuse(hwerror.KindMalformedRequest, "the idempotency key is longer than 200 bytes")
	}
	body, refusal := readBody(w, r, h.limits)
	if refusal != nil {
		return nil, refusal
	}
	call := &Call{
		ID:             id,
		Account:        account,
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		Header:         forwarded(r.Header, id),
		Body:           body,
		IdempotencyKey: key,
		BodyHash:       xxhash.Sum64(body),
	}
	if model {
		return modelCall(document, account, call)
	}
	return serviceCall(document, account, call)
}

// requestID returns the caller's id if it is well formed, or a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(RequestIDHeader)
	if id != "" && len(id) <= longestName && !strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return id
	}
	return NewID()
}

// idBytes is how many random bytes make an id.
const idBytes = 12

// NewID returns a random id.
func NewID() string {
	var id [idBytes]byte
	// The reader never fails: it ends the process instead.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func bearer(r *http.Request) string {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// hopHeaders belong to one connection or to the router and are not passed on.
var hopHeaders = map[string]bool{
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

func forwarded(header http.Header, id string) http.Header {
	out := http.Header{}
	named := map[string]bool{}
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
	}
	for name, values := range header {
		if !hopHeaders[name] && !named[name] {
			out[name] = values
		}
	}
	out.Set(RequestIDHeader, id)
	return out
}

// CopyResponseHeader copies an upstream's header to the caller, without what belongs to the connection.
func CopyResponseHeader(to, from http.Header) {
	for name, values := range from {
		if !hopHeaders[name] {
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

// ErrorJSON returns a refusal as the JSON that callers get.
func ErrorJSON(refusal *hwerror.RequestError) []byte {
	body := errorBody{
		Error: errorFields{
			Message:   refusal.Message,
			Type:      refusal.Kind,
			Code:      refusal.Kind,
			Event:     refusal.EventNumber,
			Execution: refusal.Execution,
		},
	}
	// Strings and numbers always encode.
	text, _ := json.Marshal(body)
	return text
}

// ExecutionHeader repeats the execution field for callers that do not read the body.
const ExecutionHeader = "X-Execution"

// WriteError answers with a refusal.
func WriteError(w http.ResponseWriter, refusal *hwerror.RequestError) {
	text := ErrorJSON(refusal)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Header().Set(ExecutionHeader, string(refusal.Execution))
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(refusal.Status())
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
	// A caller that is gone does not need the rest.
	_ = json.NewEncoder(w).Encode(list)
}
