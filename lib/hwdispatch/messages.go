// Package hwdispatch decides, for one pool at one router, which waiting request starts next and at which upstream.
//
// It joins the account counters, the queue, the leased slots, the speed of upstreams and the choice among them. It is a state machine: every method takes the present time and returns effects.
package hwdispatch

import (
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
)

// Request is one request that wants a slot.
type Request struct {
	ID      string
	Account string
	// CostHint is the caller's bound on the cost in cost units; 0 is none.
	CostHint float64
	// PromptCost is the part of the cost known at the start, in cost units.
	PromptCost float64
	Deadline   time.Time
	PrefixHash uint64
	// Excluded are upstreams that were tried already.
	Excluded []string
	// Requeued marks a request that was admitted before and goes to the front of its lane.
	Requeued bool
	// CrashSuspect marks a request that was in flight at a crash. Two suspects do not share an upstream, so that a second crash tells which one caused it.
	CrashSuspect bool
}

// Start tells the caller to run a request at an upstream.
type Start struct {
	ID       string
	Upstream string
}

// Rejection tells the caller that a request will not run.
type Rejection struct {
	ID   string
	Kind hwerror.Kind
	// RetryAfter is when it may be worth trying again.
	RetryAfter time.Duration
}

// Effects is what the caller has to carry out, in order.
type Effects struct {
	Starts     []Start
	Rejections []Rejection
	// SendReport asks for a report to the broker soon, because the demand changed.
	SendReport bool
}

func (e Effects) with(other Effects) Effects {
	return Effects{
		Starts:     append(e.Starts, other.Starts...),
		Rejections: append(e.Rejections, other.Rejections...),
		SendReport: e.SendReport || other.SendReport,
	}
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	// Cost is the settled cost in cost units.
	Cost float64
	// Failed tells that the upstream did not give a whole answer.
	Failed bool
	// ConnectFailed tells that no connection to the upstream could be opened.
	ConnectFailed bool
}

// AccountStatus is an account's state at this router.
type AccountStatus struct {
	Account string
	Waiting int
	Running int
	// RunningLong and WaitingLong are how many of the running and waiting requests are in the long lane.
	RunningLong int
	WaitingLong int
	Service     float64
	Counter     float64
	// TargetSlots is the number of slots meant for the account at this router, as the broker last said.
	TargetSlots float64
}

// QueueSnapshot is what a request that has to wait finds.
type QueueSnapshot struct {
	// QueuedAhead is how many requests of the account waited already.
	QueuedAhead int `json:"ahead"`
	// Held and InUse are the slots of this router.
	Held  int `json:"held"`
	InUse int `json:"in-use"`
	// Running is how many requests of the account run here, Aim how many the broker meant it to have.
	Running     int     `json:"running"`
	TargetSlots float64 `json:"aim"`
	// LongLane tells that the request is in the lane for long work.
	LongLane bool `json:"long"`
	// Counter is the account's counter in cost units per share; First is the account whose turn it is.
	Counter     float64 `json:"counter"`
	NextAccount string  `json:"first"`
}

// UpstreamStatus is an upstream's state as this router sees it.
type UpstreamStatus struct {
	Upstream string `json:"upstream"`
	Zone     string `json:"zone"`
	Held     int    `json:"held"`
	InUse    int    `json:"in-use"`
	Slow     bool   `json:"slow"`
	Down     bool   `json:"down"`
	Draining bool   `json:"draining"`
	// UnitsPerSecond is the observed speed of one request in cost units a second; 0 is no observation.
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
	// Upstreams are in the document's order.
	Upstreams []UpstreamStatus
}
