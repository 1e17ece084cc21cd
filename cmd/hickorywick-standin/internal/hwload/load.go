// Package hwload generates load: it sends requests of client accounts to routers, validates every response and records the outcomes.
package hwload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeengine"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeservice"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// OutcomeNotRun and OutcomeUnknown equal the values of the X-Execution response header.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
	// OutcomeInvalid is a response that is neither complete nor an explicit failure; it should never occur.
	OutcomeInvalid Outcome = "broken"
)

// ResponseLengths is a log-normal distribution of response lengths in tokens, with a fraction of much longer stragglers.
type ResponseLengths struct {
	Median float64
	// LogStdDev is the standard deviation of the natural logarithm of the length.
	LogStdDev float64
	// StragglerFraction is the fraction, in [0, 1], of requests whose responses are StragglerFactor times as long.
	StragglerFraction float64
	StragglerFactor   float64
}

// Draw returns a random length and whether the request is a straggler.
func (s ResponseLengths) Draw(random *rand.Rand) (int, bool) {
	tokens := s.Median * math.Exp(s.LogStdDev*random.NormFloat64())
	straggler := random.Float64() < s.StragglerFraction
	if straggler {
		tokens *= s.StragglerFactor
	}
	return max(1, int(tokens)), straggler
}

// Source describes the load that one account sends to one router.
type Source struct {
	Account string
	Router  string
	// Concurrency is the number of closed-loop clients; each sends its next request when the previous one has completed.
	Concurrency int
	// ArrivalRate returns the open-loop rate, in requests per second, as a function of the time since the start; it is used when Concurrency is 0.
	ArrivalRate func(since time.Duration) float64
	// StartDelay postpones the source's first request.
	StartDelay time.Duration
	// ResponseLengths is the distribution for model requests.
	ResponseLengths ResponseLengths
	// PlainService sends orders to the plain HTTP service instead of model requests.
	PlainService bool
	// NonStreaming requests complete responses instead of streams.
	NonStreaming bool
	// Label groups requests in the recorder.
	Label string
}

// Client sends HTTP requests on behalf of accounts.
type Client struct {
	http *http.Client
	// NetworkDelay is the simulated network delay between callers and routers, added before each request.
	NetworkDelay time.Duration
}

// NewClient returns a client with its own connection pool.
func NewClient(networkDelay time.Duration) *Client {
	return &Client{
		NetworkDelay: networkDelay,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConns:        4096,
				MaxIdleConnsPerHost: 4096,
			},
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends a source's requests until the context ends and waits for the responses in flight.
func (c *Client) Run(ctx context.Context, routerAddress func(router string) string, source Source, seed uint64, recorder *Recorder) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(source.StartDelay):
	}
	if source.Concurrency > 0 {
		c.runClosedLoop(ctx, routerAddress, source, seed, recorder)
		return
	}
	c.runOpenLoop(ctx, routerAddress, source, seed, recorder)
}

func (c *Client) runClosedLoop(ctx context.Context, routerAddress func(string) string, source Source, seed uint64, recorder *Recorder) {
	var tasks []<-chan error
	for i := range source.Concurrency {
		tasks = append(tasks, hwtask.Start(ctx, func(ctx context.Context) error {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				name := fmt.Sprintf("%s-%s-%d-%d-%d", source.Account, source.Router, seed, i, n)
				if c.sendRequest(routerAddress, source, name, random, recorder) != OutcomeAnswered {
					time.Sleep(retryDelay)
				}
			}
			return nil
		}))
	}
	_ = hwtask.Join(tasks...)
}

// retryDelay is the pause of a closed-loop client after a request that was not answered, so that it does not retry in a tight loop.
const retryDelay = 50 * time.Millisecond

func (c *Client) runOpenLoop(ctx context.Context, routerAddress func(string) string, source Source, seed uint64, recorder *Recorder) {
	random := rand.New(rand.NewPCG(seed, 0))
	started := time.Now()
	arrival := time.Duration(0)
	var tasks []<-chan error
	for n := 0; ; n++ {
		rate := source.ArrivalRate(arrival)
		if rate <= 0 {
			arrival += 10 * time.Millisecond
		} else {
			arrival += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		}
		select {
		case <-ctx.Done():
			_ = hwtask.Join(tasks...)
			return
		case <-time.After(time.Until(started.Add(arrival))):
		}
		if rate <= 0 {
			continue
		}
		requestRandom := rand.New(rand.NewPCG(seed, uint64(n+1)))
		name := fmt.Sprintf("%s-%s-%d-%d", source.Account, source.Router, seed, n)
		tasks = append(tasks, hwtask.Start(ctx, func(context.Context) error {
			c.sendRequest(routerAddress, source, name, requestRandom, recorder)
			return nil
		}))
	}
}

// sendRequest sends one request and records it. It does not stop when the load is cancelled, so that every request has an outcome.
func (c *Client) sendRequest(routerAddress func(string) string, source Source, name string, random *rand.Rand, recorder *Recorder) Outcome {
	record := Record{
		Account:   source.Account,
		Label:     source.Label,
		StartedAt: time.Now(),
	}
	recorder.recordStart()
	address := func() string { return routerAddress(source.Router) }
	if source.PlainService {
		record = c.sendOrder(address, source, name, random, record)
	} else {
		record = c.sendCompletion(address, source, name, random, record, recorder)
	}
	record.EndedAt = time.Now()
	recorder.recordEnd(record)
	return record.Outcome
}

