package hwrouter

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwonce"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwslot"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// Limits and intervals for requests with an idempotency key. The number of partitions divided by the flush interval is the fleet's budget of store writes: 50 a second.
// The number of partitions must be the same in all instances, because it decides in which store value a key is recorded.
const (
	oncePartitions         = 4
	onceFlushInterval      = 80 * time.Millisecond
	onceMaxPageRecords     = 1200
	onceKeyRetention       = 10 * time.Minute
	onceStoreRetryDelay    = 500 * time.Millisecond
	onceCheckInterval      = 2 * time.Second
	onceTickInterval       = 5 * time.Millisecond
	maxCachedResponseBytes = 4 << 10
	maxCachedResponses     = 2000
	intendMaxAttempts      = 3
	intendRetryDelay       = 20 * time.Millisecond
	concludeMaxAttempts    = 3
)

func onceSettings() hwonce.Settings {
	return hwonce.Settings{
		KeyRetention:     onceKeyRetention,
		MinFlushInterval: onceFlushInterval,
		StoreRetryDelay:  onceStoreRetryDelay,
		CheckInterval:    onceCheckInterval,
		MaxPageRecords:   onceMaxPageRecords,
	}
}

// cachedResponse is a complete response that the partition owner keeps in memory, to replay it for requests with the same key.
type cachedResponse struct {
	body        []byte
	contentType string
}

// ownedPartition is the state of one partition of the idempotency records at the instance that owns it.
type ownedPartition struct {
	number int
	// storeWork holds the load, check or write that runPartition has to carry out next.
	storeWork chan hwonce.Effects
	// openCluster is the cluster of the store that the open page was last read from or written to. Only runPartition uses it.
	openCluster uint64

	lock      sync.Mutex
	partition *hwonce.Partition
	waiters   map[uint64]chan hwonce.Decision
	responses map[hwonce.KeyHash]cachedResponse
	// responseOrder lists the keys of responses, oldest first, for eviction.
	responseOrder []hwonce.KeyHash
}

// ownedPartitions are the partitions that this instance has owned since it started. A partition that another instance owns by now is harmless: its next write fails with a conflict.
type ownedPartitions struct {
	lock       sync.Mutex
	partitions map[int]*ownedPartition
}

// openPage is the name of a partition's open page; archived pages have their sequence numbers.
const openPage = "open"

func oncePageKey(environment string, partition int, page string) string {
	return "/hickorywick/environments/" + environment + "/once/" + strconv.Itoa(partition) + "/" + page
}

// partitionOwner returns the instance that owns a partition according to this instance's membership view.
func (r *Router) partitionOwner(partition int) string {
	return hwslot.RendezvousOwner("once/"+strconv.Itoa(partition), r.AliveInstances())
}

// KeyOwner returns the instance that records an account's idempotency key according to this instance's membership view.
func (r *Router) KeyOwner(account, key string) string {
	return r.partitionOwner(hwonce.HashKey(account, key).Partition(oncePartitions))
}

// ownedPartition returns the state of a partition. On first use it creates the state and starts the partition's goroutine.
func (r *Router) ownedPartition(number int) *ownedPartition {
	r.ownedPartitions.lock.Lock()
	defer r.ownedPartitions.lock.Unlock()
	if p, known := r.ownedPartitions.partitions[number]; known {
		return p
	}
	p := &ownedPartition{
		number:    number,
		storeWork: make(chan hwonce.Effects, 1),
		partition: hwonce.NewPartition(onceSettings()),
		waiters:   map[uint64]chan hwonce.Decision{},
		responses: map[hwonce.KeyHash]cachedResponse{},
	}
	r.ownedPartitions.partitions[number] = p
	r.startControlTask(func(ctx context.Context) error { return r.runPartition(ctx, p) })
	return p
}

// runPartition performs a partition's store reads and writes, one at a time.
func (r *Router) runPartition(ctx context.Context, p *ownedPartition) error {
	ticker := time.NewTicker(onceTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.apply(func() hwonce.Effects { return p.partition.Tick(time.Now()) })
		case effects := <-p.storeWork:
			r.runStoreWork(ctx, p, effects)
		}
	}
}

// apply runs a step of the state machine, delivers the resulting decisions to the waiting requests and queues the resulting store work.
func (p *ownedPartition) apply(step func() hwonce.Effects) {
	p.lock.Lock()
	defer p.lock.Unlock()
	effects := step()
	for _, d := range effects.Decisions {
		if waiter, waiting := p.waiters[d.AttemptID]; waiting {
			delete(p.waiters, d.AttemptID)
			waiter <- d
		}
	}
	if effects.Write != nil || effects.Load || effects.Check != nil {
		// The state machine has at most one operation in progress, so this never blocks.
		p.storeWork <- effects
	}
}

