package hwrouter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwslot"
	"github.com/hickorywick/hickorywick/lib/hwstore"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// storeWatchersPerZone is how many instances of an availability zone watch the store. The others get new documents from their peers.
const storeWatchersPerZone = 2

// storeWatcherCheckInterval is how often an instance checks whether it should watch the store.
const storeWatcherCheckInterval = time.Second

var storeBackoff = hwstore.Backoff{
	Initial: 100 * time.Millisecond,
	Max:     5 * time.Second,
}

// followDocument watches the environment's head, which names the latest document, while this instance is one of its zone's store watchers or has no document yet.
func (r *Router) followDocument(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.isStoreWatcher() && r.current.Load() != nil {
			hwtask.Sleep(ctx, storeWatcherCheckInterval)
			continue
		}
		watchContext, cancel := context.WithCancel(ctx)
		watcher := hwtask.Start(watchContext, r.watchHead)
		for watchContext.Err() == nil {
			hwtask.Sleep(watchContext, storeWatcherCheckInterval)
			if !r.isStoreWatcher() && r.current.Load() != nil {
				break
			}
		}
		cancel()
		if err := hwtask.Join(watcher); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// isStoreWatcher reports whether this instance is one of its zone's store watchers. They are chosen by rendezvous hashing over the zone's live instances.
func (r *Router) isStoreWatcher() bool {
	r.membersLock.Lock()
	defer r.membersLock.Unlock()
	var zone []string
	for _, name := range r.table.Alive() {
		if row, known := r.table.Lookup(name); known && row.Zone == r.settings.Zone {
			zone = append(zone, name)
		}
	}
	ranked := hwslot.RendezvousRank("watch/"+r.settings.Zone, zone)
	for _, name := range ranked[:min(len(ranked), storeWatchersPerZone)] {
		if name == r.settings.Instance {
			return true
		}
	}
	return false
}

func (r *Router) watchHead(ctx context.Context) error {
	reachable := true
	settings := hwstore.FollowSettings{
		Backoff:          storeBackoff,
		WatchIdleTimeout: r.settings.Timing.StoreRecheckInterval,
	}
	return hwstore.Follow(ctx, r.store, hwdocument.HeadKey(r.settings.Environment), settings,
		func(value hwstore.Value) {
			if !reachable {
				reachable = true
				r.logger.Emit(hwevent.StoreReachable)
			}
			r.applyHead(ctx, value)
		},
		func(err error) {
			if reachable {
				reachable = false
				r.logger.Emit(hwevent.StoreUnreachable, hwevent.With("error", err.Error()))
			}
			// While the store is unreachable, an instance without a document fetches it from a peer.
			r.fetchDocumentFromPeers(ctx)
		})
}

func (r *Router) applyHead(ctx context.Context, value hwstore.Value) {
	if len(value.Bytes) == 0 {
		return
	}
	var head hwdocument.Head
	if err := json.Unmarshal(value.Bytes, &head); err != nil {
		r.logger.Emit(hwevent.DocumentRefused, hwevent.With("error", err.Error()))
		return
	}
	if !r.shouldInstall(head.Identity()) {
		return
	}
	body, err := r.store.Get(ctx, hwdocument.BodyKey(head.Digest))
	if err != nil {
		r.logger.Emit(hwevent.StoreUnreachable, hwevent.With("error", err.Error()))
		return
	}
	r.InstallDocument(head.Identity(), body.Bytes)
}

// shouldInstall reports whether a version is newer than the current one. It logs an older or conflicting version.
func (r *Router) shouldInstall(offered hwdocument.Version) bool {
	current := r.documentIdentity()
	switch current.Compare(offered) {
	case hwdocument.VersionNewer:
		return true
	case hwdocument.VersionOlder:
		r.logger.Emit(hwevent.DocumentOlder,
			hwevent.With("version", offered.Number),
			hwevent.With("era", offered.Era),
			hwevent.With("in-force", current.Number),
			hwevent.With("in-force-era", current.Era))
	case hwdocument.VersionConflict:
		r.logger.Emit(hwevent.DocumentConflict,
			hwevent.With("version", offered.Number),
			hwevent.With("era", offered.Era),
			hwevent.With("digest", offered.Digest))
	case hwdocument.VersionSame:
	}
	return false
}

// InstallDocument makes a document the current one if it is newer, matches its digest and is valid, and reports whether it did. An invalid document never replaces a valid one.
func (r *Router) InstallDocument(version hwdocument.Version, body []byte) bool {
	if hwdocument.Digest(body) != version.Digest {
		r.logger.Emit(hwevent.DocumentRefused, hwevent.With("version", version.Number), hwevent.With("error", "the document body does not match its digest"))
		return false
	}
	document, err := hwdocument.Decode(body)
	if err != nil {
		r.logger.Emit(hwevent.DocumentRefused, hwevent.With("version", version.Number), hwevent.With("error", err.Error()))
		return false
	}
	r.poolsLock.Lock()
	defer r.poolsLock.Unlock()
	if !r.shouldInstall(version) {
		return false
	}
	r.current.Store(&installedDocument{
		Version:  version,
		Body:     body,
		Document: document,
	})
	r.applyDocument(document)
	r.logger.Emit(hwevent.DocumentInForce, hwevent.With("version", version.Number), hwevent.With("era", version.Era), hwevent.With("digest", version.Digest))
	r.metrics.documentVersion.Set(int64(version.Number))
	select {
	case r.documentInstalled <- struct{}{}:
	default:
	}
	return true
}

// applyDocument creates, reconfigures and removes pools and brokers to match a new document. The caller holds poolsLock.
func (r *Router) applyDocument(document *hwdocument.Document) {
	r.objectiveMeters.setDocument(document)
	r.upstreams.SetUpstreams(upstreamAddresses(document))
	members := r.members()
	for _, spec := range document.Pools {
		if p, known := r.pools[spec.Name]; known {
			p.setDocument(document, spec)
			continue
		}
		ctx, stop := context.WithCancel(r.runContext)
		p := newPool(time.Now(), r.settings, document, spec, members)
		p.stop = stop
		r.pools[spec.Name] = p
		r.startControlTask(func(context.Context) error { return r.tickPool(ctx, p) })
		if r.settings.Coordination != CoordinationLocal {
			r.startControlTask(func(context.Context) error { return r.reportPool(ctx, p) })
		}
	}
	for name, p := range r.pools {
		spec, known := document.Pool(name)
		if !known {
			// Requests in flight finish on the removed pool; it gets no new ones.
			p.stop()
			r.usage.retire(p)
			delete(r.pools, name)
			delete(r.brokers, name)
			continue
		}
		if h := r.brokers[name]; h != nil {
			h.lock.Lock()
			configureBroker(h.broker, document, spec)
			h.lock.Unlock()
		}
	}
}

// upstreamAddresses returns the addresses of the upstreams of all pools.
func upstreamAddresses(document *hwdocument.Document) []string {
	var addresses []string
	for _, spec := range document.Pools {
		for _, upstream := range spec.Upstreams {
			addresses = append(addresses, upstream.Address)
		}
	}
	return addresses
}

// fetchDocumentFromPeers asks the peers one after another for a newer document, until one has been installed.
func (r *Router) fetchDocumentFromPeers(ctx context.Context) {
	for _, row := range r.otherInstances() {
		if r.fetchDocument(ctx, row.Address) {
			return
		}
	}
}

// fetchDocument requests a document newer than the current one from a peer and installs it. The peer sends only the chunks that this instance lacks.
func (r *Router) fetchDocument(ctx context.Context, address string) bool {
	version := r.documentIdentity()
	var localChunks []hwdocument.Chunk
	if current := r.current.Load(); current != nil {
		localChunks = hwdocument.SplitChunks(current.Body)
	}
	reply, err := r.peers.Document(ctx, address, &hwpeerpb.DocumentRequest{
		AboveVersion: version.Number,
		AboveEra:     version.Era,
		Chunks:       hwdocument.ChunkDigests(localChunks),
	})
	if err != nil {
		return false
	}
	offered := hwdocument.Version{
		Era:    reply.GetEra(),
		Number: reply.GetVersion(),
		Digest: reply.GetDigest(),
	}
	if version.Compare(offered) != hwdocument.VersionNewer {
		return false
	}
	var receivedChunks []hwdocument.Chunk
	for _, data := range reply.GetMissing() {
		receivedChunks = append(receivedChunks, hwdocument.SplitChunks(data)...)
	}
	body, complete := hwdocument.AssembleChunks(reply.GetOrder(), localChunks, receivedChunks)
	if !complete {
		return false
	}
	return r.InstallDocument(offered, body)
}
