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
	// Hint is the caller's bound on the cost in cost units; 0 is none.
	Hint float64
	// Prompt is the part of the cost known at the start, in cost units.
	Prompt   float64
	Deadline time.Time
	Prefix   uint64
	// Excluded are upstreams that were tried already.
	Excluded []string
	// Again marks a request that was admitted before and goes to the front of its lane.
	Again bool
	// Suspect marks a request that was in flight at a crash. Two suspects do not share an upstream, so that a second crash tells which one caused it.
	Suspect bool
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
	// Report asks for a report to the broker soon, because the demand changed.
	Report bool
}

func (e Effects) with(other Effects) Effects {
	return Effects{
		Starts:     append(e.Starts, other.Starts...),
		Rejections: append(e.Rejections, other.Rejections...),
		Report:     e.Report || other.Report,
	}
}

// Finish is how an attempt ended.
type Finish struct {
	// Cost is the settled cost in cost units.
	Cost float64
	// Failed tells that the upstream did not give a whole answer.
	Failed bool
	// Unreached tells that no connection to the upstream could be opened.
	Unreached bool
}

// AccountStatus is an account's state at this router.
type AccountStatus struct {
	Account string
	Waiting int
	Running int
	// Long and WaitingLong are how many of the running and waiting requests are in the long lane.
	Long        int
	WaitingLong int
	Service     float64
	Counter     float64
	// Aim is the number of slots meant for the account at this router, as the broker last said.
	Aim float64
}

// Status is the pool's state at this router.
type Status struct {
	Pool     string
	Held     int
	InUse    int
	Leased   bool
	Accounts []AccountStatus
	Slow     []string
}
