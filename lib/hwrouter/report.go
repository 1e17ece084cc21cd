package hwrouter

import (
	"context"
	"time"

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
	heartbeat := time.NewTicker(r.settings.Times.Heartbeat)
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
		pause(ctx, r.settings.Times.ReportEvery)
	}
}

// brokerOf returns the instance that brokers a pool in this instance's view.
func (r *Router) brokerOf(name string) string {
	return hwslot.First("broker/"+name, r.alive())
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
	return h.broker.Report(now, report)
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
		broker: newBroker(now, r.settings, document, spec, members),
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
