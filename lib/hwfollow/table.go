package hwfollow

import (
	"context"
	"strconv"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

const (
	// newerTableInterval is the time between two queries of a router that is behind a peer, and the longest one between two checks whether it still is.
	newerTableInterval = 100 * time.Millisecond
	// newerTablePerPeer is the time for each peer over which routers spread their queries for a newer table.
	newerTablePerPeer = 10 * time.Millisecond
	// firstTablePerPeer is that time for routers without a table, which serve nobody yet.
	firstTablePerPeer = 3 * time.Millisecond
	// firstTableHold is how long after its start a router waits for the versions that its peers have in force, before it takes a first table from a store that has been restored. It covers two updates of each peer.
	firstTableHold = 500 * time.Millisecond
	// firstTableCheck is the time between two checks whether a router that has waited that long still lacks a newer table of a peer.
	firstTableCheck = 20 * time.Millisecond
)

// OlderEraError reports a table or list of an era of the store that has passed.
type OlderEraError struct {
	Era   uint64
	Known uint64
}

// Error returns a message with both eras.
func (e *OlderEraError) Error() string {
	return "the answer is of era " + strconv.FormatUint(e.Era, 10) + " of the store, which is in era " + strconv.FormatUint(e.Known, 10)
}

// known returns what this router knows of the table.
func (p *Poller) known() TableState {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.state.known
}

func (p *Poller) pollTable(ctx context.Context) error {
	// The result was current at some time after the request was sent, so its age is counted from the request.
	at, boot := p.clock.Now(), p.clock.BootTime()
	known := p.known()
	result, err := p.source.Table(ctx, known)
	switch {
	case err != nil && result.Encoded != nil:
		p.offers.log(offerOf(result), undecodable)
		return err
	case err != nil:
		return err
	case result.Revision.Era < known.Revision.Era:
		p.offers.log(offerOf(result), olderEra)
		return &OlderEraError{
			Era:   result.Revision.Era,
			Known: known.Revision.Era,
		}
	}
	p.newest.RaiseEra(p.logger, result.From, result.Revision.Era, at.Add(-result.Age))
	p.awaitPeers(ctx, known, result)
	wasTaken := p.takeTable(result)
	switch {
	case wasTaken:
	case result.Revision.IsBefore(known.Revision):
		p.offers.log(offerOf(result), olderRevision)
	case result.Table != nil && result.Table.Version() < p.known().Version:
		p.offers.log(offerOf(result), olderVersion)
	}
	p.sink.ConfirmTable(at.Add(-result.Age), boot-result.Age)
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.state.known.Revision.IsBefore(result.Revision) {
		p.state.known.Revision = result.Revision
	}
	p.state.tableConfirmedAt = max(p.state.tableConfirmedAt, boot-result.Age)
	return nil
}

// awaitPeers holds back the first table of a router that has just started if it comes from a store that has been restored: until the peers have stated the versions that they have in force, and this router has got the newest of them, the store may have lost it. The context bounds the wait.
func (p *Poller) awaitPeers(ctx context.Context, known TableState, result TableResult) {
	if !known.Revision.IsZero() || result.Revision.Era == 0 || result.Table == nil || result.From != FromStore {
		return
	}
	hwtask.Sleep(ctx, p.startedAt.Add(firstTableHold).Sub(p.clock.Now()))
	for ctx.Err() == nil && max(result.Table.Version(), p.known().Version) < p.reachability.NewestPeerTable(p.clock.Now()) {
		hwtask.Sleep(ctx, firstTableCheck)
	}
}

// takeTable puts the table of a result in force, if there is one and it is newer, keeps it for other routers, and reports whether it did. The version in force never goes back: an older one is of a store that has lost the newer one.
func (p *Poller) takeTable(result TableResult) bool {
	if result.Table == nil {
		return false
	}
	p.tableLock.Lock()
	defer p.tableLock.Unlock()
	version := result.Table.Version()
	if !p.sink.SetTable(p.clock.Now(), result.Table) {
		return false
	}
	p.newest.RaiseVersion(version)
	p.logger.Emit(hwevent.DocumentInForce, hwevent.With("version", version), hwevent.With("revision", result.Revision.Number), hwevent.With("era", result.Revision.Era), hwevent.With("from", result.From))
	p.lock.Lock()
	defer p.lock.Unlock()
	p.state.known.Version = version
	p.state.encodedTable = result.Encoded
	return true
}

// newerTableLoop gets tables that other routers have in force and this one has not, until the context ends. The store may have lost them.
func (p *Poller) newerTableLoop(ctx context.Context) error {
	for {
		select {
		case <-p.reachability.NewerTableHeard():
			p.catchUp(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// catchUp queries peers as long as one of them has a newer table in force than this router.
func (p *Poller) catchUp(ctx context.Context) {
	var pace newerTablePace
	for ctx.Err() == nil {
		now, known := p.clock.Now(), p.known()
		if known.Version >= p.reachability.NewestPeerTable(now) {
			return
		}
		if wait := pace.wait(now, known.Version > 0, p.settings.TableInterval, p.condition(0)); wait > 0 {
			hwtask.Sleep(ctx, min(wait, newerTableInterval))
			continue
		}
		queryCtx, cancel := context.WithTimeout(ctx, p.settings.Timeout)
		// A query that fails is repeated, perhaps with another peer.
		result, err := p.source.NewerTable(queryCtx, known.Version)
		cancel()
		if err != nil {
			hwtask.Sleep(ctx, p.settings.TableInterval)
			continue
		}
		if !p.takeTable(result) {
			hwtask.Sleep(ctx, newerTableInterval)
		}
	}
}

// newerTablePace decides when a router queries a peer that has a newer table in force.
type newerTablePace struct {
	// due is the time of the next query, or zero if the router has just heard of a newer table.
	due time.Time
}

// wait returns the time until a router that is behind queries a peer; 0 means now. The reader and its backup query at once. The others get the table with their next poll from the reader, unless that is behind too. If they still need it then, they query at random times, so that a peer that alone has the table is not queried by all routers at once. Those without a table don't wait for that poll.
func (p *newerTablePace) wait(now time.Time, hasTable bool, tableInterval time.Duration, c Condition) time.Duration {
	if c.ReadsStore {
		return 0
	}
	delay, spread := tableInterval, time.Duration(c.Peers)*newerTablePerPeer
	if !hasTable {
		delay, spread = 0, min(time.Duration(c.Peers)*firstTablePerPeer, firstTableHold/2)
	}
	next := now.Add(delay + time.Duration(c.Random*float64(spread)))
	if p.due.IsZero() {
		p.due = next
	}
	if wait := p.due.Sub(now); wait > 0 {
		return wait
	}
	p.due = next
	return 0
}
