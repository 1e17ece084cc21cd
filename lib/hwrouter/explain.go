package hwrouter

import (
	"net/http"
	"sync"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwtrail"
	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// maxRecentRequests is how many ended requests an instance remembers. A trail takes about half a kilobyte.
const maxRecentRequests = 8192

// outcomeAnswered is the end of a request, and the outcome of an attempt, that gave a whole answer.
const outcomeAnswered = "answered"

// recentRequests is the shared table of the last requests.
type recentRequests struct {
	lock sync.Mutex
	ring *hwtrail.Ring
}

func newRecentRequests() *recentRequests {
	return &recentRequests{
		ring: hwtrail.NewRing(maxRecentRequests),
	}
}

// requestHistory gathers what happens to one request; only the goroutine that serves it touches it.
type requestHistory struct {
	waits    []hwtrail.Wait
	attempts []hwtrail.Attempt
}

func (t *requestHistory) addWait(now time.Time, wait *hwtrail.Wait) {
	if wait == nil {
		return
	}
	wait.Ended = now
	t.waits = append(t.waits, *wait)
}

func (t *requestHistory) addAttempt(began, now time.Time, upstream string, failure *hwupstream.Error) {
	attempt := hwtrail.Attempt{
		Upstream: upstream,
		Began:    began,
		Ended:    now,
		Outcome:  outcomeAnswered,
	}
	if failure != nil {
		attempt.Outcome = failure.Cause.Error()
	}
	t.attempts = append(t.attempts, attempt)
}

// add remembers how a request ended.
func (t *recentRequests) add(d *delivery, refusal *hwerror.Refusal) {
	kept := hwtrail.Record{
		Request:   d.call.ID,
		Instance:  d.router.settings.Instance,
		Account:   d.call.Account.Name,
		Pool:      d.call.Pool.Name,
		Began:     d.receivedAt,
		Ended:     time.Now(),
		Waits:     d.history.waits,
		Attempts:  d.history.attempts,
		Outcome:   outcomeAnswered,
		Execution: string(hwerror.Ran),
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

func (t *recentRequests) find(request string) (hwtrail.Record, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.ring.Find(request)
}

// explainHandler answers with the trail of a request that this instance served lately.
func (r *Router) explainHandler(w http.ResponseWriter, request *http.Request) {
	found, known := r.recentRequests.find(request.PathValue("request"))
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, found)
}
