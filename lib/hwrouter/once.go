package hwrouter

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwtask"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwerror"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwintake"
	"github.com/hickorywick/hickorywick/lib/hwonce"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwslot"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// The sizes of keyed requests' records. The number of partitions over the flush interval is the fleet's budget of store writes, 50 a second.
// It must be the same in all instances, because it decides in which store value a key is recorded.
const (
	oncePartitions   = 4
	onceFlushEvery   = 80 * time.Millisecond
	oncePageRecords  = 1200
	onceWindow       = 10 * time.Minute
	onceAwayFor      = 500 * time.Millisecond
	onceTickEvery    = 5 * time.Millisecond
	largestKept      = 4 << 10
	keptAnswers      = 2000
	intendAttempts   = 3
	intendPause      = 20 * time.Millisecond
	concludeAttempts = 3
)

func onceSettings() hwonce.Settings {
	return hwonce.Settings{
		KeyRetention:     onceWindow,
		MinFlushInterval: onceFlushEvery,
		StoreRetryDelay:  onceAwayFor,
		MaxPageRecords:   oncePageRecords,
	}
}

// keptAnswer is a whole answer that the owner keeps in memory for repeats.
type keptAnswer struct {
	body        []byte
	contentType string
}

// ownedPartition is the shared table of one partition at its owner.
type ownedPartition struct {
	number int
	work   chan hwonce.Effects

	lock      sync.Mutex
	partition *hwonce.Partition
	waiters   map[uint64]chan hwonce.Decision
	answers   map[hwonce.KeyHash]keptAnswer
	order     []hwonce.KeyHash
}

// owners are the partitions that this instance has owned since it started. One that it owns no more does no harm: its next write meets a conflict.
type owners struct {
	lock       sync.Mutex
	partitions map[int]*ownedPartition
}

func onceKey(environment string, partition int, page string) string {
	return "/hickorywick/environments/" + environment + "/once/" + strconv.Itoa(partition) + "/" + page
}

// ownerOf returns the instance that owns a partition in this instance's view.
func (r *Router) ownerOf(partition int) string {
	return hwslot.RendezvousOwner("once/"+strconv.Itoa(partition), r.AliveInstances())
}

// KeyOwner returns the instance that records an account's key in this instance's view.
func (r *Router) KeyOwner(account, key string) string {
	return r.ownerOf(hwonce.HashKey(account, key).Partition(oncePartitions))
}

// owned returns the table of a partition and starts its goroutine on first use.
func (r *Router) owned(number int) *ownedPartition {
	r.owners.lock.Lock()
	defer r.owners.lock.Unlock()
	if p, known := r.owners.partitions[number]; known {
		return p
	}
	p := &ownedPartition{
		number:    number,
		work:      make(chan hwonce.Effects, 1),
		partition: hwonce.NewPartition(onceSettings()),
		waiters:   map[uint64]chan hwonce.Decision{},
		answers:   map[hwonce.KeyHash]keptAnswer{},
	}
	r.owners.partitions[number] = p
	r.own(func(ctx context.Context) error { return r.runPartition(ctx, p) })
	return p
}

// runPartition carries out a partition's reads and writes, one at a time.
func (r *Router) runPartition(ctx context.Context, p *ownedPartition) error {
	ticker := time.NewTicker(onceTickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.change(func() hwonce.Effects { return p.partition.Tick(time.Now()) })
		case effects := <-p.work:
			r.carryOut(ctx, p, effects)
		}
	}
}

// change applies a step of the state machine, hands out its decisions and queues its work.
func (p *ownedPartition) change(step func() hwonce.Effects) {
	p.lock.Lock()
	defer p.lock.Unlock()
	effects := step()
	for _, d := range effects.Decisions {
		if waiter, waiting := p.waiters[d.AttemptID]; waiting {
			delete(p.waiters, d.AttemptID)
			waiter <- d
		}
	}
	if effects.Write != nil || effects.Load {
		// The state machine has one piece of work under way at most, so there is room.
		p.work <- effects
	}
}

