// Package hwdispatch schedules the requests of one pool at one router: it decides which waiting request starts next and at which upstream.
//
// It combines the virtual service counters of the accounts, their queues, the leased slots, the detection of slow and unreachable upstreams and the choice of an upstream. It is a state machine without I/O: methods take the current time and return the effects for the caller to carry out.
package hwdispatch

import (
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
)

// Request is a request that needs a slot at an upstream.
type Request struct {
	ID      string
	Account string
	// CostHint is the caller's upper bound on the cost, in cost units; 0 means none.
	CostHint float64
	// PromptCost is the cost of the prompt in cost units, which is known before the request starts.
	PromptCost float64
	Deadline   time.Time
	// PrefixHash identifies the start of the prompt for prefix cache affinity.
	PrefixHash uint64
	// Excluded are the upstreams that were already tried.
	Excluded []string
	// Requeued marks a request that was admitted before. It is queued at the front of its lane and not rejected again.
	Requeued bool
	// CrashSuspect marks a request that was in flight when an upstream crashed. Two suspects do not share an upstream, so that a second crash shows which one caused it.
	CrashSuspect bool
}

// Start instructs the caller to send a request to an upstream.
type Start struct {
	ID       string
	Upstream string
}

// Rejection informs the caller that a request will not be sent.
type Rejection struct {
	ID   string
	Kind hwerror.Kind
	// RetryAfter is the delay after which a retry may be accepted; 0 means unknown.
	RetryAfter time.Duration
}

// Effects are the actions that the caller has to carry out, in order.
type Effects struct {
	Starts     []Start
	Rejections []Rejection
	// SendReport requests an early report to the broker, because the demand changed.
	SendReport bool
}

func (e Effects) merge(other Effects) Effects {
	return Effects{
		Starts:     append(e.Starts, other.Starts...),
		Rejections: append(e.Rejections, other.Rejections...),
		SendReport: e.SendReport || other.SendReport,
	}
}

// AttemptResult is the result of an attempt at an upstream.
type AttemptResult struct {
	// Cost is the final cost in cost units.
	Cost float64
	// Failed reports that the upstream returned no complete response.
	Failed bool
	// ConnectFailed reports that no connection to the upstream could be opened.
	ConnectFailed bool
	// Pause is for how long the upstream wants no requests, or 0.
	Pause time.Duration
}

// AccountStatus is an account's state at this router.
type AccountStatus struct {
	Account string
	Waiting int
	Running int
	// RunningLong and WaitingLong are how many of the running and waiting requests are in the long lane.
	RunningLong int `json:"Long"`
	WaitingLong int
	// Service is the cost charged to the account at this router, in cost units.
	Service float64
	// Counter is the account's virtual service counter in cost units per share.
	Counter float64
	// TargetSlots is how many slots the account is to have at this router, from the last grant of the broker.
	TargetSlots float64 `json:"Aim"`
}

// QueueSnapshot is the state of the dispatcher when a request has to wait.
type QueueSnapshot struct {
	// QueuedAhead is how many requests of the account were already waiting.
	QueuedAhead int `json:"ahead"`
	// Held and InUse are the numbers of slots that this router holds and uses.
	Held  int `json:"held"`
	InUse int `json:"in-use"`
	// Running is how many requests of the account run at this router, TargetSlots how many slots the broker intends it to have here.
	Running     int     `json:"running"`
	TargetSlots float64 `json:"aim"`
	// LongLane reports that the request waits in the lane for long requests.
	LongLane bool `json:"long"`
	// Counter is the account's virtual service counter in cost units per share; NextAccount is the waiting account whose turn is next.
	Counter     float64 `json:"counter"`
	NextAccount string  `json:"first"`
}

// UpstreamStatus is an upstream's state as observed by this router.
type UpstreamStatus struct {
	Upstream string `json:"upstream"`
	Zone     string `json:"zone"`
	Held     int    `json:"held"`
	InUse    int    `json:"in-use"`
	Slow     bool   `json:"slow"`
	Down     bool   `json:"down"`
	Draining bool   `json:"draining"`
	// UnitsPerSecond is the observed speed of a single request in cost units per second; 0 means not measured.
	UnitsPerSecond float64 `json:"units-per-second"`
}

// Status is the pool's state at this router.
type Status struct {
	Pool     string
	Held     int
	InUse    int
	Leased   bool
	Accounts []AccountStatus
	Slow     []string
	// Upstreams are in the order of the configuration document.
	Upstreams []UpstreamStatus
}
