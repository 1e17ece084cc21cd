package hwforward

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwversion"
)

const (
	// minStreamLifetime and maxStreamLifetime bound the time for which a stream is known after its first event. Within them, it is the longest timeout of a stream's route, or the longest time for which a client has waited so far.
	minStreamLifetime = 15 * time.Second
	maxStreamLifetime = time.Minute
	// maxKnownStreams limits the streams in memory, some 160 bytes each.
	maxKnownStreams = 1 << 17
	// maxCopyTargets and maxCopiedStreams limit what is told to peers at a time: the number of datagrams, and of streams in them.
	maxCopyTargets   = 40
	maxCopiedStreams = 500
	// historyRequestTTL is how long after a peer has asked for what is known of versions it is told.
	historyRequestTTL = 2 * time.Second
)

// streamVersions is what a router knows of the versions at which streams began. The router's lock guards it.
type streamVersions struct {
	memory *hwversion.Memory
	// histories are those of the pools.
	histories map[string]*hwversion.History
	// uncertain contains the pools of which more than one version may have begun the present streams.
	uncertain map[string]bool
	// untold are the streams that the peers have not been told yet.
	untold []hwversion.Stream
	// lifetime is how long a stream can last.
	lifetime time.Duration
	// settledFor is how long a stream of the table in force can last, or 0 without a table. All routers know it, so a pool that one of them states to be settled was so for that time, while only some may have seen a client that waits for longer.
	settledFor time.Duration
	// historyRequestedAt is when a peer last asked for what is known of versions.
	historyRequestedAt time.Time
	// recordKnown is set once this router has merged the record of streams.
	recordKnown bool
	// settled are the pools of which the record states the only version, and of which no list has come yet since this router has a table.
	settled   map[string]hwplace.VersionHash
	startedAt time.Time
	peers     PeerStreams
	takeUps   map[takeUpOutcome]int64
}

func newStreamVersions(now time.Time) *streamVersions {
	return &streamVersions{
		startedAt: now,
		memory:    hwversion.NewMemory(maxKnownStreams),
		histories: map[string]*hwversion.History{},
		uncertain: map[string]bool{},
		lifetime:  minStreamLifetime,
		takeUps:   map[takeUpOutcome]int64{},
	}
}

// history returns the history of a pool, which it creates on first use.
func (v *streamVersions) history(pool string) *hwversion.History {
	h := v.histories[pool]
	if h == nil {
		h = hwversion.NewHistory()
		v.histories[pool] = h
	}
	return h
}

// observe records a list of a pool's upstreams.
func (v *streamVersions) observe(now time.Time, pool string, list []hwplace.Upstream) {
	v.history(pool).Observe(now, list, maxStreamLifetime)
	if version, isSettled := v.settled[pool]; isSettled && v.settledFor > 0 {
		v.history(pool).Settle(version, v.settledFor)
		delete(v.settled, pool)
	}
	v.memory.Expire(now, v.lifetime)
	v.update(now, pool)
}

// setTable sets how long a stream of the table in force can last.
func (v *streamVersions) setTable(longest time.Duration) {
	v.settledFor = min(maxStreamLifetime, max(minStreamLifetime, longest))
	v.lifetime = max(v.lifetime, v.settledFor)
}

// update determines whether it is certain at which version the streams of a pool began. Once it no longer is, the peers have to be told of those that run already.
func (v *streamVersions) update(now time.Time, pool string) {
	h := v.history(pool)
	_, certain := h.Only(now, v.lifetime)
	if !certain && !v.uncertain[pool] {
		v.untold = append(v.untold, v.memory.Own(h.Contains)...)
	}
	v.uncertain[pool] = !certain
}

// begin records that a stream of a pool began at this router.
func (v *streamVersions) begin(now time.Time, pool string, stream hwversion.Stream) {
	v.memory.Add(now, stream, true)
	v.update(now, pool)
	if v.uncertain[pool] {
		v.untold = append(v.untold, stream)
		if excess := len(v.untold) - maxKnownStreams; excess > 0 {
			v.untold = v.untold[excess:]
		}
	}
}

// TakeStreams returns the streams to tell to the peers, by the name of the peer. What exceeds the limits is returned by a later call.
func (r *Router) TakeStreams(now time.Time) map[string][]hwversion.Stream {
	r.lock.Lock()
	defer r.lock.Unlock()
	v := r.versions
	if len(v.untold) == 0 {
		return nil
	}
	routers := r.liveRouters(now)
	if len(routers) == 1 {
		// This router has just started, or is alone. What is still known once a peer is heard is told then.
		for len(v.untold) > 0 && now.Sub(v.untold[0].Origin.BeganAt) > v.lifetime {
			v.untold = v.untold[1:]
		}
		return nil
	}
	told := map[string][]hwversion.Stream{}
	taken := 0
	for _, stream := range v.untold[:min(maxCopiedStreams, len(v.untold))] {
		if len(told) >= maxCopyTargets {
			break
		}
		taken++
		for _, router := range hwversion.Copies(routers, stream.ID, r.settings.Instance) {
			told[router] = append(told[router], stream)
		}
	}
	v.untold = v.untold[taken:]
	return told
}

// AddStreams records streams that a peer serves.
func (r *Router) AddStreams(now time.Time, streams []hwversion.Stream) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, stream := range streams {
		r.versions.memory.Add(now, stream, false)
	}
}

// FindStream returns where a stream began, or false if this router does not know it. An origin in doubt is marked as conflicting, because the caller may not have listed the restart that shows it.
func (r *Router) FindStream(id hwversion.StreamID) (hwversion.Origin, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	origin, found := r.versions.memory.Find(id)
	origin.Conflicting = r.versions.isInDoubt(origin)
	return origin, found
}

