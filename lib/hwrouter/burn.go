package hwrouter

import (
	"sync"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwburn"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwerror"
)

// objectiveMeters holds one meter for each service-level objective of the document. It is safe for concurrent use.
type objectiveMeters struct {
	lock   sync.Mutex
	meters map[hwburn.Objective]*hwburn.Meter
}

// setDocument keeps the meters of unchanged objectives, creates those of new ones and drops the rest.
func (o *objectiveMeters) setDocument(document *hwdocument.Document) {
	o.lock.Lock()
	defer o.lock.Unlock()
	next := map[hwburn.Objective]*hwburn.Meter{}
	for _, spec := range document.Objectives {
		objective := hwburn.Objective{
			Account:          spec.Account,
			Pool:             spec.Pool,
			LatencyThreshold: spec.Within.Std(),
			Target:           spec.Target,
		}
		next[objective] = o.meters[objective]
		if next[objective] == nil {
			next[objective] = hwburn.NewMeter(objective)
		}
	}
	o.meters = next
}

func (o *objectiveMeters) observe(now time.Time, account, pool string, timeToFirstByte time.Duration, good bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	for objective, meter := range o.meters {
		if objective.Account == account && objective.Pool == pool {
			meter.Observe(now, timeToFirstByte, good)
		}
	}
}

// ObjectiveCounts returns the request counts that this instance recorded for each service-level objective.
func (r *Router) ObjectiveCounts(now time.Time) []hwburn.ObjectiveCounts {
	r.objectiveMeters.lock.Lock()
	defer r.objectiveMeters.lock.Unlock()
	rows := []hwburn.ObjectiveCounts{}
	if document := r.Document(); document != nil {
		for _, spec := range document.Objectives {
			meter := r.objectiveMeters.meters[hwburn.Objective{
				Account:          spec.Account,
				Pool:             spec.Pool,
				LatencyThreshold: spec.Within.Std(),
				Target:           spec.Target,
			}]
			if meter != nil {
				rows = append(rows, meter.Export(now))
			}
		}
	}
	return rows
}

// recordObjectives records the request's result for its objectives. Requests that the caller cancelled, that reused an idempotency key with another body, or that are quarantined don't count.
func (d *delivery) recordObjectives(requestErr *hwerror.RequestError) {
	timeToFirstByte := d.firstByteAt.Sub(d.receivedAt)
	if requestErr != nil {
		switch requestErr.Kind {
		case hwerror.KindCallerGone, hwerror.KindIdempotencyKeyReused, hwerror.KindRequestQuarantined:
			return
		default:
			timeToFirstByte = 0
		}
	}
	d.router.objectiveMeters.observe(time.Now(), d.call.Account.Name, d.call.Pool.Name, timeToFirstByte, requestErr == nil)
}
