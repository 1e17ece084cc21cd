// Package hwload sends requests of client accounts to routers, checks every answer and keeps the books.
package hwload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeengine"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeservice"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not-run"
	OutcomeUnknown  Outcome = "unknown"
	// OutcomeInvalid is an answer that is neither whole nor a stated failure; it should never occur.
	OutcomeInvalid Outcome = "broken"
)

// ResponseLengths draws the lengths of answers in tokens.
type ResponseLengths struct {
	Median float64
	// LogStdDev is the standard deviation of the logarithm.
	LogStdDev float64
	// StragglerFraction of the requests are StragglerFactor times as long.
	StragglerFraction float64
	StragglerFactor   float64
}

// Draw returns a length and whether it is a straggler's.
func (s ResponseLengths) Draw(random *rand.Rand) (int, bool) {
	tokens := s.Median * math.Exp(s.LogStdDev*random.NormFloat64())
	straggler := random.Float64() < s.StragglerFraction
	if straggler {
		tokens *= s.StragglerFactor
	}
	return max(1, int(tokens)), straggler
}

// Source is a stream of requests of one account at one router.
type Source struct {
	Account string
	Router  string
	// Concurrency is how many requests are kept under way; each client sends its next one when the last has ended.
	Concurrency int
	// ArrivalRate is how many requests a second arrive independently of answers; it is used when Clients is 0.
	ArrivalRate func(since time.Duration) float64
	// StartDelay delays the source's first request.
	StartDelay time.Duration
	// ResponseLengths are those of model requests.
	ResponseLengths ResponseLengths
	// PlainService sends orders to the plain service in place of model requests.
	PlainService bool
	// NonStreaming asks for whole answers in place of streams.
	NonStreaming bool
	// Label groups requests in the books.
	Label string
}

// Client sends requests of accounts over HTTP.
type Client struct {
	http *http.Client
	// NetworkDelay is the delay of the network between callers and routers.
	NetworkDelay time.Duration
}

// NewClient returns a client with connections of its own.
func NewClient(link time.Duration) *Client {
	return &Client{
		NetworkDelay: link,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConns:        4096,
				MaxIdleConnsPerHost: 4096,
			},
		},
	}
}

// Close closes the kept connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Run sends a source's requests until the context ends and waits for the answers.
func (c *Client) Run(ctx context.Context, address func(router string) string, source Source, seed uint64, books *Recorder) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(source.StartDelay):
	}
	if source.Concurrency > 0 {
		c.closedLoop(ctx, address, source, seed, books)
		return
	}
	c.openLoop(ctx, address, source, seed, books)
}

func (c *Client) closedLoop(ctx context.Context, address func(string) string, source Source, seed uint64, books *Recorder) {
	var tasks []<-chan error
	for i := range source.Concurrency {
		tasks = append(tasks, hwtask.Start(ctx, func(ctx context.Context) error {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				name := fmt.Sprintf("%s-%s-%d-%d-%d", source.Account, source.Router, seed, i, n)
				if c.send(address, source, name, random, books) != OutcomeAnswered {
					time.Sleep(refusedPause)
				}
			}
			return nil
		}))
	}
	_ = hwtask.Join(tasks...)
}

// refusedPause keeps a client that was refused from asking again at once.
const refusedPause = 50 * time.Millisecond

func (c *Client) openLoop(ctx context.Context, address func(string) string, source Source, seed uint64, books *Recorder) {
	random := rand.New(rand.NewPCG(seed, 0))
	began := time.Now()
	at := time.Duration(0)
	var tasks []<-chan error
	for n := 0; ; n++ {
		rate := source.ArrivalRate(at)
		if rate <= 0 {
			at += 10 * time.Millisecond
		} else {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		}
		select {
		case <-ctx.Done():
			_ = hwtask.Join(tasks...)
			return
		case <-time.After(time.Until(began.Add(at))):
		}
		if rate <= 0 {
			continue
		}
		own := rand.New(rand.NewPCG(seed, uint64(n+1)))
		name := fmt.Sprintf("%s-%s-%d-%d", source.Account, source.Router, seed, n)
		tasks = append(tasks, hwtask.Start(ctx, func(context.Context) error {
			c.send(address, source, name, own, books)
			return nil
		}))
	}
}