func (r *Router) carryOut(ctx context.Context, p *ownedPartition, effects hwonce.Effects) {
	if effects.Load {
		open, revision, archived, err := r.loadPages(ctx, p.number)
		p.change(func() hwonce.Effects {
			if err != nil {
				return p.partition.StoreFailed(time.Now())
			}
			return p.partition.LoadSucceeded(time.Now(), open, revision, archived)
		})
		return
	}
	revision, err := r.writePage(ctx, p.number, *effects.Write)
	var conflict *hwstore.ConflictError
	var ambiguous *hwstore.AmbiguousError
	if errors.As(err, &ambiguous) {
		r.logger.Emit(hwevent.StoreAmbiguous, hwevent.With("partition", p.number))
	}
	p.change(func() hwonce.Effects {
		switch {
		case err == nil:
			return p.partition.WriteSucceeded(time.Now(), revision)
		case errors.As(err, &conflict), errors.As(err, &ambiguous):
			return p.partition.WriteUnconfirmed(time.Now())
		default:
			return p.partition.StoreFailed(time.Now())
		}
	})
}

func (r *Router) loadPages(ctx context.Context, partition int) (hwonce.Page, int64, []hwonce.Page, error) {
	value, err := r.store.Get(ctx, onceKey(r.settings.Environment, partition, "open"))
	if err != nil {
		return hwonce.Page{}, 0, nil, trace.Wrap(err)
	}
	open, err := hwonce.DecodePage(value.Bytes)
	if err != nil {
		return hwonce.Page{}, 0, nil, trace.Wrap(err)
	}
	oldest := time.Now().Add(-onceWindow)
	var archived []hwonce.Page
	for sequence := open.Sequence; sequence > 0; sequence-- {
		page, _, err := r.archivedPage(ctx, partition, sequence-1)
		if err != nil {
			return hwonce.Page{}, 0, nil, trace.Wrap(err)
		}
		if page.LastRecordedAt().Before(oldest) {
			break
		}
		archived = append(archived, page)
	}
	return open, value.Revision, archived, nil
}

func (r *Router) archivedPage(ctx context.Context, partition int, sequence uint64) (hwonce.Page, int64, error) {
	value, err := r.store.Get(ctx, onceKey(r.settings.Environment, partition, strconv.FormatUint(sequence, 10)))
	if err != nil {
		return hwonce.Page{}, 0, trace.Wrap(err)
	}
	page, err := hwonce.DecodePage(value.Bytes)
	return page, value.Revision, trace.Wrap(err)
}

// writePage archives the full page first, as a union with what is there, so that an owner with an older view takes nothing away.
func (r *Router) writePage(ctx context.Context, partition int, write hwonce.PageWrite) (int64, error) {
	if write.Archive != nil {
		there, revision, err := r.archivedPage(ctx, partition, write.Archive.Sequence)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		data, err := write.Archive.Union(there.Records).Encode()
		if err != nil {
			return 0, trace.Wrap(err)
		}
		key := onceKey(r.settings.Environment, partition, strconv.FormatUint(write.Archive.Sequence, 10))
		if _, err := r.store.Put(ctx, key, data, revision, hwstore.NoLease); err != nil {
			return 0, trace.Wrap(err)
		}
		r.dropOldPage(ctx, partition, write.Archive.Sequence)
	}
	data, err := write.Page.Encode()
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return r.store.Put(ctx, onceKey(r.settings.Environment, partition, "open"), data, write.ExpectedRevision, hwstore.NoLease)
}

// dropBehind is how many pages behind the archived one are looked at; pages are written one by one, so old ones are found in turn.
const dropBehind = 400

// dropOldPage deletes one page that lies wholly behind the window. A failure leaves it for the next owner to overlook: it is never read again.
func (r *Router) dropOldPage(ctx context.Context, partition int, sequence uint64) {
	if sequence < dropBehind {
		return
	}
	page, revision, err := r.archivedPage(ctx, partition, sequence-dropBehind)
	if err == nil && revision > 0 && page.LastRecordedAt().Before(time.Now().Add(-2*onceWindow)) {
		_ = r.store.Delete(ctx, onceKey(r.settings.Environment, partition, strconv.FormatUint(sequence-dropBehind, 10)), revision)
	}
}

// decideHere asks this instance as the owner of the key's partition.
func (r *Router) decideHere(ctx context.Context, intent hwonce.Intent) (hwonce.Decision, keptAnswer) {
	number := intent.Key.Partition(oncePartitions)
	if r.ownerOf(number) != r.settings.Instance || r.store == nil {
		return hwonce.Decision{
			Verdict: hwonce.VerdictNotOwner,
		}, keptAnswer{}
	}
	p := r.owned(number)
	told := make(chan hwonce.Decision, 1)
	p.change(func() hwonce.Effects {
		p.waiters[intent.AttemptID] = told
		return p.partition.SubmitIntent(time.Now(), intent)
	})
	select {
	case d := <-told:
		p.lock.Lock()
		defer p.lock.Unlock()
		return d, p.answers[intent.Key]
	case <-ctx.Done():
		p.lock.Lock()
		defer p.lock.Unlock()
		delete(p.waiters, intent.AttemptID)
		return hwonce.Decision{
			Verdict: hwonce.VerdictUnavailable,
		}, keptAnswer{}
	}
}

