package hwrouter

import (
	"net/http"
	"sync"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwtrail"
	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// keptTrails is how many ended requests an instance remembers. A trail takes about half a kilobyte.
const keptTrails = 8192

// answered is the end of a request, and the outcome of an attempt, that gave a whole answer.
const answered = "answered"

// trails is the shared table of the last requests.
type trails struct {
	lock sync.Mutex
	ring *hwtrail.Ring
}

func newTrails() *trails {
	return &trails{
		ring: hwtrail.NewRing(keptTrails),
	}
}

// trail gathers what happens to one request; only the goroutine that serves it touches it.
type trail struct {
	waits    []hwtrail.Wait
	attempts []hwtrail.Attempt
}

func (t *trail) waited(now time.Time, wait *hwtrail.Wait) {
	if wait == nil {
		return
	}
	wait.Ended = now
	t.waits = append(t.waits, *wait)
}

func (t *trail) attempted(began, now time.Time, upstream string, failure *hwupstream.Error) {
	attempt := hwtrail.Attempt{
		Upstream: upstream,
		Began:    began,
		Ended:    now,
		Outcome:  answered,
	}
	if failure != nil {
		attempt.Outcome = failure.Cause.Error()
	}
	t.attempts = append(t.attempts, attempt)
}

// keep remembers how a request ended.
func (t *trails) keep(d *delivery, refusal *hwerror.RequestError) {
	kept := hwtrail.Record{
		Request:   d.call.ID,
		Instance:  d.router.settings.Instance,
		Account:   d.call.Account.Name,
		Pool:      d.call.Pool.Name,
		Began:     d.began,
		Ended:     time.Now(),
		Waits:     d.trail.waits,
		Attempts:  d.trail.attempts,
		Outcome:   answered,
		Execution: string(hwerror.ExecutionRan),
		CostUnits: d.cost,
	}
	if refusal != nil {
		kept.Outcome = string(refusal.Kind)
		kept.Execution = string(refusal.Execution)
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.ring.Add(kept)
}

func (t *trails) find(request string) (hwtrail.Record, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.ring.Find(request)
}

// explainHandler answers with the trail of a request that this instance served lately.
func (r *Router) explainHandler(w http.ResponseWriter, request *http.Request) {
	found, known := r.trails.find(request.PathValue("request"))
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, found)
}