// send makes one request. It runs to its end also when the load stops, so that nothing is unaccounted for.
func (c *Client) send(address func(string) string, source Source, name string, random *rand.Rand, books *Recorder) Outcome {
	record := Record{
		Account:   source.Account,
		Label:     source.Label,
		StartedAt: time.Now(),
	}
	books.begin()
	if source.PlainService {
		record = c.order(address(source.Router), source, name, random, record)
	} else {
		record = c.complete(address(source.Router), source, name, random, record, books)
	}
	record.EndedAt = time.Now()
	books.end(record)
	return record.Outcome
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

func (c *Client) complete(address string, source Source, name string, random *rand.Rand, record Record, books *Recorder) Record {
	tokens, straggler := source.ResponseLengths.Draw(random)
	record.Straggler = straggler
	// The hint is rough: up to four times what will be used.
	body, _ := json.Marshal(chatRequest{
		Model:     hwworld.Model,
		Stream:    !source.NonStreaming,
		MaxTokens: int(float64(tokens)*(1+3*random.Float64())) + 1,
		Messages: []message{{
			Role:    "user",
			Content: name,
		}},
	})
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return record.with(OutcomeInvalid)
	}
	request.Header.Set("Authorization", "Bearer "+hwworld.AccountKey(source.Account))
	request.Header.Set(hwfakeengine.TokensHeader, strconv.Itoa(tokens))
	time.Sleep(c.NetworkDelay)
	response, err := c.http.Do(request)
	if err != nil {
		return record.with(OutcomeUnknown)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return record.with(refusalOf(response))
	}
	if source.NonStreaming {
		return wholeAnswer(response, tokens, record, books)
	}
	return streamedAnswer(response, tokens, record, books)
}

func refusalOf(response *http.Response) Outcome {
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

func wholeAnswer(response *http.Response, tokens int, record Record, books *Recorder) Record {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return record.with(OutcomeUnknown)
	}
	record.FirstOutputAt = time.Now()
	if !bytes.Contains(body, fmt.Appendf(nil, "t%d ", tokens-1)) {
		return record.with(OutcomeInvalid)
	}
	books.serve(record.Account, tokens)
	return record.with(OutcomeAnswered)
}

func streamedAnswer(response *http.Response, tokens int, record Record, books *Recorder) Record {
	lines := bufio.NewScanner(response.Body)
	seen := 0
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !isData:
		case data == "[DONE]":
			if seen != tokens {
				return record.with(OutcomeInvalid)
			}
			return record.with(OutcomeAnswered)
		case strings.Contains(data, `"execution"`):
			return record.with(OutcomeUnknown)
		default:
			if seen == 0 {
				record.FirstOutputAt = time.Now()
			}
			if !strings.Contains(data, fmt.Sprintf(`"t%d "`, seen)) {
				return record.with(OutcomeInvalid)
			}
			seen++
			books.serve(record.Account, 1)
		}
	}
	return record.with(OutcomeUnknown)
}

func (c *Client) order(address string, source Source, name string, random *rand.Rand, record Record) Record {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/services/"+hwworld.ServiceName+"/orders", strings.NewReader(name))
	if err != nil {
		return record.with(OutcomeInvalid)
	}
	request.Header.Set("Authorization", "Bearer "+hwworld.AccountKey(source.Account))
	request.Header.Set("Idempotency-Key", name)
	request.Header.Set(hwfakeservice.DurationHeader, strconv.Itoa(2+random.IntN(10)))
	time.Sleep(c.NetworkDelay)
	response, err := c.http.Do(request)
	if err != nil {
		return record.with(OutcomeUnknown)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return record.with(refusalOf(response))
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return record.with(OutcomeUnknown)
	}
	record.FirstOutputAt = time.Now()
	if string(body) != "done POST "+name {
		return record.with(OutcomeInvalid)
	}
	return record.with(OutcomeAnswered)
}
