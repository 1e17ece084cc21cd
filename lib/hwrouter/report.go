package hwrouter

import (
	"context"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwtask"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwslot"
)

// tickPool lets deadlines and the lease of a pool run out.
func (r *Router) tickPool(ctx context.Context, p *pool) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if p.tick(time.Now()) {
				r.logger.Emit(hwevent.LeaseExpired, hwevent.With("pool", p.name))
				r.metrics.leasesExpired.Add(1)
			}
		}
	}
}

// reportPool reports to the pool's broker on change, at most once per report interval, and at least once per heartbeat.
func (r *Router) reportPool(ctx context.Context, p *pool) error {
	heartbeat := time.NewTicker(r.settings.Timing.HeartbeatInterval)
	defer heartbeat.Stop()
	broker := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.changed:
		case <-heartbeat.C:
		}
		broker = r.reportOnce(ctx, p, broker)
		hwtask.Sleep(ctx, r.reportInterval())
	}
}

func (r *Router) reportInterval() time.Duration {
	r.pacerLock.Lock()
	defer r.pacerLock.Unlock()
	return r.pacer.Interval(time.Now(), r.ControlTrafficBytes())
}

// brokerOf returns the instance that brokers a pool in this instance's view.
func (r *Router) brokerOf(name string) string {
	return hwslot.RendezvousOwner("broker/"+name, r.AliveInstances())
}

func (r *Router) reportOnce(ctx context.Context, p *pool, before string) string {
	broker := r.brokerOf(p.name)
	if broker != before {
		r.logger.Emit(hwevent.BrokerChanged, hwevent.With("pool", p.name), hwevent.With("broker", broker))
		// The new broker knows nothing of this router.
		p.reportFailed()
	}
	now := time.Now()
	grant, err := r.sendReport(ctx, now, broker, p.report(now, r.stopping.Load()))
	switch {
	case ctx.Err() != nil:
	case err != nil:
		p.reportFailed()
		r.logger.Emit(hwevent.PeerUnreachable, hwevent.With("peer", broker), hwevent.With("error", err.Error()))
		r.doubt(ctx, broker)
	case grant.NotBroker:
		p.reportFailed()
	default:
		p.grant(time.Now(), grant)
	}
	return broker
}

func (r *Router) sendReport(ctx context.Context, now time.Time, broker string, report hwslot.Report) (hwslot.Grant, error) {
	r.metrics.reports.Add(1)
	if broker == r.settings.Instance {
		return r.takeReport(ctx, now, report), nil
	}
	row, known := r.lookup(broker)
	if !known {
		return hwslot.Grant{
			NotBroker: true,
		}, nil
	}
	reply, err := r.peers.Report(ctx, row.Address, hwpeer.ReportToWire(report))
	if err != nil {
		return hwslot.Grant{}, err
	}
	return hwpeer.GrantFromWire(reply), nil
}

// takeReport answers a report if this instance is the pool's broker in its own view.
func (r *Router) takeReport(ctx context.Context, now time.Time, report hwslot.Report) hwslot.Grant {
	broker := r.brokerOf(report.Pool)
	if !r.knowsFleet(now) {
		return hwslot.Grant{
			NotBroker: true,
			Sequence:  report.Sequence,
		}
	}
	if broker != r.settings.Instance {
		if broker != "" && report.Instance != r.settings.Instance {
			// The sender has reason to think that the broker is gone; find out.
			r.doubt(ctx, broker)
		}
		r.dropBroker(report.Pool)
		return hwslot.Grant{
			NotBroker: true,
			Sequence:  report.Sequence,
		}
	}
	h := r.host(now, report.Pool)
	if h == nil {
		return hwslot.Grant{
			NotBroker: true,
			Sequence:  report.Sequence,
		}
	}
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.broker.HandleReport(now, report)
}

// listenTime is how long a new broker only listens: one heartbeat of every router, and longer while the whole fleet may just be starting, because the list shows the others late.
func (r *Router) listenTime(now time.Time) time.Duration {
	if now.Sub(r.bootAt) < startTime {
		return StartupLearningPeriod(r.settings.Timing)
	}
	return listenBeats * r.settings.Timing.HeartbeatInterval
}

// listenBeats is how many heartbeats, and in a starting fleet reads of the list, a new broker waits for.
const listenBeats = 2

// StartupLearningPeriod returns how long the brokers of a fleet that starts all at once only listen. Until then every router has an equal part of the slots.
func StartupLearningPeriod(times Timing) time.Duration {
	return listenBeats * (times.HeartbeatInterval + times.ListPollInterval)
}

// startTime is how long an instance counts as starting.
const startTime = 15 * time.Second

// unlistedPatience is how long an instance waits to see itself in the list before it takes the list for all there is.
const unlistedPatience = 10 * time.Second

// knowsFleet reports whether the view of the fleet can be trusted. The list lags: until it shows this instance itself, it may not show the others that started with it, and every one of them would take the whole capacity for its own.
func (r *Router) knowsFleet(now time.Time) bool {
	if r.settings.InstanceListURL == "" || r.selfListed.Load() {
		return true
	}
	return r.listed.Load() && now.Sub(r.bootAt) > unlistedPatience
}

// host returns the broker of a pool, and begins one when this instance has just been chosen.
func (r *Router) host(now time.Time, name string) *hosted {
	r.poolsLock.RLock()
	h := r.brokers[name]
	r.poolsLock.RUnlock()
	if h != nil {
		return h
	}
	members := r.members()
	r.poolsLock.Lock()
	defer r.poolsLock.Unlock()
	if h := r.brokers[name]; h != nil {
		return h
	}
	document := r.Document()
	if document == nil {
		return nil
	}
	spec, known := document.Pool(name)
	if !known {
		return nil
	}
	h = &hosted{
		broker: newBroker(now, r.settings, r.listenTime(now), document, spec, members),
	}
	r.brokers[name] = h
	return h
}

// dropBroker forgets a broker's tables when another instance is the broker: they would be out of date if it ever came back.
func (r *Router) dropBroker(name string) {
	r.poolsLock.Lock()
	defer r.poolsLock.Unlock()
	delete(r.brokers, name)
}

// handBack returns every slot at the end of a graceful stop, so that the broker need not wait for the lease.
func (r *Router) handBack(ctx context.Context) {
	for _, p := range r.allPools() {
		now := time.Now()
		if broker := r.brokerOf(p.name); broker != "" {
			_, _ = r.sendReport(ctx, now, broker, p.report(now, true))
		}
	}
}
