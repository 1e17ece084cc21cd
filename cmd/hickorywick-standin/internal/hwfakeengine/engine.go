// Package hwfakeengine implements a fake inference engine with continuous batching. It streams tokens in the OpenAI-compatible format, reports its load with a delay, and can be slowed down, crashed or made to stall.
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

// Request headers that control the fake engine. Routers forward them unchanged, as they do any unknown header.
const (
	// TokensHeader sets the number of tokens in the response.
	TokensHeader = "X-Standin-Tokens"
	// CrashHeader makes the engine crash after as many tokens of the response, or shortly after its end if it has fewer.
	CrashHeader = "X-Standin-Crash"
)

// Settings configures the performance of an engine.
type Settings struct {
	Name string
	// Slots is the batch size at which a token takes about twice as long as for a lone request.
	Slots int
	// InterTokenLatency is the time between tokens of a lone request, before batching slows it down.
	InterTokenLatency time.Duration
	// TimeToFirstToken is the delay of the first token, before one InterTokenLatency is added.
	TimeToFirstToken time.Duration
	// NetworkDelay is the simulated network delay of the request and the response together. It is spent before the request is handled.
	NetworkDelay time.Duration
	// LoadReportLag is the minimum age of the load that the engine reports.
	LoadReportLag time.Duration
}

// Engine is a fake inference engine. It implements http.Handler.
type Engine struct {
	settings         Settings
	inFlight         atomic.Int64
	peakInFlight     atomic.Int64
	startedRequests  atomic.Int64
	generatedTokens  atomic.Int64
	slowdownPermille atomic.Int64
	lock             sync.Mutex
	stallContext     context.Context //nolint:containedctx // It models a fault shared by all responses and belongs to no single call.
	stall            context.CancelFunc
	loadSamples      []loadSample
	crash            func()
	orders           orderState
}

type loadSample struct {
	takenAt  time.Time
	inFlight int64
}

// normalSpeedPermille is the slowdown factor of normal speed.
const normalSpeedPermille = 1000

// New returns an engine. It calls crash in the middle of a response to a request with CrashHeader; crash should close every connection.
func New(settings Settings, crash func()) *Engine {
	e := &Engine{
		settings: settings,
		crash:    crash,
	}
	e.slowdownPermille.Store(normalSpeedPermille)
	e.stallContext, e.stall = context.WithCancel(context.Background())
	return e
}

// SetSlowdown multiplies the time of every token by factor; 1 is normal speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.slowdownPermille.Store(int64(factor * normalSpeedPermille))
}

// StallResponses stops sending tokens on all responses in progress and leaves their connections open. Later requests are not affected.
func (e *Engine) StallResponses() {
	e.lock.Lock()
	defer e.lock.Unlock()
	e.stall()
	e.stallContext, e.stall = context.WithCancel(context.Background())
}

// InFlight returns the current and the highest number of requests in flight.
func (e *Engine) InFlight() (now, peak int64) { return e.inFlight.Load(), e.peakInFlight.Load() }

// GeneratedTokens returns the number of tokens generated so far.
func (e *Engine) GeneratedTokens() int64 { return e.generatedTokens.Load() }

// StartedRequests returns the number of completion requests started so far.
func (e *Engine) StartedRequests() int64 { return e.startedRequests.Load() }

type completionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// ServeHTTP serves completions, orders, load reports and metrics.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(e.settings.NetworkDelay)
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	switch r.URL.Path {
	case "/v1/chat/completions", "/v1/completions":
		e.serveCompletion(w, r)
	case "/orders":
		e.serveOrder(w, r)
	case "/load":
		e.serveLoad(w)
	case "/metrics":
		_, _ = fmt.Fprintf(w, "# TYPE requests_running gauge\nrequests_running %d\n", e.reportedLoad())
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type loadReport struct {
	Running int64 `json:"running"`
	Slots   int   `json:"slots"`
}

func (e *Engine) serveLoad(w http.ResponseWriter) {
	_ = json.NewEncoder(w).Encode(loadReport{
		Running: e.reportedLoad(),
		Slots:   e.settings.Slots,
	})
}

// reportedLoad takes a load sample and returns the latest sample that is at least LoadReportLag old.
func (e *Engine) reportedLoad() int64 {
	e.lock.Lock()
	defer e.lock.Unlock()
	now := time.Now()
	e.loadSamples = append(e.loadSamples, loadSample{
		takenAt:  now,
		inFlight: e.inFlight.Load(),
	})
	inFlight := int64(0)
	for _, sample := range e.loadSamples {
		if now.Sub(sample.takenAt) >= e.settings.LoadReportLag {
			inFlight = sample.inFlight
		}
	}
	return inFlight
}

// completion is a response in progress.
type completion struct {
	engine  *Engine
	request completionRequest
	chat    bool
	tokens  int
	// firstToken is the index of the first token to send; it is above 0 if the client resumes a stream with Last-Event-Id.
	firstToken   int
	stallContext context.Context //nolint:containedctx // See Engine.stallContext.
	// crashAfter is the number of tokens after which the engine crashes, or 0.
	crashAfter int
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.startedRequests.Add(1)
	inFlight := e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	for peak := e.peakInFlight.Load(); inFlight > peak && !e.peakInFlight.CompareAndSwap(peak, inFlight); peak = e.peakInFlight.Load() {
	}
	e.lock.Lock()
	stallContext := e.stallContext
	e.lock.Unlock()
	c := completion{
		engine:       e,
		request:      request,
		chat:         r.URL.Path == "/v1/chat/completions",
		tokens:       responseTokens(r, request),
		stallContext: stallContext,
	}
	c.crashAfter, _ = strconv.Atoi(r.Header.Get(CrashHeader))
	c.firstToken, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !sleep(r.Context(), e.settings.TimeToFirstToken) {
		return
	}
	if c.crashAfter >= c.tokens {
		defer func() { time.AfterFunc(crashDelay, e.crash) }()
	}
	if request.Stream {
		c.writeStream(r.Context(), w)
		return
	}
	c.writeJSON(r.Context(), w)
}

// crashDelay is how long after the end of a response the engine crashes.
const crashDelay = 30 * time.Millisecond

const defaultTokens = 16

func responseTokens(r *http.Request, request completionRequest) int {
	tokens := defaultTokens
	if requested, err := strconv.Atoi(r.Header.Get(TokensHeader)); err == nil {
		tokens = requested
	}
	if request.MaxTokens > 0 {
		tokens = min(tokens, request.MaxTokens)
	}
	return max(1, tokens)
}

// tokenInterval returns the time until the next token, which grows with the number of requests in the batch.
func (e *Engine) tokenInterval() time.Duration {
	load := float64(e.inFlight.Load()) / float64(e.settings.Slots)
	slowdown := float64(e.slowdownPermille.Load()) / normalSpeedPermille
	return time.Duration(float64(e.settings.InterTokenLatency) * (1 + load) * slowdown)
}

// sleep waits for the span and reports whether it passed before the context ended.
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

// awaitToken waits until token n is due and reports whether the response continues. It advances due, the token's offset from start, so that delays in sending do not add up.
func (c completion) awaitToken(ctx context.Context, start time.Time, due *time.Duration, n int) bool {
	*due += c.engine.tokenInterval()
	if !sleep(ctx, time.Until(start.Add(*due))) {
		return false
	}
	if c.stallContext.Err() != nil {
		<-ctx.Done()
		return false
	}
	if c.crashAfter > 0 && n >= c.crashAfter {
		c.engine.crash()
		return false
	}
	c.engine.generatedTokens.Add(1)
	return true
}

// writeStream sends the tokens as server-sent events.
func (c completion) writeStream(ctx context.Context, w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	start := time.Now()
	var due time.Duration
	for n := c.firstToken; n < c.tokens; n++ {
		if !c.awaitToken(ctx, start, &due, n) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, c.chunkJSON(n)); err != nil {
			return
		}
		flusher.Flush()
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", c.tokens+1)
}

func (c completion) chunkJSON(n int) string {
	if c.chat {
		return fmt.Sprintf(`{"id":"c","object":"chat.completion.chunk","created":1,"model":%q,"choices":[{"index":0,"delta":{"content":"t%d "}}]}`, c.request.Model, n)
	}
	return fmt.Sprintf(`{"id":"c","object":"text_completion","created":1,"model":%q,"choices":[{"index":0,"text":"t%d "}]}`, c.request.Model, n)
}

// writeJSON sends all tokens in one JSON response.
func (c completion) writeJSON(ctx context.Context, w http.ResponseWriter) {
	start := time.Now()
	var due time.Duration
	text := make([]byte, 0, c.tokens*4)
	for n := range c.tokens {
		if !c.awaitToken(ctx, start, &due, n) {
			return
		}
		text = fmt.Appendf(text, "t%d ", n)
	}
	choice := fmt.Sprintf(`{"index":0,"text":%q,"finish_reason":"stop"}`, text)
	object := "text_completion"
	if c.chat {
		object = "chat.completion"
		choice = fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}`, text)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"id":"c","object":%q,"created":1,"model":%q,"choices":[%s],"usage":{"prompt_tokens":1,"completion_tokens":%d,"total_tokens":%d}}`,
		object, c.request.Model, choice, c.tokens, c.tokens+1)
}
