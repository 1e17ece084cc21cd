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

// watchersPerZone is how many instances of a zone watch the store; the others learn from them.
const watchersPerZone = 2

// watchCheck is how often an instance looks whether it should watch the store.
const watchCheck = time.Second

var storeBackoff = hwstore.Backoff{
	Initial: 100 * time.Millisecond,
	Max:     5 * time.Second,
}

// followDocument watches the head of the environment while this instance is one of its zone's watchers.
func (r *Router) followDocument(ctx context.Context) error {
	for ctx.Err() == nil {
		if !r.watches() && r.inForce.Load() != nil {
			hwtask.Sleep(ctx, watchCheck)
			continue
		}
		watch, cancel := context.WithCancel(ctx)
		follow := hwtask.Start(watch, r.watchHead)
		for watch.Err() == nil {
			hwtask.Sleep(watch, watchCheck)
			if !r.watches() && r.inForce.Load() != nil {
				break
			}
		}
		cancel()
		if err := hwtask.Join(follow); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// watches reports whether this instance is among its zone's watchers.
func (r *Router) watches() bool {
	r.membersLock.Lock()
	defer r.membersLock.Unlock()
	var zone []string
	for _, name := range r.table.Alive() {
		if row, known := r.table.Lookup(name); known && row.Zone == r.settings.Zone {
			zone = append(zone, name)
		}
	}
	ranked := hwslot.RendezvousRank("watch/"+r.settings.Zone, zone)
	for _, name := range ranked[:min(len(ranked), watchersPerZone)] {
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
			r.takeHead(ctx, value)
		},
		func(err error) {
			if reachable {
				reachable = false
				r.logger.Emit(hwevent.StoreUnreachable, hwevent.With("error", err.Error()))
			}
			// While the store is away a cold instance asks its peers.
			r.askPeers(ctx)
		})
}

func (r *Router) takeHead(ctx context.Context, value hwstore.Value) {
	if len(value.Bytes) == 0 {
		return
	}
	var head hwdocument.Head
	if err := json.Unmarshal(value.Bytes, &head); err != nil {
		r.logger.Emit(hwevent.DocumentRefused, hwevent.With("error", err.Error()))
		return
	}
	if !r.offered(head.Version, head.Digest) {
		return
	}
	body, err := r.store.Get(ctx, hwdocument.BodyKey(head.Digest))
	if err != nil {
		r.logger.Emit(hwevent.StoreUnreachable, hwevent.With("error", err.Error()))
		return
	}
	r.InstallDocument(head.Version, head.Digest, body.Bytes)
}

// offered logs and reports whether a version should be adopted.
func (r *Router) offered(number uint64, digest string) bool {
	inForce, digestInForce := r.DocumentVersion()
	switch hwdocument.CompareVersions(inForce, digestInForce, number, digest) {
	case hwdocument.VersionNewer:
		return true
	case hwdocument.VersionOlder:
		r.logger.Emit(hwevent.DocumentOlder, hwevent.With("version", number), hwevent.With("in-force", inForce))
	case hwdocument.VersionConflict:
		r.logger.Emit(hwevent.DocumentConflict, hwevent.With("version", number), hwevent.With("digest", digest))
	case hwdocument.VersionSame:
	}
	return false
}

// InstallDocument puts a document in force if it is newer, whole and valid. A bad document never replaces a good one.
func (r *Router) InstallDocument(number uint64, digest string, body []byte) bool {
	if hwdocument.Digest(body) != digest {
		r.logger.Emit(hwevent.DocumentRefused, hwevent.With("version", number), hwevent.With("error", "the body does not match its digest"))
		return false
	}
	document, err := hwdocument.Decode(body)
	if err != nil {
		r.logger.Emit(hwevent.DocumentRefused, hwevent.With("version", number), hwevent.With("error", err.Error()))
		return false
	}
	r.poolsLock.Lock()
	defer r.poolsLock.Unlock()
	if !r.offered(number, digest) {
		return false
	}
	r.inForce.Store(&version{
		Number:   number,
		Digest:   digest,
		Body:     body,
		Document: document,
	})
	r.configure(document)
	r.logger.Emit(hwevent.DocumentInForce, hwevent.With("version", number), hwevent.With("digest", digest))
	r.metrics.documentVersion.Set(int64(number))
	select {
	case r.installed <- struct{}{}:
	default:
	}
	return true
}

// configure brings pools and brokers in line with a new document. The pools' lock is held.
func (r *Router) configure(document *hwdocument.Document) {
	r.objectives.setDocument(time.Now(), document)
	members := r.members()
	for _, spec := range document.Pools {
		if p, known := r.pools[spec.Name]; known {
			p.setDocument(document, spec)
			continue
		}
		ctx, stop := context.WithCancel(r.running)
		p := newPool(time.Now(), r.settings, document, spec, members)
		p.stop = stop
		r.pools[spec.Name] = p
		r.own(func(context.Context) error { return r.tickPool(ctx, p) })
		if r.settings.Coordination != CoordinationLocal {
			r.own(func(context.Context) error { return r.reportPool(ctx, p) })
		}
	}
	for name, p := range r.pools {
		spec, known := document.Pool(name)
		if !known {
			// Requests in flight end on the pool they hold; nothing new reaches it.
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

// askPeers fetches a newer document from the peers, one after the other, until one gives it.
func (r *Router) askPeers(ctx context.Context) {
	for _, row := range r.others() {
		if r.fetchFrom(ctx, row.Address) {
			return
		}
	}
}

// fetchFrom asks a peer for a document above the one in force. Only the chunks that this instance lacks are sent.
func (r *Router) fetchFrom(ctx context.Context, address string) bool {
	inForce, _ := r.DocumentVersion()
	var atHand []hwdocument.Chunk
	if current := r.inForce.Load(); current != nil {
		atHand = hwdocument.SplitChunks(current.Body)
	}
	reply, err := r.peers.Document(ctx, address, &hwpeerpb.DocumentRequest{
		AboveVersion: inForce,
		Chunks:       hwdocument.ChunkDigests(atHand),
	})
	if err != nil || reply.GetVersion() <= inForce {
		return false
	}
	var sent []hwdocument.Chunk
	for _, piece := range reply.GetMissing() {
		sent = append(sent, hwdocument.SplitChunks(piece)...)
	}
	body, whole := hwdocument.AssembleChunks(reply.GetOrder(), atHand, sent)
	if !whole {
		return false
	}
	return r.InstallDocument(reply.GetVersion(), reply.GetDigest(), body)
}
