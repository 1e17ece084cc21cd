package hwrouter

import (
	"sync"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwburn"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwerror"
)

// objectives is the shared table of the meters of the document's objectives.
type objectives struct {
	lock   sync.Mutex
	meters map[hwburn.Objective]*hwburn.Meter
}

// setDocument keeps the meters of objectives that stay, and begins those of new ones.
func (o *objectives) setDocument(now time.Time, document *hwdocument.Document) {
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
			next[objective] = hwburn.NewMeter(now, objective)
		}
	}
	o.meters = next
}

func (o *objectives) observe(now time.Time, account, pool string, first time.Duration, good bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	for objective, meter := range o.meters {
		if objective.Account == account && objective.Pool == pool {
			meter.Observe(now, first, good)
		}
	}
}

// ObjectiveCounts returns the counts of every objective at this instance.
func (r *Router) ObjectiveCounts(now time.Time) []hwburn.ObjectiveCounts {
	r.objectives.lock.Lock()
	defer r.objectives.lock.Unlock()
	rows := []hwburn.ObjectiveCounts{}
	if document := r.Document(); document != nil {
		for _, spec := range document.Objectives {
			meter := r.objectives.meters[hwburn.Objective{
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

// count notes how a request ended for its objectives. A request that its caller gave up, or that was wrong in itself, counts for none.
func (d *delivery) count(refusal *hwerror.RequestError) {
	first := d.firstByte.Sub(d.began)
	if refusal != nil {
		switch refusal.Kind {
		case hwerror.KindCallerGone, hwerror.KindIdempotencyKeyReused, hwerror.KindRequestQuarantined:
			return
		default:
			first = 0
		}
	}
	d.router.objectives.observe(time.Now(), d.call.Account.Name, d.call.Pool.Name, first, refusal == nil)
}
