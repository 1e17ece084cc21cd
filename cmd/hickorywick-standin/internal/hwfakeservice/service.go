// Package hwfakeservice stands in for a plain service whose calls may not all be repeated. It records each execution and can fail at chosen points.
package hwfakeservice

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// DurationHeader sets how long a call takes.
const DurationHeader = "X-Standin-Millis"

// Fault is a point at which the next call fails.
type Fault string

// The points of failure.
const (
	// DisconnectBeforeExecution cuts the connection before the call is executed.
	DisconnectBeforeExecution Fault = "die-before"
	// DisconnectAfterExecution cuts the connection after the execution, before the answer.
	DisconnectAfterExecution Fault = "die-after"
	// TruncateResponse ends the answer in its middle.
	TruncateResponse Fault = "truncate"
	// MismatchAttemptID answers with another call's attempt id.
	MismatchAttemptID Fault = "cross"
	// HangAfterExecution executes and never answers.
	HangAfterExecution Fault = "hang"
)

// Service is the stand-in. It implements http.Handler.
type Service struct {
	link       time.Duration
	lock       sync.Mutex
	executions map[string]int
	faults     []Fault
	swap       chan *exchange
	swapping   bool
	running    int
	gate       chan struct{}
}

// exchange is one of two answers that are to be swapped.
type exchange struct {
	attempt string
	body    string
	other   chan *exchange
}

// New returns a service behind a link with the given delay.
func New(link time.Duration) *Service {
	return &Service{
		link:       link,
		executions: map[string]int{},
		swap:       make(chan *exchange),
	}
}

// InjectFaults makes the next calls fail, one fault each.
func (s *Service) InjectFaults(faults ...Fault) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = append(s.faults, faults...)
}

// SwapNextResponses makes the next two answers change places.
func (s *Service) SwapNextResponses() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.swapping = true
}

// Executions returns how often the call with this name ran: the name is the Idempotency-Key, or else the body.
func (s *Service) Executions(name string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.executions[name]
}

// MostExecuted returns the name that was executed most often and how often.
func (s *Service) MostExecuted() (string, int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	most, count := "", 0
	for name, n := range s.executions {
		if n > count {
			most, count = name, n
		}
	}
	return most, count
}

// InFlight returns how many calls are under way.
func (s *Service) InFlight() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.running
}

// HoldResponses makes calls wait before their answer until Release.
func (s *Service) HoldResponses() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.gate = make(chan struct{})
}

// ReleaseResponses lets held calls answer.
func (s *Service) ReleaseResponses() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.gate != nil {
		close(s.gate)
		s.gate = nil
	}
}

func (s *Service) begin() (Fault, bool, chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running++
	var fault Fault
	if len(s.faults) > 0 {
		fault = s.faults[0]
		s.faults = s.faults[1:]
	}
	return fault, s.swapping, s.gate
}

func (s *Service) end() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.running--
}

func (s *Service) execute(name string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.executions[name]++
}

// ServeHTTP executes a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.link)
	fault, swapping, gate := s.begin()
	defer s.end()
	body, _ := io.ReadAll(r.Body)
	name := r.Header.Get("Idempotency-Key")
	if name == "" {
		name = string(body)
	}
	if fault == DisconnectBeforeExecution {
		panic(http.ErrAbortHandler)
	}
	s.execute(name)
	if millis, err := strconv.Atoi(r.Header.Get(DurationHeader)); err == nil {
		time.Sleep(time.Duration(millis) * time.Millisecond)
	}
	if gate != nil {
		select {
		case <-gate:
		case <-r.Context().Done():
		}
	}
	attempt := r.Header.Get("X-Attempt-Id")
	answer := fmt.Sprintf("done %s %s", r.Method, name)
	if swapping {
		attempt, answer = s.trade(attempt, answer)
	}
	finish(w, r, fault, attempt, answer)
}

// trade waits for a second call and takes its answer.
func (s *Service) trade(attempt, answer string) (string, string) {
	own := &exchange{
		attempt: attempt,
		body:    answer,
		other:   make(chan *exchange, 1),
	}
	select {
	case s.swap <- own:
		got := <-own.other
		return got.attempt, got.body
	case first := <-s.swap:
		s.lock.Lock()
		s.swapping = false
		s.lock.Unlock()
		first.other <- own
		return first.attempt, first.body
	}
}

func finish(w http.ResponseWriter, r *http.Request, fault Fault, attempt, answer string) {
	switch fault {
	case DisconnectAfterExecution:
		panic(http.ErrAbortHandler)
	case HangAfterExecution:
		<-r.Context().Done()
		return
	case MismatchAttemptID:
		attempt = "another"
	case TruncateResponse:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)+1))
	case DisconnectBeforeExecution:
	}
	w.Header().Set("X-Attempt-Id", attempt)
	_, _ = io.WriteString(w, answer)
}