// maxForwards limits how often one request is sent on to another router.
const maxForwards = 5

// do sends a request as a load balancer does: if no connection can be opened because the router has stopped since it was chosen, nothing was sent, and the request goes to the next one. A router that refuses connections while it is still the one to choose gets no such grace.
func (c *Client) do(request *http.Request, address func() string) (*http.Response, error) {
	for forwards := 0; ; forwards++ {
		response, err := c.http.Do(request)
		var dialErr *net.OpError
		if err == nil || !errors.As(err, &dialErr) || dialErr.Op != "dial" || forwards == maxForwards {
			return response, err
		}
		next := address()
		if next == request.URL.Host {
			return response, err
		}
		body, bodyErr := request.GetBody()
		if bodyErr != nil {
			return nil, trace.Wrap(bodyErr)
		}
		request = request.Clone(request.Context())
		request.URL.Host, request.Host, request.Body = next, next, body
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

func (c *Client) sendCompletion(address func() string, source Source, name string, random *rand.Rand, record Record, recorder *Recorder) Record {
	tokens, straggler := source.ResponseLengths.Draw(random)
	record.Straggler = straggler
	// max_tokens is an imprecise hint: up to four times the tokens actually generated.
	body, _ := json.Marshal(chatRequest{
		Model:     hwworld.Model,
		Stream:    !source.NonStreaming,
		MaxTokens: int(float64(tokens)*(1+3*random.Float64())) + 1,
		Messages: []message{{
			Role:    "user",
			Content: name,
		}},
	})
	request, err := http.NewRequest(http.MethodPost, "http://"+address()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return record.withOutcome(OutcomeInvalid)
	}
	request.Header.Set("Authorization", "Bearer "+hwworld.AccountKey(source.Account))
	request.Header.Set(hwfakeengine.TokensHeader, strconv.Itoa(tokens))
	time.Sleep(c.NetworkDelay)
	response, err := c.do(request, address)
	if err != nil {
		return record.withOutcome(OutcomeUnknown)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return record.withOutcome(errorOutcome(response))
	}
	if source.NonStreaming {
		return readFullResponse(response, tokens, record, recorder)
	}
	return readStream(response, tokens, record, recorder)
}

func errorOutcome(response *http.Response) Outcome {
	_, _ = io.Copy(io.Discard, response.Body)
	switch response.Header.Get("X-Execution") {
	case string(OutcomeNotRun):
		return OutcomeNotRun
	case string(OutcomeUnknown):
		return OutcomeUnknown
	default:
		return OutcomeInvalid
	}
}

func readFullResponse(response *http.Response, tokens int, record Record, recorder *Recorder) Record {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return record.withOutcome(OutcomeUnknown)
	}
	record.FirstOutputAt = time.Now()
	if !bytes.Contains(body, fmt.Appendf(nil, "t%d ", tokens-1)) {
		return record.withOutcome(OutcomeInvalid)
	}
	recorder.addServedTokens(record.Account, tokens)
	return record.withOutcome(OutcomeAnswered)
}

func readStream(response *http.Response, tokens int, record Record, recorder *Recorder) Record {
	lines := bufio.NewScanner(response.Body)
	received := 0
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !isData:
		case data == "[DONE]":
			if received != tokens {
				return record.withOutcome(OutcomeInvalid)
			}
			return record.withOutcome(OutcomeAnswered)
		case strings.Contains(data, `"execution"`):
			return record.withOutcome(OutcomeUnknown)
		default:
			if received == 0 {
				record.FirstOutputAt = time.Now()
			}
			if !strings.Contains(data, fmt.Sprintf(`"t%d "`, received)) {
				return record.withOutcome(OutcomeInvalid)
			}
			received++
			recorder.addServedTokens(record.Account, 1)
		}
	}
	return record.withOutcome(OutcomeUnknown)
}

func (c *Client) sendOrder(address func() string, source Source, name string, random *rand.Rand, record Record) Record {
	request, err := http.NewRequest(http.MethodPost, "http://"+address()+"/services/"+hwworld.ServiceName+"/orders", strings.NewReader(name))
	if err != nil {
		return record.withOutcome(OutcomeInvalid)
	}
	request.Header.Set("Authorization", "Bearer "+hwworld.AccountKey(source.Account))
	request.Header.Set("Idempotency-Key", name)
	request.Header.Set(hwfakeservice.DurationHeader, strconv.Itoa(2+random.IntN(10)))
	time.Sleep(c.NetworkDelay)
	response, err := c.do(request, address)
	if err != nil {
		return record.withOutcome(OutcomeUnknown)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return record.withOutcome(errorOutcome(response))
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return record.withOutcome(OutcomeUnknown)
	}
	record.FirstOutputAt = time.Now()
	if string(body) != "done POST "+name {
		return record.withOutcome(OutcomeInvalid)
	}
	return record.withOutcome(OutcomeAnswered)
}
