// Package hwscript implements the scenario script language: commands that inject faults into a simulated deployment of routers and stand-in upstreams, send requests, and wait for states.
package hwscript

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeengine"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// waitTimeout bounds every wait for a state. It does not assert latency; it only ends a scenario that is stuck.
const waitTimeout = 30 * time.Second

// pollInterval is the delay between two checks of an awaited state.
const pollInterval = 10 * time.Millisecond

// Arguments are the parsed arguments of a command: positional ones and name=value settings.
type Arguments struct {
	Positional []string
	Settings   map[string]string
}

// Parse splits arguments such as "router-1 key=k body=two" into positional ones and settings.
func Parse(words []string) Arguments {
	a := Arguments{
		Settings: map[string]string{},
	}
	for _, word := range words {
		if name, value, found := strings.Cut(word, "="); found {
			a.Settings[name] = value
			continue
		}
		a.Positional = append(a.Positional, word)
	}
	return a
}

// Arg returns the i-th positional argument, or "" if there is none.
func (a Arguments) Arg(i int) string {
	if i < len(a.Positional) {
		return a.Positional[i]
	}
	return ""
}

// IntSetting returns a setting as an integer, or absent if it is missing or not an integer.
func (a Arguments) IntSetting(name string, absent int) int {
	if value, err := strconv.Atoi(a.Settings[name]); err == nil {
		return value
	}
	return absent
}

// Reply is the response to a request as the client received it.
type Reply struct {
	Status    int
	Execution string
	Type      string
	Body      string
	Replayed  bool
	// Cut is set if the connection failed before the response was complete.
	Cut bool
}

// pendingRequest is a request in flight or completed; reply is valid once done has delivered.
type pendingRequest struct {
	done  <-chan error
	reply Reply
}

// Scenario is the state of one script run: the simulated deployment and the requests, orders and load started so far.
type Scenario struct {
	World *hwworld.Cluster
	log   *logBuffer
	// client reuses connections for the whole scenario.
	client      *http.Client
	lock        sync.Mutex
	pending     map[string]*pendingRequest
	cancelLoad  context.CancelFunc
	loadDone    <-chan error
	loadResults *hwload.Recorder
	orders      map[string]chan hwrouter.OrderResult
	background  []<-chan error
}

// logBuffer is a concurrency-safe writer that keeps the routers' log output.
type logBuffer struct {
	lock  sync.Mutex
	lines strings.Builder
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.lines.Write(line)
}

func (l *logBuffer) text() string {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.lines.String()
}

// testTiming returns the default timing with a shorter drain grace, since no load balancer has to notice the drain, and with its own intervals for polling the instance list and rechecking the store. The setting slow-sender is the header and body read timeout in ms.
func testTiming(a Arguments) hwrouter.Timing {
	t := hwrouter.DefaultTiming()
	if slow := a.IntSetting("slow-sender", 0); slow > 0 {
		t.HeaderTimeout = time.Duration(slow) * time.Millisecond
		t.BodyTimeout = time.Duration(slow) * time.Millisecond
	}
	t.DrainGrace = 50 * time.Millisecond
	t.ListPollInterval = 200 * time.Millisecond
	t.StoreRecheckInterval = 2 * time.Second
	return t
}

