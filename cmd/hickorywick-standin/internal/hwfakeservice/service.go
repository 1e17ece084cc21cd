// Package hwfakeservice implements a fake HTTP service of which some calls are not idempotent. It counts the executions of each call and injects faults at chosen points.
package hwfakeservice

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// DurationHeader sets the execution time of a call, in milliseconds.
const DurationHeader = "X-Standin-Millis"

// Fault is a way in which a call fails. The empty fault lets the call succeed.
type Fault string

// The faults that can be injected.
const (
	// DisconnectBeforeExecution closes the connection before the call is executed.
	DisconnectBeforeExecution Fault = "die-before"
	// DisconnectAfterExecution closes the connection after the execution, before the response.
	DisconnectAfterExecution Fault = "die-after"
	// TruncateResponse sends a body shorter than its Content-Length.
	TruncateResponse Fault = "truncate"
	// MismatchAttemptID responds with an attempt ID that is not the request's.
	MismatchAttemptID Fault = "cross"
	// HangAfterExecution executes the call and never responds.
	HangAfterExecution Fault = "hang"
)

// Service is a fake HTTP service. It implements http.Handler.
type Service struct {
	networkDelay time.Duration
	lock         sync.Mutex
	executions   map[string]int
	faults       []Fault
	swaps        chan *pendingResponse
	swapNext     bool
	inFlight     int
	released     chan struct{}
}

// pendingResponse is one of two responses to be swapped.
type pendingResponse struct {
	attemptID string
	body      string
	peer      chan *pendingResponse
}

// New returns a service that delays every request by networkDelay.
func New(networkDelay time.Duration) *Service {
	return &Service{
		networkDelay: networkDelay,
		executions:   map[string]int{},
		swaps:        make(chan *pendingResponse),
	}
}

// InjectFaults queues faults; each of the next calls takes one.
func (s *Service) InjectFaults(faults ...Fault) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = append(s.faults, faults...)
}

// SwapNextResponses sends each of the next two calls the other's response.
func (s *Service) SwapNextResponses() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.swapNext = true
}

// Executions returns how often the call with this ID was executed. The ID is the Idempotency-Key, or the body if there is none.
func (s *Service) Executions(callID string) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.executions[callID]
}

// MostExecuted returns the ID of the call that was executed most often, and its number of executions.
func (s *Service) MostExecuted() (string, int) {
	s.lock.Lock()
	defer s.lock.Unlock()
	most, count := "", 0
	for callID, n := range s.executions {
		if n > count {
			most, count = callID, n
		}
	}
	return most, count
}

// InFlight returns the number of calls in flight.
func (s *Service) InFlight() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.inFlight
}

// HoldResponses makes new calls wait before their response until ReleaseResponses.
func (s *Service) HoldResponses() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.released = make(chan struct{})
}

// ReleaseResponses lets the waiting calls respond.
func (s *Service) ReleaseResponses() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.released != nil {
		close(s.released)
		s.released = nil
	}
}

// beginCall counts a call as in flight and returns its fault, whether its response is to be swapped, and the channel that its response waits for, if any.
func (s *Service) beginCall() (Fault, bool, chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.inFlight++
	var fault Fault
	if len(s.faults) > 0 {
		fault = s.faults[0]
		s.faults = s.faults[1:]
	}
	return fault, s.swapNext, s.released
}

func (s *Service) endCall() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.inFlight--
}

func (s *Service) recordExecution(callID string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.executions[callID]++
}

// ServeHTTP executes a call and responds, subject to the injected faults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.networkDelay)
	fault, swap, released := s.beginCall()
	defer s.endCall()
	body, _ := io.ReadAll(r.Body)
	callID := r.Header.Get("Idempotency-Key")
	if callID == "" {
		callID = string(body)
	}
	if fault == DisconnectBeforeExecution {
		panic(http.ErrAbortHandler)
	}
	s.recordExecution(callID)
	if millis, err := strconv.Atoi(r.Header.Get(DurationHeader)); err == nil {
		time.Sleep(time.Duration(millis) * time.Millisecond)
	}
	if released != nil {
		select {
		case <-released:
		case <-r.Context().Done():
		}
	}
	attemptID := r.Header.Get("X-Attempt-Id")
	responseBody := fmt.Sprintf("done %s %s", r.Method, callID)
	if swap {
		attemptID, responseBody = s.swapResponse(attemptID, responseBody)
	}
	writeResponse(w, r, fault, attemptID, responseBody)
}

// swapResponse waits for a second call and returns that call's attempt ID and body.
func (s *Service) swapResponse(attemptID, body string) (string, string) {
	own := &pendingResponse{
		attemptID: attemptID,
		body:      body,
		peer:      make(chan *pendingResponse, 1),
	}
	select {
	case s.swaps <- own:
		peer := <-own.peer
		return peer.attemptID, peer.body
	case first := <-s.swaps:
		s.lock.Lock()
		s.swapNext = false
		s.lock.Unlock()
		first.peer <- own
		return first.attemptID, first.body
	}
}

func writeResponse(w http.ResponseWriter, r *http.Request, fault Fault, attemptID, body string) {
	switch fault {
	case DisconnectAfterExecution:
		panic(http.ErrAbortHandler)
	case HangAfterExecution:
		<-r.Context().Done()
		return
	case MismatchAttemptID:
		attemptID = "another"
	case TruncateResponse:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	case DisconnectBeforeExecution:
	}
	w.Header().Set("X-Attempt-Id", attemptID)
	_, _ = io.WriteString(w, body)
}