func (r *Router) runStoreWork(ctx context.Context, p *ownedPartition, effects hwonce.Effects) {
	if effects.Load {
		open, revision, archived, err := r.loadPages(ctx, p.number)
		p.apply(func() hwonce.Effects {
			if err != nil {
				return p.partition.StoreFailed(time.Now())
			}
			p.openCluster = revision.Cluster
			return p.partition.LoadSucceeded(time.Now(), open, revision.Number, archived)
		})
		return
	}
	if effects.Check != nil {
		value, err := r.store.Get(ctx, oncePageKey(r.settings.Environment, p.number, openPage))
		p.apply(func() hwonce.Effects {
			if err != nil {
				return p.partition.StoreFailed(time.Now())
			}
			unchanged := value.Revision.Number == effects.Check.ExpectedRevision && !value.Revision.IsOfOtherCluster(p.openCluster)
			return p.partition.RevisionChecked(time.Now(), unchanged)
		})
		return
	}
	written, err := r.writePage(ctx, p.number, p.openCluster, *effects.Write)
	var conflict *hwstore.ConflictError
	var ambiguous *hwstore.AmbiguousError
	if errors.As(err, &ambiguous) {
		r.logger.Emit(hwevent.StoreAmbiguous, hwevent.With("partition", p.number))
	}
	p.apply(func() hwonce.Effects {
		switch {
		case err == nil:
			p.openCluster = written.Cluster
			return p.partition.WriteSucceeded(time.Now(), written.Number)
		case errors.As(err, &conflict), errors.As(err, &ambiguous):
			return p.partition.WriteUnconfirmed(time.Now())
		default:
			return p.partition.StoreFailed(time.Now())
		}
	})
}

func (r *Router) loadPages(ctx context.Context, partition int) (hwonce.Page, hwstore.Revision, []hwonce.Page, error) {
	value, err := r.store.Get(ctx, oncePageKey(r.settings.Environment, partition, openPage))
	if err != nil {
		return hwonce.Page{}, hwstore.Revision{}, nil, trace.Wrap(err)
	}
	open, err := hwonce.DecodePage(value.Bytes)
	if err != nil {
		return hwonce.Page{}, hwstore.Revision{}, nil, trace.Wrap(err)
	}
	oldest := time.Now().Add(-onceKeyRetention)
	var archived []hwonce.Page
	for sequence := open.Sequence; sequence > 0; sequence-- {
		page, _, err := r.loadArchivedPage(ctx, partition, sequence-1)
		if err != nil {
			return hwonce.Page{}, hwstore.Revision{}, nil, trace.Wrap(err)
		}
		if page.LastRecordedAt().Before(oldest) {
			break
		}
		archived = append(archived, page)
	}
	return open, value.Revision, archived, nil
}

func (r *Router) loadArchivedPage(ctx context.Context, partition int, sequence uint64) (hwonce.Page, hwstore.Revision, error) {
	value, err := r.store.Get(ctx, oncePageKey(r.settings.Environment, partition, strconv.FormatUint(sequence, 10)))
	if err != nil {
		return hwonce.Page{}, hwstore.Revision{}, trace.Wrap(err)
	}
	page, err := hwonce.DecodePage(value.Bytes)
	return page, value.Revision, trace.Wrap(err)
}

// writePage replaces the open page. If a full page has to be archived, it is written first, merged with the stored one, so that an owner with an outdated view doesn't delete records.
func (r *Router) writePage(ctx context.Context, partition int, cluster uint64, write hwonce.PageWrite) (hwstore.Revision, error) {
	if write.Archive != nil {
		existing, revision, err := r.loadArchivedPage(ctx, partition, write.Archive.Sequence)
		if err != nil {
			return hwstore.Revision{}, trace.Wrap(err)
		}
		data, err := write.Archive.Union(existing.Records).Encode()
		if err != nil {
			return hwstore.Revision{}, trace.Wrap(err)
		}
		key := oncePageKey(r.settings.Environment, partition, strconv.FormatUint(write.Archive.Sequence, 10))
		if _, err := r.store.Put(ctx, key, data, revision, hwstore.NoLease); err != nil {
			return hwstore.Revision{}, trace.Wrap(err)
		}
		r.deleteExpiredPage(ctx, partition, write.Archive.Sequence)
	}
	data, err := write.Page.Encode()
	if err != nil {
		return hwstore.Revision{}, trace.Wrap(err)
	}
	expected := hwstore.Revision{
		Cluster: cluster,
		Number:  write.ExpectedRevision,
	}
	return r.store.Put(ctx, oncePageKey(r.settings.Environment, partition, openPage), data, expected, hwstore.NoLease)
}

