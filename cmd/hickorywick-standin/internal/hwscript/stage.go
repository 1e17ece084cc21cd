// Package hwscript is the small language of the scenarios: commands that change a world of stand-ins and routers, send calls, and wait for states.
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

// patience bounds every wait for a state. It is no measure of speed: it only ends a scenario that went wrong.
const patience = 30 * time.Second

// pollEvery is how often a state is looked at.
const pollEvery = 10 * time.Millisecond

// Arguments are a command's words: names by position and settings by name.
type Arguments struct {
	Positional []string
	Settings   map[string]string
}

// Parse splits words such as "router-1 key=k body=two".
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

// Arg returns the i-th word or nothing.
func (a Arguments) Arg(i int) string {
	if i < len(a.Positional) {
		return a.Positional[i]
	}
	return ""
}

// IntSetting returns a setting as a number, or the given one if it is absent.
func (a Arguments) IntSetting(name string, absent int) int {
	if value, err := strconv.Atoi(a.Settings[name]); err == nil {
		return value
	}
	return absent
}

// Reply is what a caller got.
type Reply struct {
	Status    int
	Execution string
	Type      string
	Body      string
	Replayed  bool
	// Cut tells that the connection broke before the answer's end.
	Cut bool
}

// call is a call under way or ended.
type call struct {
	done  <-chan error
	reply Reply
}

// Scenario is one scenario's world with the calls that were made.
type Scenario struct {
	World *hwworld.Cluster
	log   *logBook
	// client keeps connections for as long as a scenario lasts.
	client *http.Client
	lock   sync.Mutex
	calls  map[string]*call
	load   context.CancelFunc
	loaded <-chan error
	books  *hwload.Recorder
	orders map[string]chan hwrouter.OrderResult
	begun  []<-chan error
}

// logBook keeps the routers' log lines.
type logBook struct {
	lock  sync.Mutex
	lines strings.Builder
}

// Write takes a line.
func (l *logBook) Write(line []byte) (int, error) {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.lines.Write(line)
}

func (l *logBook) text() string {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.lines.String()
}

// times are those of the product but for a short drain, since no balancer has to notice. The setting slow-sender is the longest time in ms that a caller may take to send a request.
func times(a Arguments) hwrouter.Timing {
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

// NewScenario starts a world. Settings: routers, engines, services, slots, accounts, list-lag and slow-sender in ms, token-us.
func NewScenario(a Arguments) (*Scenario, error) {
	s := &Scenario{
		log:    &logBook{},
		client: &http.Client{},
		calls:  map[string]*call{},
		orders: map[string]chan hwrouter.OrderResult{},
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
		RouterTiming:      times(a),
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

// Close ends the scenario's world.
func (s *Scenario) Close() {
	if s.load != nil {
		s.load()
	}
	s.client.CloseIdleConnections()
	s.World.Close()
}

// Log returns every line that the routers logged.
func (s *Scenario) Log() string { return s.log.text() }

// StartRequest sends a call: NAME ROUTER METHOD PATH, with the settings account, key, body, tokens, millis, stream, crash.
func (s *Scenario) StartRequest(a Arguments) error {
	name := a.Arg(0)
	resolved, err := s.routerName(a.Arg(1))
	if err != nil {
		return trace.Wrap(err)
	}
	router, err := s.World.FindRouter(resolved)
	if err != nil {
		return trace.Wrap(err)
	}
	request, err := s.request(router.ClientAddress, a)
	if err != nil {
		return trace.Wrap(err)
	}
	c := &call{}
	s.lock.Lock()
	s.calls[name] = c
	s.lock.Unlock()
	c.done = hwtask.Start(context.Background(), func(context.Context) error {
		c.reply = s.send(request)
		return nil
	})
	return nil
}

func (s *Scenario) request(address string, a Arguments) (*http.Request, error) {
	method, path := a.Arg(2), a.Arg(3)
	body := a.Settings["body"]
	if path == "/v1/chat/completions" {
		body = fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":%q}]}`,
			hwworld.Model, a.Settings["stream"] != "no", body)
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
	reply.Type = fieldOf(reply.Body, "type")
	if execution := fieldOf(reply.Body, "execution"); execution != "" {
		reply.Execution = execution
	}
	return reply
}

// fieldOf finds a field of a JSON error, also as the last event of a stream.
func fieldOf(body, name string) string {
	_, rest, found := strings.Cut(body, `"`+name+`":"`)
	if !found {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}

// AwaitReply waits for the end of a call and returns what its caller got.
func (s *Scenario) AwaitReply(name string) (Reply, error) {
	s.lock.Lock()
	c, known := s.calls[name]
	s.lock.Unlock()
	if !known {
		return Reply{}, trace.NotFound("there is no call %s", name)
	}
	select {
	case err := <-c.done:
		return c.reply, trace.Wrap(err)
	case <-time.After(patience):
		return Reply{}, trace.LimitExceeded("call %s did not end", name)
	}
}

// WaitUntil waits until a state holds.
func WaitUntil(what string, holds func() bool) error {
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(pollEvery) {
		if holds() {
			return nil
		}
	}
	return trace.LimitExceeded("waited in vain for: %s", what)
}
