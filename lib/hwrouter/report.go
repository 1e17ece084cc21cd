package hwrouter

import (
	"context"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwtask"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwslot"
)

// tickPool periodically expires the deadlines and the lease of a pool.
func (r *Router) tickPool(ctx context.Context, p *pool) error {
	ticker := time.NewTicker(tickInterval)
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
		case <-p.reportRequested:
		case <-heartbeat.C:
		}
		broker = r.reportToBroker(ctx, p, broker)
		hwtask.Sleep(ctx, r.reportInterval())
	}
}

func (r *Router) reportInterval() time.Duration {
	r.pacerLock.Lock()
	defer r.pacerLock.Unlock()
	return r.pacer.Interval(time.Now(), r.ControlTrafficBytes())
}

// brokerOf returns the instance that is a pool's broker according to this instance's membership view.
func (r *Router) brokerOf(name string) string {
	return hwslot.RendezvousOwner("broker/"+name, r.AliveInstances())
}

func (r *Router) reportToBroker(ctx context.Context, p *pool, previous string) string {
	broker := r.brokerOf(p.name)
	if broker != previous {
		r.logger.Emit(hwevent.BrokerChanged, hwevent.With("pool", p.name), hwevent.With("broker", broker))
		// The new broker has no state of this router, so the next report must be complete.
		p.reportFailed()
	}
	now := time.Now()
	grant, err := r.sendReport(ctx, now, broker, p.nextReport(now, r.stopping.Load()))
	switch {
	case ctx.Err() != nil:
	case err != nil:
		p.reportFailed()
		r.logger.Emit(hwevent.PeerUnreachable, hwevent.With("peer", broker), hwevent.With("error", err.Error()))
		r.probeNow(ctx, broker)
	case grant.NotBroker:
		p.reportFailed()
	default:
		p.applyGrant(time.Now(), grant)
	}
	return broker
}

func (r *Router) sendReport(ctx context.Context, now time.Time, broker string, report hwslot.Report) (hwslot.Grant, error) {
	r.metrics.reports.Add(1)
	if broker == r.settings.Instance {
		return r.handleReport(ctx, now, report), nil
	}
	row, known := r.lookupMember(broker)
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

// handleReport handles a report if this instance considers itself the pool's broker, and otherwise replies that it is not.
func (r *Router) handleReport(ctx context.Context, now time.Time, report hwslot.Report) hwslot.Grant {
	broker := r.brokerOf(report.Pool)
	if !r.fleetKnown(now) {
		return hwslot.Grant{
			NotBroker: true,
			Sequence:  report.Sequence,
		}
	}
	if broker != r.settings.Instance {
		if broker != "" && report.Instance != r.settings.Instance {
			// The sender may have found the broker unreachable, so probe it.
			r.probeNow(ctx, broker)
		}
		r.dropBroker(report.Pool)
		return hwslot.Grant{
			NotBroker: true,
			Sequence:  report.Sequence,
		}
	}
	h := r.hostBroker(now, report.Pool)
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

// learningPeriod returns how long a new broker only collects reports: long enough for one heartbeat of every router, and longer while the whole fleet may be starting, because the instance list shows the other instances late.
func (r *Router) learningPeriod(now time.Time) time.Duration {
	if now.Sub(r.startedAt) < startupPeriod {
		return StartupLearningPeriod(r.settings.Timing)
	}
	return learningIntervals * r.settings.Timing.HeartbeatInterval
}

// learningIntervals is how many heartbeat intervals a new broker's learning period lasts. In a starting fleet as many poll intervals of the instance list are added.
const learningIntervals = 2

// StartupLearningPeriod returns how long brokers only collect reports when all instances start at once. Until then, every router has an equal part of the slots.
func StartupLearningPeriod(timing Timing) time.Duration {
	return learningIntervals * (timing.HeartbeatInterval + timing.ListPollInterval)
}

// startupPeriod is how long after its start an instance assumes that the whole fleet may be starting.
const startupPeriod = 15 * time.Second

// startupWaitLimit is how long a starting instance waits to see itself in the instance list, or for a peer's reply, before it goes on without.
const startupWaitLimit = 10 * time.Second

// fleetKnown reports whether the membership view is reliable. The instance list lags: until it contains this instance, it may also lack others that started at the same time, and each of them would then claim the whole capacity.
func (r *Router) fleetKnown(now time.Time) bool {
	if r.settings.InstanceListURL == "" || r.selfInList.Load() {
		return true
	}
	return r.listFetched.Load() && now.Sub(r.startedAt) > startupWaitLimit
}

// hostBroker returns the broker of a pool, and creates it if this instance has just become the broker. It returns nil if the current document has no such pool.
func (r *Router) hostBroker(now time.Time, name string) *hostedBroker {
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
	h = &hostedBroker{
		broker: newBroker(now, r.settings, r.learningPeriod(now), document, spec, members),
	}
	r.brokers[name] = h
	return h
}

// dropBroker discards a broker's state when another instance is the broker: it would be out of date if this instance became the broker again.
func (r *Router) dropBroker(name string) {
	r.poolsLock.Lock()
	defer r.poolsLock.Unlock()
	delete(r.brokers, name)
}

// returnSlots returns all slots to the brokers at the end of a graceful shutdown, so that they don't have to wait until the lease expires.
func (r *Router) returnSlots(ctx context.Context) {
	for _, p := range r.allPools() {
		now := time.Now()
		if broker := r.brokerOf(p.name); broker != "" {
			_, _ = r.sendReport(ctx, now, broker, p.nextReport(now, true))
		}
	}
}