// expiredPageDistance is how many pages before the newly archived page the one lies that is checked for expiry. Pages are archived one by one, so each old page is checked in turn.
const expiredPageDistance = 400

// deleteExpiredPage deletes an archived page whose records have all expired. If that fails, the page stays in the store, but is never read again.
func (r *Router) deleteExpiredPage(ctx context.Context, partition int, sequence uint64) {
	if sequence < expiredPageDistance {
		return
	}
	page, revision, err := r.loadArchivedPage(ctx, partition, sequence-expiredPageDistance)
	if err == nil && revision.Exists() && page.LastRecordedAt().Before(time.Now().Add(-2*onceKeyRetention)) {
		_ = r.store.Delete(ctx, oncePageKey(r.settings.Environment, partition, strconv.FormatUint(sequence-expiredPageDistance, 10)), revision)
	}
}

// decideLocally submits an intent to this instance's own state of the key's partition and waits for the decision. It fails if this instance is not the owner.
func (r *Router) decideLocally(ctx context.Context, intent hwonce.Intent) (hwonce.Decision, cachedResponse) {
	number := intent.Key.Partition(oncePartitions)
	if r.partitionOwner(number) != r.settings.Instance || r.store == nil {
		return hwonce.Decision{
			Verdict: hwonce.VerdictNotOwner,
		}, cachedResponse{}
	}
	p := r.ownedPartition(number)
	decided := make(chan hwonce.Decision, 1)
	p.apply(func() hwonce.Effects {
		p.waiters[intent.AttemptID] = decided
		return p.partition.SubmitIntent(time.Now(), intent)
	})
	select {
	case d := <-decided:
		p.lock.Lock()
		defer p.lock.Unlock()
		return d, p.responses[intent.Key]
	case <-ctx.Done():
		p.lock.Lock()
		defer p.lock.Unlock()
		delete(p.waiters, intent.AttemptID)
		return hwonce.Decision{
			Verdict: hwonce.VerdictUnavailable,
		}, cachedResponse{}
	}
}

// Intend handles a peer's request to run a keyed request, as the owner of the key's partition.
func (r *Router) Intend(ctx context.Context, in *hwpeerpb.IntendRequest) (*hwpeerpb.IntendReply, error) {
	decision, cached := r.decideLocally(ctx, hwonce.Intent{
		Key: hwonce.KeyHash{
			High: in.GetKeyHigh(),
			Low:  in.GetKeyLow(),
		},
		BodyHash:  in.GetBody(),
		AttemptID: in.GetAttempt(),
	})
	return &hwpeerpb.IntendReply{
		Verdict:     uint32(decision.Verdict),
		Outcome:     uint32(decision.Record.Outcome),
		Status:      uint32(decision.Record.StatusCode),
		Answer:      cached.body,
		ContentType: cached.contentType,
	}, nil
}

// Conclude records the outcome that a peer reports for a keyed request, as the owner of the key's partition.
func (r *Router) Conclude(_ context.Context, in *hwpeerpb.ConcludeRequest) (*hwpeerpb.ConcludeReply, error) {
	key := hwonce.KeyHash{
		High: in.GetKeyHigh(),
		Low:  in.GetKeyLow(),
	}
	if in.GetOutcome() > uint32(hwonce.OutcomeNotExecuted) {
		return nil, trace.BadParameter("unknown outcome %d", in.GetOutcome())
	}
	notOwner := !r.concludeLocally(key, in.GetAttempt(), hwonce.Outcome(in.GetOutcome()), int(in.GetStatus()), cachedResponse{
		body:        in.GetAnswer(),
		contentType: in.GetContentType(),
	})
	return &hwpeerpb.ConcludeReply{
		NotOwner: notOwner,
	}, nil
}

func (r *Router) concludeLocally(key hwonce.KeyHash, attempt uint64, outcome hwonce.Outcome, status int, cached cachedResponse) bool {
	number := key.Partition(oncePartitions)
	if r.partitionOwner(number) != r.settings.Instance {
		return false
	}
	p := r.ownedPartition(number)
	p.apply(func() hwonce.Effects {
		if outcome == hwonce.OutcomeExecuted && cached.body != nil {
			p.cacheResponse(key, cached)
		}
		return p.partition.RecordOutcome(time.Now(), key, attempt, outcome, status)
	})
	return true
}

// cacheResponse keeps a small response for replay and evicts the oldest one when there are too many. The caller holds the lock.
func (p *ownedPartition) cacheResponse(key hwonce.KeyHash, cached cachedResponse) {
	p.responses[key] = cached
	p.responseOrder = append(p.responseOrder, key)
	if len(p.responseOrder) > maxCachedResponses {
		delete(p.responses, p.responseOrder[0])
		p.responseOrder = p.responseOrder[1:]
	}
}
