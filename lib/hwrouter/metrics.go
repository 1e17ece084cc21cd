package hwrouter

import (
	"expvar"
	"io"
	"time"

	"github.com/gravitational/trace"
)

// metrics are a router's expvar variables. They are not published globally, so that several routers can run in one process.
type metrics struct {
	root               *expvar.Map
	outcomes           *expvar.Map
	refusals           *expvar.Map
	documentVersion    *expvar.Int
	members            *expvar.Int
	reports            *expvar.Int
	leasesExpired      *expvar.Int
	retries            *expvar.Int
	resumes            *expvar.Int
	requests           *expvar.Int
	openStreams        *expvar.Int
	usageStoreFailures *expvar.Int
}

func newMetrics() *metrics {
	m := &metrics{
		root: new(expvar.Map).Init(),
	}
	m.outcomes = m.newMap("outcomes")
	m.refusals = m.newMap("refusals")
	m.documentVersion = m.newInt("document-version")
	m.members = m.newInt("members")
	m.reports = m.newInt("slot-reports")
	m.leasesExpired = m.newInt("leases-expired")
	m.retries = m.newInt("retries")
	m.resumes = m.newInt("resumed-streams")
	m.requests = m.newInt("requests")
	m.openStreams = m.newInt("streams-open")
	m.usageStoreFailures = m.newInt("usage-store-failures")
	return m
}

func (m *metrics) newInt(name string) *expvar.Int {
	v := new(expvar.Int)
	m.root.Set(name, v)
	return v
}

func (m *metrics) newMap(name string) *expvar.Map {
	v := new(expvar.Map).Init()
	m.root.Set(name, v)
	return v
}

func (m *metrics) setInt(name string, value int64) {
	v := new(expvar.Int)
	v.Set(value)
	m.root.Set(name, v)
}

// WriteMetrics writes the router's metrics as one JSON object.
func (r *Router) WriteMetrics(_ time.Time, w io.Writer) error {
	r.metrics.setInt("control-bytes-sent", r.traffic.BytesSent.Load())
	r.metrics.setInt("control-bytes-received", r.traffic.BytesReceived.Load())
	r.metrics.setInt("control-messages", r.traffic.Messages.Load())
	if r.storeCalls != nil {
		r.metrics.setInt("store-reads", r.storeCalls.Reads.Load())
		r.metrics.setInt("store-writes", r.storeCalls.Writes.Load())
		r.metrics.setInt("store-leases", r.storeCalls.Leases.Load())
		r.metrics.setInt("store-watches", r.storeCalls.Watches.Load())
		r.metrics.setInt("store-failures", r.storeCalls.Failures.Load())
	}
	_, err := io.WriteString(w, r.metrics.root.String())
	return trace.Wrap(err)
}

// ControlTrafficBytes returns how many bytes this instance has exchanged with its peers since it started.
func (r *Router) ControlTrafficBytes() int64 {
	return r.traffic.BytesSent.Load() + r.traffic.BytesReceived.Load()
}