// isInDoubt reports whether a stream of any pool may have begun at another version than the stated one.
func (v *streamVersions) isInDoubt(origin hwversion.Origin) bool {
	for _, h := range v.histories {
		if h.IsInDoubt(origin) {
			return true
		}
	}
	return origin.Conflicting
}

// RecordedStreams returns the streams of this router that would be in doubt if all routers ended now, the latest last.
func (r *Router) RecordedStreams(now time.Time) []hwversion.Stream {
	r.lock.Lock()
	defer r.lock.Unlock()
	v := r.versions
	v.memory.Expire(now, v.lifetime)
	var inDoubt []*hwversion.History
	for pool, h := range v.histories {
		if v.uncertain[pool] && h.Versions() > 1 {
			inDoubt = append(inDoubt, h)
		}
	}
	if len(inDoubt) == 0 {
		return nil
	}
	streams := v.memory.Own(func(version hwplace.VersionHash) bool {
		return slices.ContainsFunc(inDoubt, func(h *hwversion.History) bool { return h.Contains(version) })
	})
	// The record states neither upstreams nor times, so a stream in doubt would come back as a fact.
	return slices.DeleteFunc(streams, func(s hwversion.Stream) bool { return v.isInDoubt(s.Origin) })
}

// MergeRecordedStreams adds streams of the fleet's record. Own are those that this router served in an earlier lifetime.
func (r *Router) MergeRecordedStreams(now time.Time, streams []hwversion.Stream, own bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, stream := range streams {
		r.versions.memory.Add(now, stream, own)
	}
}

// SettledVersions returns the pools of which one version alone has served for longer than a stream can last, with that version.
func (r *Router) SettledVersions(now time.Time) map[string]hwplace.VersionHash {
	r.lock.Lock()
	defer r.lock.Unlock()
	settled := map[string]hwplace.VersionHash{}
	for pool, h := range r.versions.histories {
		if version, certain := h.Only(now, r.versions.lifetime); certain && version != 0 {
			settled[pool] = version
		}
	}
	return settled
}

// SetStreamRecordKnown reports that the whole record of streams was merged, and which pools are settled by it.
func (r *Router) SetStreamRecordKnown(now time.Time, settled map[string]hwplace.VersionHash) {
	r.lock.Lock()
	defer r.lock.Unlock()
	v := r.versions
	v.recordKnown = true
	v.settled = maps.Clone(settled)
	for pool, version := range settled {
		if h := v.histories[pool]; h != nil && v.settledFor > 0 {
			h.Settle(version, v.settledFor)
			v.update(now, pool)
			delete(v.settled, pool)
		}
	}
}

// addVersions adds what is known of versions to an update for the peers, if one of them asks for it. The lock must be held.
func (r *Router) addVersions(now time.Time, update *PeerUpdate) {
	v := r.versions
	for _, h := range v.histories {
		update.SeeksVersions = update.SeeksVersions || !h.IsObserved(now, v.lifetime)
	}
	if v.historyRequestedAt.IsZero() || now.Sub(v.historyRequestedAt) > historyRequestTTL {
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(v.histories)) {
		if report, fresh := v.histories[pool].Report(now, pool); fresh {
			update.Versions = append(update.Versions, report)
		}
	}
}

// mergeVersions adds what a peer knows of versions. The lock must be held.
func (r *Router) mergeVersions(now time.Time, update PeerUpdate) {
	v := r.versions
	if update.SeeksVersions {
		v.historyRequestedAt = now
	}
	for _, report := range update.Versions {
		if h := v.histories[report.Pool]; h != nil {
			h.Merge(now, report)
			v.update(now, report.Pool)
		}
	}
}

// newVersions returns the versions at which the stream should not begin yet, or nil if it may not be taken up. The lock must be held.
func (e *exchange) newVersions(now time.Time) []hwplace.VersionHash {
	h := e.router.versions.histories[e.pool]
	if h == nil || e.version != 0 || !e.route.Streaming || !e.route.Resumable {
		return nil
	}
	return h.NewVersions(now)
}

// recordBegin records that the exchange has begun a stream that a client may take up. The lock must not be held.
func (e *exchange) recordBegin(now time.Time) {
	upstream := e.choice.Upstream
	e.version = upstream.VersionHash()
	e.origin = hwversion.Origin{
		Version:  e.version,
		Upstream: hwplace.HashID(upstream.ID),
		BeganAt:  now,
	}
	if e.version == 0 || !e.route.Resumable || e.info.ID == "" {
		return
	}
	r := e.router
	r.lock.Lock()
	defer r.lock.Unlock()
	v := r.versions
	v.lifetime = e.streamLifetime()
	// A client names the request that began the stream. One that names the latest request instead is understood as well.
	ids := []string{e.info.ID}
	if e.info.Resumes != "" {
		ids = append(ids, e.info.Resumes)
	}
	for _, id := range ids {
		v.begin(now, e.pool, hwversion.Stream{
			ID:     hwversion.HashRequest(e.account, id),
			Origin: e.origin,
		})
	}
}

// writeVersionMetrics writes the counters of streams that were taken up. The lock must be held.
func (r *Router) writeVersionMetrics(w *bytes.Buffer) {
	for _, outcome := range takeUpOutcomes {
		_, _ = fmt.Fprintf(w, "hickorywick_streams_taken_up_total{version=%q} %d\n", string(outcome), r.versions.takeUps[outcome])
	}
	_, _ = fmt.Fprintf(w, "hickorywick_streams_known %d\n", r.versions.memory.Len())
	for _, pool := range slices.Sorted(maps.Keys(r.versions.histories)) {
		_, _ = fmt.Fprintf(w, "hickorywick_pool_versions{pool=%q} %d\n", pool, r.versions.histories[pool].Versions())
	}
}
