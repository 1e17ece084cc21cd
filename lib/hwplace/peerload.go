package hwplace

import "time"

// peerReport is the newest load report of another router.
type peerReport struct {
	receivedAt time.Time
	entries    []peerLoadEntry
}

// peerLoadEntry is one load of a report, with the sum to which it was added.
type peerLoadEntry struct {
	load PeerLoad
	sum  *peerLoadSum
}

// peerLoadSum is the sum of the peers' loads at one upstream. It saves a choice from iterating over all reports. Unlisted upstreams have sums too, because a peer's report may arrive before the upstream's entry in the list.
type peerLoadSum struct {
	load PeerLoad
	// references counts the entries of reports and the listed upstreams that refer to the sum.
	references int
}

// add adds a load with a sign of 1 and subtracts it with -1.
func (u *peerLoadSum) add(l PeerLoad, sign float64) {
	u.load.PendingTokens += sign * l.PendingTokens
	u.load.Running += int(sign) * l.Running
	if u.load.Running <= 0 {
		u.load.PendingTokens, u.load.Running = 0, 0
	}
}

// acquirePeerLoadSum returns the sum of an upstream, which it creates if necessary, with one reference more.
func (p *Pool) acquirePeerLoadSum(upstream IDHash) *peerLoadSum {
	sum := p.peerLoadSums[upstream]
	if sum == nil {
		sum = &peerLoadSum{
			load: PeerLoad{
				Upstream: upstream,
			},
		}
		p.peerLoadSums[upstream] = sum
	}
	sum.references++
	return sum
}

func (p *Pool) releasePeerLoadSum(sum *peerLoadSum) {
	sum.references--
	if sum.references == 0 {
		delete(p.peerLoadSums, sum.load.Upstream)
	}
}

// maxSkippedEntries is how far ahead the entry of an upstream is searched in a peer's last report. Reports list upstreams in the order of the list, so that only upstreams without requests in one of the two reports lie between.
const maxSkippedEntries = 8

// SetPeerLoads replaces the loads that another router reports for this pool. Only what differs from its last report changes the sums.
func (p *Pool) SetPeerLoads(now time.Time, router string, loads []PeerLoad) {
	if len(loads) == 0 {
		p.removePeerReport(router)
		return
	}
	previous := p.peerReports[router].entries
	remaining := previous
	entries := p.spareEntries[:0]
	for _, l := range loads {
		var sum *peerLoadSum
		for i := range remaining[:min(len(remaining), maxSkippedEntries)] {
			if remaining[i].load.Upstream != l.Upstream {
				continue
			}
			p.removeEntries(remaining[:i])
			sum = remaining[i].sum
			if remaining[i].load != l {
				sum.add(remaining[i].load, -1)
				sum.add(l, 1)
			}
			remaining = remaining[i+1:]
			break
		}
		if sum == nil {
			sum = p.acquirePeerLoadSum(l.Upstream)
			sum.add(l, 1)
		}
		entries = append(entries, peerLoadEntry{
			load: l,
			sum:  sum,
		})
	}
	p.removeEntries(remaining)
	p.spareEntries = previous
	p.peerReports[router] = peerReport{
		receivedAt: now,
		entries:    entries,
	}
	if now.Before(p.oldestReport) {
		p.oldestReport = now
	}
}

// removeEntries subtracts entries of a report from the sums.
func (p *Pool) removeEntries(entries []peerLoadEntry) {
	for _, e := range entries {
		e.sum.add(e.load, -1)
		p.releasePeerLoadSum(e.sum)
	}
}

func (p *Pool) removePeerReport(router string) {
	p.removeEntries(p.peerReports[router].entries)
	delete(p.peerReports, router)
}

// peerReportMaxAge is how long a peer's report counts. A peer that sends no newer one within that time has probably stopped.
const peerReportMaxAge = 1500 * time.Millisecond

// expirePeerReports removes outdated reports.
func (p *Pool) expirePeerReports(now time.Time) {
	if now.Sub(p.oldestReport) <= peerReportMaxAge {
		return
	}
	p.oldestReport = now
	for router, report := range p.peerReports {
		switch {
		case now.Sub(report.receivedAt) > peerReportMaxAge:
			p.removePeerReport(router)
		case report.receivedAt.Before(p.oldestReport):
			p.oldestReport = report.receivedAt
		}
	}
}