// Intend answers a peer as the owner of a key's partition.
func (r *Router) Intend(ctx context.Context, in *hwpeerpb.IntendRequest) (*hwpeerpb.IntendReply, error) {
	decision, kept := r.decideHere(ctx, hwonce.Intent{
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
		Answer:      kept.body,
		ContentType: kept.contentType,
	}, nil
}

// Conclude records an outcome as the owner of a key's partition.
func (r *Router) Conclude(_ context.Context, in *hwpeerpb.ConcludeRequest) (*hwpeerpb.ConcludeReply, error) {
	key := hwonce.KeyHash{
		High: in.GetKeyHigh(),
		Low:  in.GetKeyLow(),
	}
	if in.GetOutcome() > uint32(hwonce.OutcomeNotExecuted) {
		return nil, trace.BadParameter("unknown outcome %d", in.GetOutcome())
	}
	notOwner := !r.concludeHere(key, in.GetAttempt(), hwonce.Outcome(in.GetOutcome()), int(in.GetStatus()), keptAnswer{
		body:        in.GetAnswer(),
		contentType: in.GetContentType(),
	})
	return &hwpeerpb.ConcludeReply{
		NotOwner: notOwner,
	}, nil
}

func (r *Router) concludeHere(key hwonce.KeyHash, attempt uint64, outcome hwonce.Outcome, status int, kept keptAnswer) bool {
	number := key.Partition(oncePartitions)
	if r.ownerOf(number) != r.settings.Instance {
		return false
	}
	p := r.owned(number)
	p.change(func() hwonce.Effects {
		if outcome == hwonce.OutcomeExecuted && kept.body != nil {
			p.keep(key, kept)
		}
		return p.partition.RecordOutcome(time.Now(), key, attempt, outcome, status)
	})
	return true
}

// keep remembers a small answer for repeats, and forgets the oldest when there are too many. The lock is held.
func (p *ownedPartition) keep(key hwonce.KeyHash, kept keptAnswer) {
	p.answers[key] = kept
	p.order = append(p.order, key)
	if len(p.order) > keptAnswers {
		delete(p.answers, p.order[0])
		p.order = p.order[1:]
	}
}

// intention is a keyed request's way through the record.
type intention struct {
	router  *Router
	key     hwonce.KeyHash
	body    uint64
	attempt uint64
}

func (r *Router) intention(call *hwintake.Call) *intention {
	return &intention{
		router:  r,
		key:     hwonce.HashKey(call.Account.Name, call.IdempotencyKey),
		body:    call.BodyHash,
		attempt: rand.Uint64(),
	}
}

// begin asks the owner whether the request may run. The same attempt asks again when an answer is lost, which is safe.
func (i *intention) begin(ctx context.Context) (hwonce.Decision, keptAnswer) {
	for n := range intendAttempts {
		if n > 0 {
			hwtask.Sleep(ctx, intendPause)
		}
		decision, kept, err := i.ask(ctx)
		if err == nil && decision.Verdict != hwonce.VerdictNotOwner {
			return decision, kept
		}
	}
	return hwonce.Decision{
		Verdict: hwonce.VerdictUnavailable,
	}, keptAnswer{}
}

func (i *intention) ask(ctx context.Context) (hwonce.Decision, keptAnswer, error) {
	r := i.router
	owner := r.ownerOf(i.key.Partition(oncePartitions))
	if owner == r.settings.Instance {
		decision, kept := r.decideHere(ctx, hwonce.Intent{
			Key:       i.key,
			BodyHash:  i.body,
			AttemptID: i.attempt,
		})
		return decision, kept, nil
	}
	row, known := r.lookup(owner)
	if !known {
		return hwonce.Decision{}, keptAnswer{}, trace.NotFound("partition has no owner")
	}
	reply, err := r.peers.Intend(ctx, row.Address, &hwpeerpb.IntendRequest{
		KeyHigh: i.key.High,
		KeyLow:  i.key.Low,
		Body:    i.body,
		Attempt: i.attempt,
	})
	if err != nil {
		r.doubt(ctx, owner)
		return hwonce.Decision{}, keptAnswer{}, trace.Wrap(err)
	}
	if reply.GetVerdict() > uint32(hwonce.VerdictNotOwner) || reply.GetOutcome() > uint32(hwonce.OutcomeNotExecuted) {
		return hwonce.Decision{}, keptAnswer{}, trace.BadParameter("the owner's answer cannot be read")
	}
	decision := hwonce.Decision{
		Verdict: hwonce.Verdict(reply.GetVerdict()),
		Record: hwonce.Record{
			Outcome:    hwonce.Outcome(reply.GetOutcome()),
			StatusCode: int(reply.GetStatus()),
		},
	}
	answer := keptAnswer{
		body:        reply.GetAnswer(),
		contentType: reply.GetContentType(),
	}
	return decision, answer, nil
}

// end tells the owner how the request ended, beside the caller's way, because the record follows lazily.
func (i *intention) end(outcome hwonce.Outcome, status int, kept keptAnswer) {
	if len(kept.body) > largestKept {
		kept = keptAnswer{}
	}
	i.router.background.start(func(ctx context.Context) {
		for n := range concludeAttempts {
			if n > 0 {
				hwtask.Sleep(ctx, intendPause)
			}
			if i.conclude(ctx, outcome, status, kept) {
				return
			}
		}
		i.router.logger.Emit(hwevent.OutcomeNotRecorded, hwevent.With("outcome", outcome.String()))
	})
}

func (i *intention) conclude(ctx context.Context, outcome hwonce.Outcome, status int, kept keptAnswer) bool {
	r := i.router
	owner := r.ownerOf(i.key.Partition(oncePartitions))
	if owner == r.settings.Instance {
		return r.concludeHere(i.key, i.attempt, outcome, status, kept)
	}
	row, known := r.lookup(owner)
	if !known {
		return false
	}
	reply, err := r.peers.Conclude(ctx, row.Address, &hwpeerpb.ConcludeRequest{
		KeyHigh:     i.key.High,
		KeyLow:      i.key.Low,
		Attempt:     i.attempt,
		Outcome:     uint32(outcome),
		Status:      uint32(status),
		Answer:      kept.body,
		ContentType: kept.contentType,
	})
	return err == nil && !reply.GetNotOwner()
}

// repeated answers a request whose key was used before.
func repeated(writer http.ResponseWriter, decision hwonce.Decision, kept keptAnswer) *hwerror.RequestError {
	switch decision.Verdict {
	case hwonce.VerdictKeyReused:
		return hwerror.NewRejection(hwerror.KindIdempotencyKeyReused, hwevent.RequestRefused.Number, "the idempotency key was used before with another body")
	case hwonce.VerdictUnavailable, hwonce.VerdictNotOwner:
		refusal := hwerror.NewRejection(hwerror.KindStoreUnavailable, hwevent.RequestRefused.Number, "the request cannot be recorded now, so it was not run")
		return refusal.WithRetryAfter(time.Second)
	case hwonce.VerdictDuplicate, hwonce.VerdictRun:
	}
	switch {
	case decision.Record.Outcome == hwonce.OutcomeExecuted && kept.body != nil:
		writeKept(writer, decision.Record.StatusCode, kept)
		return nil
	case decision.Record.Outcome == hwonce.OutcomeExecuted:
		message := "the request with this key ran and was answered with status " + strconv.Itoa(decision.Record.StatusCode) + "; the answer is not kept any more"
		return hwerror.NewFailure(hwerror.KindOutcomeKnown, hwerror.ExecutionRan, hwevent.RequestFinished.Number, message, nil)
	case decision.Record.Outcome == hwonce.OutcomeRunning:
		refusal := hwerror.NewFailure(hwerror.KindIdempotencyKeyInUse, hwerror.ExecutionUnknown, hwevent.OutcomeUnknown.Number, "the request with this key was begun and has no recorded end", nil)
		return refusal.WithRetryAfter(time.Second)
	default:
		return hwerror.NewFailure(hwerror.KindOutcomeUnknown, hwerror.ExecutionUnknown, hwevent.OutcomeUnknown.Number, "it is not known whether the request with this key ran", nil)
	}
}

// ReplayHeader marks an answer that was given before.
const ReplayHeader = "Idempotency-Replayed"

func writeKept(writer http.ResponseWriter, status int, kept keptAnswer) {
	if kept.contentType != "" {
		writer.Header().Set("Content-Type", kept.contentType)
	}
	writer.Header().Set(ReplayHeader, "true")
	writer.Header().Set(hwintake.ExecutionHeader, string(hwerror.ExecutionRan))
	writer.Header().Set("Content-Length", strconv.Itoa(len(kept.body)))
	writer.WriteHeader(status)
	// A caller that is gone can ask again.
	_, _ = writer.Write(kept.body)
}
