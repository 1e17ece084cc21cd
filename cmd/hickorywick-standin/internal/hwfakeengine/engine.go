// Package hwfakeengine stands in for a model engine: it batches continuously, streams tokens in the OpenAI-compatible format, reports load with a lag, and can be slowed, crashed and made silent.
package hwfakeengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// The headers by which a caller steers the stand-in; a router passes them on without knowing them.
const (
	// TokensHeader sets how many tokens the answer has.
	TokensHeader = "X-Standin-Tokens"
	// CrashHeader crashes the engine in the middle of the answer.
	CrashHeader = "X-Standin-Crash"
)

// Settings are an engine's speed.
type Settings struct {
	Name string
	// Slots is the batch at which a token takes twice as long as alone.
	Slots int
	// InterTokenLatency is the time between tokens of a lone request.
	InterTokenLatency time.Duration
	// TimeToFirstToken is the time before the first token.
	TimeToFirstToken time.Duration
	// NetworkDelay is the delay of the network before the request and before the answer.
	NetworkDelay time.Duration
	// LoadReportLag is how late the load report is.
	LoadReportLag time.Duration
}

// Engine is the stand-in. It implements http.Handler.
type Engine struct {
	settings Settings
	running  atomic.Int64
	peak     atomic.Int64
	served   atomic.Int64
	tokens   atomic.Int64
	slowness atomic.Int64
	lock     sync.Mutex
	silent   context.Context //nolint:containedctx // It stands for a state of the network and belongs to no call.
	silence  context.CancelFunc
	reports  []report
	crash    func()
	orders   orders
}

type report struct {
	at      time.Time
	running int64
}

// slownessUnit is the normal speed.
const slownessUnit = 1000

// New returns an engine. Crash is called when a marked request runs; it should close every connection.
func New(settings Settings, crash func()) *Engine {
	e := &Engine{
		settings: settings,
		crash:    crash,
	}
	e.slowness.Store(slownessUnit)
	e.silent, e.silence = context.WithCancel(context.Background())
	return e
}

// SetSlowdown makes every token take factor times as long.
func (e *Engine) SetSlowdown(factor float64) { e.slowness.Store(int64(factor * slownessUnit)) }

// StallResponses makes the answers that are under way stop without a sign; new ones work.
func (e *Engine) StallResponses() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.silence()
	e.silent, e.silence = context.WithCancel(context.Background())
}

// InFlight returns the requests under way and the most there ever were.
func (e *Engine) InFlight() (now, peak int64) { return e.running.Load(), e.peak.Load() }

// GeneratedTokens returns the tokens generated so far.
func (e *Engine) GeneratedTokens() int64 { return e.tokens.Load() }

// StartedRequests returns the requests begun so far.
func (e *Engine) StartedRequests() int64 { return e.served.Load() }

type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// ServeHTTP answers completions and load reports.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(e.settings.NetworkDelay)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	switch r.URL.Path {
	case "/v1/chat/completions", "/v1/completions":
		e.complete(w, r)
	case "/orders":
		e.order(w, r)
	case "/load":
		e.load(w)
	case "/metrics":
		_, _ = fmt.Fprintf(w, "# TYPE requests_running gauge\nrequests_running %d\n", e.reported())
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type loadReport struct {
	Running int64 `json:"running"`
	Slots   int   `json:"slots"`
}

func (e *Engine) load(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode(loadReport{
		Running: e.reported(),
		Slots:   e.settings.Slots,
	})
}

// reported returns the load as it was a lag ago.
func (e *Engine) reported() int64 {
	e.lock.Lock()
	defer e.lock.Unlock()
	now := time.Now()
	e.reports = append(e.reports, report{
		at:      now,
		running: e.running.Load(),
	})
	seen := int64(0)
	for _, r := range e.reports {
		if now.Sub(r.at) >= e.settings.LoadReportLag {
			seen = r.running
		}
	}
	return seen
}

// answer is one completion under way.
type answer struct {
	engine  *Engine
	request completionRequest
	chat    bool
	tokens  int
	from    int
	silent  context.Context //nolint:containedctx // See Engine.silent.
	crash   bool
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.served.Add(1)
	now := e.running.Add(1)
	defer e.running.Add(-1)
	for peak := e.peak.Load(); now > peak && !e.peak.CompareAndSwap(peak, now); peak = e.peak.Load() {
	}
	e.lock.Lock()
	silent := e.silent
	e.lock.Unlock()
	a := answer{
		engine:  e,
		request: request,
		chat:    r.URL.Path == "/v1/chat/completions",
		tokens:  tokensOf(r, request),
		silent:  silent,
		crash:   r.Header.Get(CrashHeader) != "",
	}
	a.from, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !sleep(r.Context(), e.settings.TimeToFirstToken) {
		return
	}
	if request.Stream {
		a.stream(r.Context(), w)
		return
	}
	a.whole(r.Context(), w)
}

const defaultTokens = 16

func tokensOf(r *http.Request, request completionRequest) int {
	tokens := defaultTokens
	if asked, err := strconv.Atoi(r.Header.Get(TokensHeader)); err == nil {
		tokens = asked
	}
	if request.MaxTokens > 0 {
		tokens = min(tokens, request.MaxTokens)
	}
	return max(1, tokens)
}

// gap returns the time of the next token: it grows with the batch.
func (e *Engine) gap() time.Duration {
	batch := float64(e.running.Load()) / float64(e.settings.Slots)
	slow := float64(e.slowness.Load()) / slownessUnit
	return time.Duration(float64(e.settings.InterTokenLatency) * (1 + batch) * slow)
}

func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// next waits for the next token and reports whether the answer goes on.
func (a answer) next(ctx context.Context, begun time.Time, sent *time.Duration, n int) bool {
	*sent += a.engine.gap()
	if !sleep(ctx, time.Until(begun.Add(*sent))) {
		return false
	}
	if a.silent.Err() != nil {
		<-ctx.Done()
		return false
	}
	if a.crash && n > 0 {
		a.engine.crash()
		return false
	}
	a.engine.tokens.Add(1)
	return true
}

func (a answer) stream(ctx context.Context, w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	begun := time.Now()
	var sent time.Duration
	for n := a.from; n < a.tokens; n++ {
		if !a.next(ctx, begun, &sent, n) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, a.chunk(n)); err != nil {
			return
		}
		flusher.Flush()
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", a.tokens+1)
}

func (a answer) chunk(n int) string {
	if a.chat {
		return fmt.Sprintf(`{"id":"c","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{"content":"t%d "}}]}`, a.request.Model, n)
	}
	return fmt.Sprintf(`{"id":"c","object":"text_completion","created":1,"model":%q,"choices":[{"index":0,"text":"t%d "}]}`, a.request.Model, n)
}

func (a answer) whole(ctx context.Context, w http.ResponseWriter) {
	begun := time.Now()
	var sent time.Duration
	text := make([]byte, 0, a.tokens*4)
	for n := range a.tokens {
		if !a.next(ctx, begun, &sent, n) {
			return
		}
		text = fmt.Appendf(text, "t%d ", n)
	}
	choice := fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":"stop"}`, text)
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
		choice = fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}`, text)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"id":"c","object":%q,"created":1,"model":%q,"choices":[%s],"usage":{"prompt_tokens":1,"completion_tokens":%d,"total_tokens":%d}}`,
		object, a.request.Model, choice, a.tokens, a.tokens+1)
}
