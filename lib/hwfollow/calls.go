package hwfollow

import (
	"fmt"
	"io"
	"sync/atomic"
)

// CallKind is what a call to the store is for.
type CallKind int

// The kinds of calls. A list may take several calls, one for each page.
const (
	TableCall CallKind = iota
	ListCall
	PingCall
	// RecordCall calls read or write the record of crashes.
	RecordCall
	// StreamsCall calls read or write the record of streams.
	StreamsCall
	// DiscoveryCall calls read, write or renew the entries of routers.
	DiscoveryCall
	callKinds
)

// CallOutcome is how a call to the store ended.
type CallOutcome int

// The outcomes of calls.
const (
	// CallAnswered calls got their result, or the answer that there is none.
	CallAnswered CallOutcome = iota
	// CallRefused calls got a status that says that the store did not execute them.
	CallRefused
	// CallTimedOut calls got no answer in time.
	CallTimedOut
	// CallFailed calls ended with their connection, or with an answer that can't be used.
	CallFailed
	callOutcomes
)

var (
	callKindNames    = [callKinds]string{"table", "list", "ping", "record", "streams", "discovery"}
	callOutcomeNames = [callOutcomes]string{"answered", "refused", "timed-out", "failed"}
)

// CallCounters counts calls to the store by kind and outcome. The zero value is ready for use; it is safe for concurrent use.
type CallCounters struct {
	counts [callKinds][callOutcomes]atomic.Int64
}

// Count counts one call.
func (c *CallCounters) Count(kind CallKind, outcome CallOutcome) { c.counts[kind][outcome].Add(1) }

// Calls returns the number of calls of a kind with an outcome.
func (c *CallCounters) Calls(kind CallKind, outcome CallOutcome) int64 {
	return c.counts[kind][outcome].Load()
}

// WriteMetrics writes the counters as text, one "name value" pair per line.
func (c *CallCounters) WriteMetrics(w io.Writer) {
	for kind, kindName := range callKindNames {
		for outcome, outcomeName := range callOutcomeNames {
			_, _ = fmt.Fprintf(w, "hickorywick_store_calls_total{kind=%q,outcome=%q} %d\n", kindName, outcomeName, c.counts[kind][outcome].Load())
		}
	}
}
