package hwfakeengine

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/hickorywick/hickorywick/lib/hwfence"
)

// orderState holds the model and version that the latest order from an operator selected.
type orderState struct {
	lock           sync.Mutex
	enforceFencing bool
	tokenChecker   hwfence.TokenChecker
	current        orderMessage
	appliedTokens  []int64
	// blockNext, if set, blocks the next read; it moves to blocked once a read waits on it.
	blockNext chan struct{}
	blocked   chan struct{}
}

type orderMessage struct {
	FencingToken int64  `json:"fence"`
	Model        string `json:"model"`
	Version      string `json:"version"`
	Role         string `json:"role,omitempty"`
}

// EnforceFencing sets whether the engine rejects orders with outdated fencing tokens; otherwise it ignores the tokens.
func (e *Engine) EnforceFencing(enforce bool) {
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	e.orders.enforceFencing = enforce
}

// BlockNextRead blocks the next read of the current order until UnblockRead. This pauses a router between acquiring its lease and sending its order.
func (e *Engine) BlockNextRead() {
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	e.orders.blockNext = make(chan struct{})
}

// UnblockRead lets a blocked read continue.
func (e *Engine) UnblockRead() {
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	if e.orders.blocked != nil {
		close(e.orders.blocked)
		e.orders.blocked = nil
	}
}

// ReadBlocked reports whether a read is blocked.
func (e *Engine) ReadBlocked() bool {
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	return e.orders.blocked != nil
}

// AppliedOrders returns the version set by the latest order and the fencing tokens of all applied orders.
func (e *Engine) AppliedOrders() (string, []int64) {
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	return e.orders.current.Version, append([]int64(nil), e.orders.appliedTokens...)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		e.serveOrderState(w, r)
		return
	}
	var message orderMessage
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	if e.orders.enforceFencing && !e.orders.tokenChecker.Admit(message.FencingToken) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders.current = message
	e.orders.appliedTokens = append(e.orders.appliedTokens, message.FencingToken)
}

func (e *Engine) serveOrderState(w http.ResponseWriter, r *http.Request) {
	e.orders.lock.Lock()
	blocked := e.orders.blockNext
	// Only the first read is blocked: that of the next lease holder must succeed.
	if blocked != nil {
		e.orders.blockNext = nil
		e.orders.blocked = blocked
	}
	e.orders.lock.Unlock()
	if blocked != nil {
		select {
		case <-blocked:
		case <-r.Context().Done():
			return
		}
	}
	e.orders.lock.Lock()
	defer e.orders.lock.Unlock()
	_ = json.NewEncoder(w).Encode(e.orders.current)
}
