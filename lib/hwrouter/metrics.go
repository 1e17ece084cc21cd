package hwrouter

import (
	"expvar"
	"io"
	"time"

	"github.com/gravitational/trace"
)

// metrics are a router's counters. They are not published globally, so that several routers fit in one process.
type metrics struct {
	all             *expvar.Map
	outcomes        *expvar.Map
	refusals        *expvar.Map
	documentVersion *expvar.Int
	members         *expvar.Int
	reports         *expvar.Int
	leasesExpired   *expvar.Int
	retries         *expvar.Int
	resumes         *expvar.Int
	requests        *expvar.Int
	streaming       *expvar.Int
	usageFailures   *expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{
		all: new(expvar.Map).Init(),
	}
	m.outcomes = m.nested("outcomes")
	m.refusals = m.nested("refusals")
	m.documentVersion = m.number("document-version")
	m.members = m.number("members")
	m.reports = m.number("slot-reports")
	m.leasesExpired = m.number("leases-expired")
	m.retries = m.number("retries")
	m.resumes = m.number("resumed-streams")
	m.requests = m.number("requests")
	m.streaming = m.number("streams-open")
	m.usageFailures = m.number("usage-store-failures")
	return m
}

func (m *metrics) number(name string) *expvar.Int {
	v := new(expvar.Int)
	m.all.Set(name, v)
	return v
}

func (m *metrics) nested(name string) *expvar.Map {
	v := new(expvar.Map).Init()
	m.all.Set(name, v)
	return v
}

func (m *metrics) set(name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	m.all.Set(name, v)
}

// WriteMetrics writes the router's metrics as one JSON object.
func (r *Router) WriteMetrics(_ time.Time, w io.Writer) error {
	r.metrics.set("control-bytes-sent", r.traffic.BytesSent.Load())
	r.metrics.set("control-bytes-received", r.traffic.BytesReceived.Load())
	r.metrics.set("control-messages", r.traffic.Messages.Load())
	if r.calls != nil {
		r.metrics.set("store-reads", r.calls.Reads.Load())
		r.metrics.set("store-writes", r.calls.Writes.Load())
		r.metrics.set("store-leases", r.calls.Leases.Load())
		r.metrics.set("store-watches", r.calls.Watches.Load())
		r.metrics.set("store-failures", r.calls.Failures.Load())
	}
	_, err := io.WriteString(w, r.metrics.all.String())
	return trace.Wrap(err)
}

// ControlTrafficBytes returns the bytes sent and received between peers so far.
func (r *Router) ControlTrafficBytes() int64 {
	return r.traffic.BytesSent.Load() + r.traffic.BytesReceived.Load()
}
