package hwrouter

import (
	"net/http"
	"sync"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwtrail"
	"github.com/hickorywick/hickorywick/lib/hwupstream"
)

// maxRecentRequests is how many finished requests an instance keeps in memory for operators. A record takes about half a kilobyte.
const maxRecentRequests = 8192

// outcomeAnswered is the outcome of a request or an attempt that got a complete response.
const outcomeAnswered = "answered"

// recentRequests holds records of the last finished requests. It is safe for concurrent use.
type recentRequests struct {
	lock sync.Mutex
	ring *hwtrail.Ring
}

func newRecentRequests() *recentRequests {
	return &recentRequests{
		ring: hwtrail.NewRing(maxRecentRequests),
	}
}

// requestHistory collects the waits and attempts of one request. Only the goroutine that serves the request uses it.
type requestHistory struct {
	waits    []hwtrail.Wait
	attempts []hwtrail.Attempt
}

func (h *requestHistory) addWait(endedAt time.Time, wait *hwtrail.Wait) {
	if wait == nil {
		return
	}
	wait.Ended = endedAt
	h.waits = append(h.waits, *wait)
}

func (h *requestHistory) addAttempt(startedAt, endedAt time.Time, upstream string, failure *hwupstream.Error) {
	attempt := hwtrail.Attempt{
		Upstream: upstream,
		Began:    startedAt,
		Ended:    endedAt,
		Outcome:  outcomeAnswered,
	}
	if failure != nil {
		attempt.Outcome = failure.Cause.Error()
	}
	h.attempts = append(h.attempts, attempt)
}

// add stores the record of a finished request.
func (r *recentRequests) add(d *delivery, requestErr *hwerror.RequestError) {
	record := hwtrail.Record{
		Request:   d.call.ID,
		Instance:  d.router.settings.Instance,
		Account:   d.call.Account.Name,
		Pool:      d.call.Pool.Name,
		Began:     d.receivedAt,
		Ended:     time.Now(),
		Waits:     d.history.waits,
		Attempts:  d.history.attempts,
		Outcome:   outcomeAnswered,
		Execution: string(hwerror.ExecutionRan),
		CostUnits: d.cost,
	}
	if requestErr != nil {
		record.Outcome = string(requestErr.Kind)
		record.Execution = string(requestErr.Execution)
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.ring.Add(record)
}

func (r *recentRequests) find(request string) (hwtrail.Record, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.ring.Find(request)
}

// explainHandler responds with the record of a request that this instance served recently.
func (r *Router) explainHandler(w http.ResponseWriter, request *http.Request) {
	record, known := r.recentRequests.find(request.PathValue("request"))
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, record)
}