// NewScenario starts a simulated deployment and waits until it is ready. Settings: routers, engines, services, slots, accounts, list-lag and slow-sender in ms, token-us.
func NewScenario(a Arguments) (*Scenario, error) {
	s := &Scenario{
		log:     &logBuffer{},
		client:  &http.Client{},
		pending: map[string]*pendingRequest{},
		orders:  map[string]chan hwrouter.OrderResult{},
	}
	accounts := []hwdocument.Account{}
	for i := range a.IntSetting("accounts", 2) {
		accounts = append(accounts, hwdocument.Account{
			Name:       fmt.Sprintf("account-%d", i+1),
			Share:      1,
			KeySHA256:  []string{hwworld.AccountKeyDigest(fmt.Sprintf("account-%d", i+1))},
			QueueBound: a.IntSetting("queue", 256),
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	world, err := hwworld.New(ctx, hwworld.Settings{
		Routers:     a.IntSetting("routers", 3),
		Zones:       3,
		Engines:     a.IntSetting("engines", 3),
		EngineSlots: a.IntSetting("slots", 8),
		Engine: hwfakeengine.Settings{
			InterTokenLatency: time.Duration(a.IntSetting("token-us", 5000)) * time.Microsecond,
			TimeToFirstToken:  5 * time.Millisecond,
		},
		Services:          a.IntSetting("services", 2),
		ServiceSlots:      a.IntSetting("slots", 8),
		Accounts:          accounts,
		Coordination:      hwrouter.CoordinationLeased,
		Gain:              hwrouter.DefaultGain,
		Lanes:             hwdispatch.SplitLanes,
		RouterTiming:      testTiming(a),
		InstanceListDelay: time.Duration(a.IntSetting("list-lag", 0)) * time.Millisecond,
		QueueTimeout:      10 * time.Second,
		ResumesStreams:    a.Settings["resumes"] != "no",
		LogOutput:         s.log,
		LogLevel:          hwevent.Debug,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.World = world
	return s, world.WaitReady(ctx)
}

// Close cancels the load and shuts down the deployment.
func (s *Scenario) Close() {
	if s.cancelLoad != nil {
		s.cancelLoad()
	}
	s.client.CloseIdleConnections()
	s.World.Close()
}

// Log returns the log output of all routers.
func (s *Scenario) Log() string { return s.log.text() }

// StartRequest sends a request in the background: NAME ROUTER METHOD PATH, with the settings account, key, body, context, tokens, millis, stream, crash. Context is a comma-separated list of messages before the body in a chat.
func (s *Scenario) StartRequest(a Arguments) error {
	name := a.Arg(0)
	resolved, err := s.resolveRouter(a.Arg(1))
	if err != nil {
		return trace.Wrap(err)
	}
	router, err := s.World.FindRouter(resolved)
	if err != nil {
		return trace.Wrap(err)
	}
	request, err := s.newRequest(router.ClientAddress, a)
	if err != nil {
		return trace.Wrap(err)
	}
	c := &pendingRequest{}
	s.lock.Lock()
	s.pending[name] = c
	s.lock.Unlock()
	c.done = hwtask.Start(context.Background(), func(context.Context) error {
		c.reply = s.send(request)
		return nil
	})
	return nil
}

func (s *Scenario) newRequest(address string, a Arguments) (*http.Request, error) {
	method, path := a.Arg(2), a.Arg(3)
	body := a.Settings["body"]
	if path == "/v1/chat/completions" {
		messages := ""
		if context := a.Settings["context"]; context != "" {
			for content := range strings.SplitSeq(context, ",") {
				messages += fmt.Sprintf(`{"role":"user","content":%q},`, content)
			}
		}
		body = fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[%s{"role":"user","content":%q}]}`,
			hwworld.Model, a.Settings["stream"] != "no", messages, body)
	}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	account := a.Settings["account"]
	if account == "" {
		account = "account-1"
	}
	request.Header.Set("Authorization", "Bearer "+hwworld.AccountKey(account))
	headers := map[string]string{
		"key":    "Idempotency-Key",
		"tokens": hwfakeengine.TokensHeader,
		"millis": "X-Standin-Millis",
		"crash":  hwfakeengine.CrashHeader,
	}
	for name, header := range headers {
		if value := a.Settings[name]; value != "" {
			request.Header.Set(header, value)
		}
	}
	return request, nil
}

func (s *Scenario) send(request *http.Request) Reply {
	response, err := s.client.Do(request)
	if err != nil {
		return Reply{
			Cut: true,
		}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	reply := Reply{
		Status:    response.StatusCode,
		Execution: response.Header.Get("X-Execution"),
		Body:      string(body),
		Replayed:  response.Header.Get(hwrouter.ReplayHeader) == "true",
		Cut:       err != nil,
	}
	reply.Type = jsonField(reply.Body, "type")
	if execution := jsonField(reply.Body, "execution"); execution != "" {
		reply.Execution = execution
	}
	return reply
}

// jsonField returns the first string field of that name in a JSON error body or in an error event at the end of a stream.
func jsonField(body, name string) string {
	_, rest, found := strings.Cut(body, `"`+name+`":"`)
	if !found {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// AwaitReply waits until a request completes and returns its response.
func (s *Scenario) AwaitReply(name string) (Reply, error) {
	s.lock.Lock()
	c, known := s.pending[name]
	s.lock.Unlock()
	if !known {
		return Reply{}, trace.NotFound("no request named %s was sent", name)
	}
	select {
	case err := <-c.done:
		return c.reply, trace.Wrap(err)
	case <-time.After(waitTimeout):
		return Reply{}, trace.LimitExceeded("request %s did not complete within the wait timeout", name)
	}
}

// WaitUntil polls until the condition holds, for at most waitTimeout.
func WaitUntil(what string, condition func() bool) error {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return trace.LimitExceeded("timed out waiting for: %s", what)
}
