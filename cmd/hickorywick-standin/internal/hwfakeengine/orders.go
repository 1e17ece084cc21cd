package hwfakeengine

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/hickorywick/hickorywick/lib/hwfence"
)

// orders is the state that operators order: a model in a version.
type orders struct {
	lock   sync.Mutex
	checks bool
	gate   hwfence.TokenChecker
	state  orderMessage
	fences []int64
	// hold makes the next reader wait; held is what the reader that came waits for.
	hold chan struct{}
	held chan struct{}
}

type orderMessage struct {
	Fence   int64  `json:"fence"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role,omitempty"`
}

// EnforceFencing makes the engine refuse old fencing numbers; otherwise it ignores them.
func (e *Engine) EnforceFencing(checks bool) {
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	e.orders.checks = checks
}

// BlockNextRead makes the next read of the ordered state wait until ReleaseReads, which pauses the orderer between taking its lease and sending.
func (e *Engine) BlockNextRead() {
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	e.orders.hold = make(chan struct{})
}

// UnblockRead lets held reads go on.
func (e *Engine) UnblockRead() {
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	if e.orders.held != nil {
		close(e.orders.held)
		e.orders.held = nil
	}
}

// ReadBlocked reports whether a reader waits.
func (e *Engine) ReadBlocked() bool {
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	return e.orders.held != nil
}

// AppliedOrders returns the version that was ordered last, and the fencing numbers of all orders that ran.
func (e *Engine) AppliedOrders() (string, []int64) {
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	return e.orders.state.Version, append([]int64(nil), e.orders.fences...)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		e.readOrders(w, r)
		return
	}
	var message orderMessage
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	if e.orders.checks && !e.orders.gate.Admit(message.Fence) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders.state = message
	e.orders.fences = append(e.orders.fences, message.Fence)
}

func (e *Engine) readOrders(w http.ResponseWriter, r *http.Request) {
	e.orders.lock.Lock()
	hold := e.orders.hold
	// Only the first reader is held: the next holder of the lease must get through.
	if hold != nil {
		e.orders.hold = nil
		e.orders.held = hold
	}
	e.orders.lock.Unlock()
	if hold != nil {
		select {
		case <-hold:
		case <-r.Context().Done():
			return
		}
	}
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	_ = json.NewEncoder(w).Encode(e.orders.state)
}
