package hwrouter

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwevent"
)

// Status is an instance's state as served on the operators' listener.
type Status struct {
	Instance        string              `json:"instance"`
	Zone            string              `json:"zone"`
	Boot            uint64              `json:"boot"`
	Ready           bool                `json:"ready"`
	DocumentVersion uint64              `json:"version"`
	DocumentEra     uint64              `json:"era"`
	DocumentDigest  string              `json:"digest"`
	Members         []MemberStatus      `json:"members"`
	Pools           []hwdispatch.Status `json:"pools"`
	Brokers         map[string]string   `json:"brokers"`
	FairnessGaps    map[string]float64  `json:"gaps"`
	// UnsettledAnswers counts the answers that their upstreams are not known to have outlived yet.
	UnsettledAnswers int `json:"unsettled-answers"`
	// KnowsCrashes reports whether the store or a peer has told the instance which requests crash upstreams, or it has served long enough to find out. Until then one crash is enough to refuse a message.
	KnowsCrashes bool `json:"knows-crashes"`
}

// MemberStatus is one instance in the membership view of the reporting instance.
type MemberStatus struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
}

// Status returns the instance's state.
func (r *Router) Status(now time.Time) Status {
	version := r.documentIdentity()
	status := Status{
		Instance:         r.settings.Instance,
		Zone:             r.settings.Zone,
		Boot:             r.settings.Boot,
		Ready:            r.Ready(),
		DocumentVersion:  version.Number,
		DocumentEra:      version.Era,
		DocumentDigest:   version.Digest,
		Brokers:          map[string]string{},
		FairnessGaps:     map[string]float64{},
		UnsettledAnswers: r.quarantine.unsettledAnswers(),
		KnowsCrashes:     r.quarantine.knowsCrashes(now),
	}
	r.membersLock.Lock()
	rows := r.table.All()
	r.membersLock.Unlock()
	for _, row := range rows {
		status.Members = append(status.Members, MemberStatus{
			Instance: row.Instance,
			Address:  row.Address,
			Zone:     row.Zone,
			State:    row.State.String(),
		})
	}
	for _, p := range r.allPools() {
		status.Pools = append(status.Pools, p.status())
		status.Brokers[p.name] = r.brokerOf(p.name)
	}
	for name, gap := range r.fairnessGaps() {
		status.FairnessGaps[name] = gap
	}
	return status
}

// fairnessGaps returns the current fairness gap of each pool whose broker is this instance, in cost units per share.
func (r *Router) fairnessGaps() map[string]float64 {
	r.poolsLock.RLock()
	defer r.poolsLock.RUnlock()
	gaps := map[string]float64{}
	for name, h := range r.brokers {
		h.lock.Lock()
		gaps[name] = h.broker.FairnessGap()
		h.lock.Unlock()
	}
	return gaps
}

// operatorsHandler serves health, metrics and reports.
func (r *Router) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /debug/vars", r.requireOperatorKey(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the operator has disconnected.
		_ = r.WriteMetrics(time.Now(), w)
	}))
	mux.Handle("GET /status", r.requireOperatorKey(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, r.Status(time.Now()))
	}))
	mux.Handle("GET /reports/burn", r.requireOperatorKey(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, r.ObjectiveCounts(time.Now()))
	}))
	mux.Handle("GET /requests/{request}", r.requireOperatorKey(r.explainHandler))
	mux.Handle("POST /orders", r.requireOperatorKey(r.orderHandler))
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// requireOperatorKey passes on only requests with the operators' key. Health and readiness checks need no key, because the load balancer sends them.
func (r *Router) requireOperatorKey(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		key := strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), []byte(r.settings.OperatorKey)) != 1 {
			r.logger.Emit(hwevent.OperatorRefused, hwevent.With("path", request.URL.Path))
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		next(w, request)
	})
}
