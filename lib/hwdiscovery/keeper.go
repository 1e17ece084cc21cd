package hwdiscovery

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Lease is the store's number of a lease.
type Lease int64

// noLease is the number of no lease.
const noLease Lease = 0

// LeaseEndedError reports that a lease has ended, and its keys with it.
type LeaseEndedError struct {
	Lease Lease
}

// Error returns a message.
func (e *LeaseEndedError) Error() string { return "the lease of the entry has ended" }

// RefusedError reports that the store answers a call but does not do it, and that a repetition changes nothing.
type RefusedError struct {
	Cause error
}

// Error returns the cause.
func (e *RefusedError) Error() string { return "refused: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// Store reads and writes the entries. What it refuses for good is told by a RefusedError.
type Store interface {
	// Read returns the entries by their names, some hundreds at most. An answer that may be stale costs less.
	Read(ctx context.Context, mayBeStale bool) (map[string][]byte, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Write replaces an entry and puts it under a lease. It returns a LeaseEndedError if there is no such lease.
	Write(ctx context.Context, name string, value []byte, lease Lease) error
	// Renew renews a lease. It returns a LeaseEndedError if the lease has ended.
	Renew(ctx context.Context, lease Lease) error
}

// Peers are the routers that this one exchanges datagrams with.
type Peers interface {
	// PeerCount returns how many other routers were heard lately.
	PeerCount(now time.Time) int
	// Rank returns how many of them come before this router in a ranking that all routers agree on.
	Rank(now time.Time) int
	// Contact sends datagrams to the addresses from which nothing was heard lately, and returns their number.
	Contact(now time.Time, addresses []netip.AddrPort) int
}

// Dependencies are the parts that a Keeper uses.
type Dependencies struct {
	Store Store
	Peers Peers
	// SetMayHavePeers is told, after each call, whether there may be other routers than those heard.
	SetMayHavePeers func(bool)
	// IsReachable reports whether the store answers this router's other calls. When it does so again after an outage, failed calls are repeated within StartJitter.
	IsReachable func() bool
	// NewestEra returns the newest era of the store that this router knows.
	NewestEra func() uint64
	// SetIsolated is told whether this router is isolated: it hears no peer, and has no entry by which one could find it, because the store turns it away.
	SetIsolated func(now time.Time, isolated bool)
	Logger      *hwevent.Logger
	Now         func() time.Time
	// Random returns a random number from 0 to 1.
	Random func() float64
}

// schedule is when the next call of a kind may be made.
type schedule struct {
	at time.Time
	// failures counts the failed calls in a row, refusals those among them that the store refused.
	failures, refusals int
}

// Keeper keeps this router's entry as long as the fleet needs it, and contacts the routers of the other entries.
type Keeper struct {
	settings     Settings
	dependencies Dependencies
	own          Entry
	// name is that of the entry: an address belongs to one router at a time, so the entry of its last owner is replaced.
	name string

	read, write schedule
	// others, readsOfFew and readsAlone are described at view.
	others     int
	readsOfFew int
	readsAlone int
	// unheard is the number of those others that were not heard.
	unheard int
	// foundNobody is set if the last read had this router's entry and no other, while no peer was heard.
	foundNobody bool
	// lease is that of the entry, or noLease. The entry may have expired since; the next renewal tells.
	lease Lease
	// era is the store's era in which the entry was written.
	era uint64
	// confirmedAt is when the store last took the entry or renewed its lease, enteredAt when it did so for the first time since it had the entry in doubt.
	confirmedAt time.Time
	enteredAt   time.Time
	isolated    bool
	// missing counts the reads in a row that lacked the entry.
	missing int
	// loggedUnusable are the unusable entries at the last read.
	loggedUnusable map[string]string
}

// New returns a keeper that has not read the store yet.
func New(settings Settings, own Entry, dependencies Dependencies) *Keeper {
	return &Keeper{
		settings:     settings,
		dependencies: dependencies,
		own:          own,
		name:         own.Address.String(),
		others:       unknown,
	}
}

// Run keeps the entry until the context ends. It does not remove the entry, which expires.
func (k *Keeper) Run(ctx context.Context) error {
	k.write.at = k.dependencies.Now().Add(k.settings.SettleTime + time.Duration(k.dependencies.Random()*float64(k.settings.StartJitter)))
	k.read.at = k.write.at
	hwtask.Sleep(ctx, k.settings.SettleTime)
	wasAlone, wasReachable := true, true
	for ctx.Err() == nil {
		now := k.dependencies.Now()
		isReachable := k.dependencies.IsReachable()
		if isReachable && !wasReachable {
			k.repeatFailed(now)
		}
		wasReachable = isReachable
		isAlone := k.dependencies.Peers.PeerCount(now) == 0
		if isAlone != wasAlone {
			k.notePeers(now, isAlone)
			wasAlone = isAlone
		}
		k.step(ctx, now)
		k.judgeIsolation(k.dependencies.Now())
		hwtask.Sleep(ctx, k.untilNext(k.dependencies.Now()))
	}
	return nil
}

// untilNext returns the time until the next step. The times of the calls are jittered, so steps must not round them.
func (k *Keeper) untilNext(now time.Time) time.Duration {
	wait := k.settings.CheckInterval
	for _, at := range []time.Time{k.read.at, k.write.at} {
		if left := at.Sub(now); left > 0 {
			wait = min(wait, left)
		}
	}
	return wait
}

// view returns what decides at a time.
func (k *Keeper) view(now time.Time) view {
	return view{
		peers:      k.dependencies.Peers.PeerCount(now),
		rank:       k.dependencies.Peers.Rank(now),
		others:     k.others,
		readsOfFew: k.readsOfFew,
		readsAlone: k.readsAlone,
		hasEntry:   k.lease != noLease,
	}
}

// notePeers records that this router has heard of its first peer, or has lost the last one.
func (k *Keeper) notePeers(now time.Time, isAlone bool) {
	k.readsAlone = 0
	k.foundNobody = false
	if !isAlone {
		// Entries that were read before those of the fleet were written say nothing of their number.
		k.others = unknown
		k.unheard = 0
		k.readsOfFew = 0
		k.read.at = now.Add(time.Duration(k.dependencies.Random() * float64(k.settings.readInterval(k.view(now)))))
		return
	}
	if soon := now.Add(jittered(k.settings.AloneReadInterval, k.dependencies.Random())); soon.Before(k.read.at) {
		k.read.at = soon
	}
}

// repeatFailed brings forward the calls that were put off after a failure.
func (k *Keeper) repeatFailed(now time.Time) {
	soon := now.Add(time.Duration(k.dependencies.Random() * float64(k.settings.StartJitter)))
	for _, s := range []*schedule{&k.read, &k.write} {
		if s.failures > 0 && soon.Before(s.at) {
			s.at = soon
		}
	}
}

// confirm records that the store has the entry.
func (k *Keeper) confirm(now time.Time) {
	if !k.hasEntry(now) {
		k.enteredAt = now
	}
	k.confirmedAt = now
}

// hasEntry reports whether the entry is still in the store, as far as is known.
func (k *Keeper) hasEntry(now time.Time) bool {
	return k.lease != noLease && now.Sub(k.confirmedAt) < k.settings.TTL
}

// judgeIsolation determines whether this router is isolated. A store that answers nobody says nothing of this router, so only refusals count. Once it has an entry, others need the longest time between two reads to find it; without an isolation before, they had the same chance to be found.
func (k *Keeper) judgeIsolation(now time.Time) {
	isolated := k.isolated
	switch {
	case k.dependencies.Peers.PeerCount(now) > 0:
		isolated = false
	case !k.hasEntry(now):
		isolated = isolated || k.write.refusals > 0 || k.read.refusals > 0
	default:
		isolated = isolated && now.Sub(k.enteredAt) < jittered(k.settings.MaxAloneReadInterval, 1)+k.settings.Timeout
	}
	if isolated != k.isolated {
		k.isolated = isolated
		k.dependencies.SetIsolated(now, isolated)
	}
}

// step makes the calls that are due.
func (k *Keeper) step(ctx context.Context, now time.Time) {
	if k.lease != noLease && k.dependencies.NewestEra() > k.era {
		// A restored store lacks the lease, or gave its number to another router.
		k.lease = noLease
		k.write.at = now.Add(time.Duration(k.dependencies.Random() * float64(k.settings.StartJitter)))
	}
	if !now.Before(k.read.at) {
		k.call(ctx, "read", &k.read, k.readEntries)
		if k.read.failures == 0 {
			k.read.at = now.Add(jittered(k.settings.readInterval(k.view(now)), k.dependencies.Random()))
		}
	}
	if !k.settings.keepsEntry(k.view(now)) {
		// Failures of writes that nobody needs any more say nothing of later ones.
		k.write.failures, k.write.refusals = 0, 0
		return
	}
	if now.Before(k.write.at) {
		return
	}
	if k.lease == noLease {
		k.call(ctx, "write", &k.write, k.enter)
	} else {
		k.call(ctx, "renew", &k.write, k.renew)
	}
	if k.write.failures == 0 && k.lease != noLease {
		k.write.at = now.Add(jittered(k.settings.RenewInterval, k.dependencies.Random()))
	}
}

// call makes a call, logs the first failure in a row and puts the next call off after one.
func (k *Keeper) call(ctx context.Context, name string, s *schedule, run func(context.Context) error) {
	callCtx, cancel := context.WithTimeout(ctx, k.settings.Timeout)
	defer cancel()
	err := run(callCtx)
	if err == nil || ctx.Err() != nil {
		s.failures, s.refusals = 0, 0
		k.tellPeers()
		return
	}
	if isRefusal(err) {
		s.refusals++
	}
	if s.failures == 0 {
		k.dependencies.Logger.Emit(hwevent.PeerEntryFailed, hwevent.With("call", name), hwevent.With("cause", err.Error()))
	}
	wait := doubled(k.settings.RetryInterval, s.failures, k.settings.MaxRetryInterval)
	s.failures++
	k.tellPeers()
	s.at = k.dependencies.Now().Add(jittered(wait, k.dependencies.Random()))
}

// maxRefusals is the number of refusals in a row after which the store counts as one that keeps no entries. A lease that a restoration took away explains one or two.
const maxRefusals = 3

// isRefusal reports whether the store has answered a call that it does not do.
func isRefusal(err error) bool {
	var refused *RefusedError
	var ended *LeaseEndedError
	return errors.As(err, &refused) || errors.As(err, &ended)
}

// tellPeers tells whether there may be routers that were not heard. For a router that hears nobody there are none if its own entry was read and no other: whoever enters later reads it and makes contact. For one of a fleet there are none if those that the last read named are heard, since each part of a fleet keeps entries. A store that keeps no entries shows nobody, so then the settings have to do. One that is silent proves nothing.
func (k *Keeper) tellPeers() {
	keepsNone := k.read.refusals >= maxRefusals || k.write.refusals >= maxRefusals
	if k.dependencies.Peers.PeerCount(k.dependencies.Now()) == 0 {
		k.dependencies.SetMayHavePeers(k.others > 0 || !keepsNone && !k.foundNobody)
		return
	}
	wasRead := k.others != unknown && k.read.failures == 0
	k.dependencies.SetMayHavePeers(!keepsNone && !wasRead || k.unheard > 0)
}

// enter writes the entry under a new lease.
func (k *Keeper) enter(ctx context.Context) error {
	value, err := Encode(k.own)
	if err != nil {
		return err
	}
	era := k.dependencies.NewestEra()
	lease, err := k.dependencies.Store.Grant(ctx, k.settings.TTL)
	if err != nil {
		return err
	}
	if err := k.dependencies.Store.Write(ctx, k.name, value, lease); err != nil {
		return err
	}
	k.lease = lease
	k.era = era
	k.confirmedAt = time.Time{}
	k.confirm(k.dependencies.Now())
	k.missing = 0
	return nil
}

// renew renews the lease. The entry is written again at the next step if the lease has ended.
func (k *Keeper) renew(ctx context.Context) error {
	err := k.dependencies.Store.Renew(ctx, k.lease)
	var ended *LeaseEndedError
	if errors.As(err, &ended) {
		k.lease = noLease
		return nil
	}
	if err == nil {
		k.confirm(k.dependencies.Now())
	}
	return err
}

// maxMissing is the number of stale reads in a row without the own entry after which it is written again: one may be older than the entry.
const maxMissing = 2

// readEntries reads the entries and contacts those that they name.
func (k *Keeper) readEntries(ctx context.Context) error {
	peers := k.dependencies.Peers
	isAlone := peers.PeerCount(k.dependencies.Now()) == 0
	entries, err := k.dependencies.Store.Read(ctx, !isAlone)
	if err != nil {
		return err
	}
	var contacts []netip.AddrPort
	unusable := map[string]string{}
	hasOwn := false
	for name, encoded := range entries {
		entry, err := Decode(encoded)
		switch {
		case err != nil:
			unusable[name] = err.Error()
			if k.loggedUnusable[name] != unusable[name] {
				k.dependencies.Logger.Emit(hwevent.PeerEntryUnusable, hwevent.With("entry", name), hwevent.With("bytes", len(encoded)), hwevent.With("cause", err.Error()))
			}
		case name == k.name:
			hasOwn = entry.Boot == k.own.Boot
		case entry.Address != k.own.Address:
			contacts = append(contacts, entry.Address)
		}
	}
	k.loggedUnusable = unusable
	k.others = len(contacts)
	k.readsOfFew++
	if k.others >= k.settings.MinEntries {
		k.readsOfFew = 0
	}
	if isAlone {
		if k.readsAlone == 0 && len(contacts) > 0 {
			k.dependencies.Logger.Emit(hwevent.PeerEntriesFound, hwevent.With("entries", len(contacts)))
		}
		k.readsAlone++
	}
	k.foundNobody = isAlone && hasOwn && len(contacts) == 0
	k.noteOwn(hasOwn, !isAlone)
	k.unheard = peers.Contact(k.dependencies.Now(), contacts)
	return nil
}

// noteOwn records whether a read had the own entry. Somebody else may have removed it, or a write of an earlier process at this address took effect late and its lease has ended.
func (k *Keeper) noteOwn(found, mayBeStale bool) {
	if found {
		k.missing = 0
		return
	}
	k.missing++
	if k.missing >= maxMissing || !mayBeStale {
		k.lease = noLease
	}
}
