package hwonce

import (
	"slices"
	"time"
)

// Settings are the time and size limits of a partition.
type Settings struct {
	// KeyRetention is how long the record of a key is kept.
	KeyRetention time.Duration
	// MinFlushInterval is the minimum time between two writes. Together with the number of partitions, it limits the write rate of the whole fleet.
	MinFlushInterval time.Duration
	// StoreRetryDelay is how long intents are refused without a store access after the store failed.
	StoreRetryDelay time.Duration
	// CheckInterval is the time without a store operation after which the owner of records checks that the open page is still the one that it knows, because a store that is restored from a copy lacks the newest records. 0 means never.
	CheckInterval time.Duration
	// MaxPageRecords is how many records the open page holds before it is archived. It keeps the page far below the store's maximum value size.
	MaxPageRecords int
}

// Intent is a request for permission to run a keyed request. AttemptID is unique to the attempt; an intent whose reply was lost may be submitted again with the same AttemptID.
type Intent struct {
	Key       KeyHash
	BodyHash  uint64
	AttemptID uint64
}

// Verdict is the answer to an intent.
type Verdict uint8

const (
	// VerdictRun means that the intent is recorded and that this attempt alone may send the request to an upstream.
	VerdictRun Verdict = iota
	// VerdictDuplicate means that the key was already used; the record holds the outcome.
	VerdictDuplicate
	// VerdictKeyReused means that the key was already used with a different body.
	VerdictKeyReused
	// VerdictUnavailable means that the store could not record the intent, so the request must not run now.
	VerdictUnavailable
	// VerdictNotOwner means that another instance owns the partition.
	VerdictNotOwner
)

// Decision is the verdict for one intent.
type Decision struct {
	AttemptID uint64
	Verdict   Verdict
	Record    Record
}

// PageWrite instructs the caller to replace the open page in the store by compare-and-swap. If Archive is set, it has to be merged into the archived page of its sequence number first.
type PageWrite struct {
	Page             Page
	ExpectedRevision int64
	Archive          *Page
}

// RevisionCheck instructs the caller to compare the revision of the open page in the store with the expected one.
type RevisionCheck struct {
	ExpectedRevision int64
}

// Effects are the actions that the caller has to carry out.
type Effects struct {
	Decisions []Decision
	Write     *PageWrite
	// Load instructs the caller to read the open page and the archived pages within KeyRetention.
	Load bool
	// Check instructs the caller to call RevisionChecked with the result.
	Check *RevisionCheck
}

// Partition is the state of one partition at its owner. It is a state machine without I/O, with at most one store operation in progress.
type Partition struct {
	settings     Settings
	records      map[KeyHash]Record
	openPage     Page
	openRevision int64
	loaded       bool
	storeBusy    bool
	// writingIntents are in the write in progress; pendingIntents wait for the next one.
	writingIntents []Intent
	pendingIntents []Intent
	// unsavedOutcomes are the keys whose outcome is not in the store, or whose record it has lost.
	unsavedOutcomes map[KeyHash]bool
	// refusedAttempts are attempts whose callers were refused although the intent may have reached the store, with the time of the refusal.
	refusedAttempts map[uint64]time.Time
	// inFlightWrite is the write in progress.
	inFlightWrite *PageWrite
	lastWriteAt   time.Time
	// lastStoreAt is when the last store operation ended.
	lastStoreAt  time.Time
	lastPruneAt  time.Time
	retryStoreAt time.Time
}

// NewPartition returns a partition that loads its records from the store before it decides on the first intent.
func NewPartition(settings Settings) *Partition {
	return &Partition{
		settings:        settings,
		records:         map[KeyHash]Record{},
		unsavedOutcomes: map[KeyHash]bool{},
		refusedAttempts: map[uint64]time.Time{},
	}
}

// SubmitIntent submits an intent. The decision is in the returned effects or in those of a later call.
func (p *Partition) SubmitIntent(now time.Time, intent Intent) Effects {
	// A known record remains valid while the store is unavailable; only the absence of a record has to be confirmed by the store.
	if decision, decided := p.decide(now, intent); decided {
		return Effects{
			Decisions: []Decision{decision},
		}
	}
	if now.Before(p.retryStoreAt) {
		return Effects{
			Decisions: []Decision{unavailableDecision(intent)},
		}
	}
	p.pendingIntents = append(p.pendingIntents, intent)
	return p.nextOperation(now)
}

// decide decides on an intent from the known records, and reports false if they do not suffice.
func (p *Partition) decide(now time.Time, intent Intent) (Decision, bool) {
	record, known := p.records[intent.Key]
	if !known || now.Sub(record.RecordedAt) > p.settings.KeyRetention || record.Outcome == OutcomeNotExecuted {
		return Decision{}, false
	}
	decision := Decision{
		AttemptID: intent.AttemptID,
		Verdict:   VerdictDuplicate,
		Record:    record,
	}
	switch {
	case record.AttemptID == intent.AttemptID && record.Outcome == OutcomeRunning:
		if p.isBeingWritten(intent) {
			return Decision{}, false
		}
		decision.Verdict = VerdictRun
	case record.BodyHash != intent.BodyHash:
		decision.Verdict = VerdictKeyReused
	}
	return decision, true
}

func unavailableDecision(intent Intent) Decision {
	return Decision{
		AttemptID: intent.AttemptID,
		Verdict:   VerdictUnavailable,
	}
}

func (p *Partition) isBeingWritten(intent Intent) bool {
	for _, w := range p.writingIntents {
		if w.AttemptID == intent.AttemptID {
			return true
		}
	}
	return false
}

// RecordOutcome records the outcome of an attempt. A later write stores it.
func (p *Partition) RecordOutcome(now time.Time, key KeyHash, attemptID uint64, outcome Outcome, statusCode int) Effects {
	record, known := p.records[key]
	if !known || record.AttemptID != attemptID {
		if outcome == OutcomeNotExecuted {
			// The caller gave up before its intent was recorded.
			p.refusedAttempts[attemptID] = now
			p.pendingIntents = slices.DeleteFunc(p.pendingIntents, func(i Intent) bool { return i.AttemptID == attemptID })
		}
		return Effects{}
	}
	record.Outcome = outcome
	record.StatusCode = statusCode
	p.records[key] = record
	p.unsavedOutcomes[key] = true
	return p.nextOperation(now)
}

// prunesPerRetention is how many times expired records are removed per KeyRetention.
const prunesPerRetention = 20

// Tick removes expired records and returns the store operation that is due.
func (p *Partition) Tick(now time.Time) Effects {
	if now.Sub(p.lastPruneAt) > p.settings.KeyRetention/prunesPerRetention {
		p.lastPruneAt = now
		p.prune(now)
	}
	return p.nextOperation(now)
}

func (p *Partition) prune(now time.Time) {
	for key, record := range p.records {
		if now.Sub(record.RecordedAt) > p.settings.KeyRetention {
			delete(p.records, key)
			delete(p.unsavedOutcomes, key)
		}
	}
	for attemptID, refusedAt := range p.refusedAttempts {
		if now.Sub(refusedAt) > p.settings.KeyRetention {
			delete(p.refusedAttempts, attemptID)
		}
	}
}

// nextOperation returns the load or the write that is due, unless a store operation is in progress. It also decides the pending intents that no longer need one.
func (p *Partition) nextOperation(now time.Time) Effects {
	if p.storeBusy || now.Before(p.retryStoreAt) {
		return Effects{}
	}
	if !p.loaded {
		if !p.hasUnsaved() && !p.isCheckDue(now) {
			return Effects{}
		}
		return p.startLoad()
	}
	effects := p.decidePending(now)
	if !p.hasUnsaved() {
		if p.isCheckDue(now) {
			p.storeBusy = true
			effects.Check = &RevisionCheck{
				ExpectedRevision: p.openRevision,
			}
		}
		return effects
	}
	if now.Sub(p.lastWriteAt) < p.settings.MinFlushInterval {
		return effects
	}
	effects.Write = p.startWrite(now)
	return effects
}

func (p *Partition) hasUnsaved() bool {
	return len(p.pendingIntents) > 0 || len(p.unsavedOutcomes) > 0
}

func (p *Partition) isCheckDue(now time.Time) bool {
	return p.settings.CheckInterval > 0 && len(p.records) > 0 && now.Sub(p.lastStoreAt) >= p.settings.CheckInterval
}

func (p *Partition) startLoad() Effects {
	p.loaded = false
	p.storeBusy = true
	return Effects{
		Load: true,
	}
}

// RevisionChecked handles a finished check of the open page. If the page is another than the one that the partition knows, everything is loaded again.
func (p *Partition) RevisionChecked(now time.Time, unchanged bool) Effects {
	p.storeBusy = false
	p.lastStoreAt = now
	if !unchanged {
		return p.startLoad()
	}
	return p.nextOperation(now)
}

// decidePending decides the pending intents whose keys have been recorded in the meantime and keeps the others.
func (p *Partition) decidePending(now time.Time) Effects {
	var effects Effects
	undecided := p.pendingIntents[:0:0]
	for _, intent := range p.pendingIntents {
		if decision, decided := p.decide(now, intent); decided {
			effects.Decisions = append(effects.Decisions, decision)
			continue
		}
		undecided = append(undecided, intent)
	}
	p.pendingIntents = undecided
	return effects
}

// startWrite returns a write of the next open page. It contains the first pending intent of each key; further intents of the key are decided after the write.
func (p *Partition) startWrite(now time.Time) *PageWrite {
	p.storeBusy = true
	p.lastWriteAt = now
	write := &PageWrite{
		ExpectedRevision: p.openRevision,
	}
	base := p.openPage
	if len(base.Records) >= p.settings.MaxPageRecords {
		archived := p.withCurrentOutcomes(base)
		write.Archive = &archived
		base = Page{
			Sequence: p.openPage.Sequence + 1,
		}
	}
	var newRecords []Record
	deferred := p.pendingIntents[:0:0]
	included := map[KeyHash]bool{}
	for _, intent := range p.pendingIntents {
		if included[intent.Key] {
			deferred = append(deferred, intent)
			continue
		}
		included[intent.Key] = true
		p.writingIntents = append(p.writingIntents, intent)
		newRecords = append(newRecords, Record{
			Key:        intent.Key,
			BodyHash:   intent.BodyHash,
			AttemptID:  intent.AttemptID,
			RecordedAt: now.Truncate(time.Millisecond),
			Outcome:    OutcomeRunning,
		})
	}
	p.pendingIntents = deferred
	for key := range p.unsavedOutcomes {
		if len(newRecords) >= p.settings.MaxPageRecords {
			break
		}
		newRecords = append(newRecords, p.records[key])
		delete(p.unsavedOutcomes, key)
	}
	write.Page = p.withCurrentOutcomes(base).Union(newRecords)
	p.inFlightWrite = write
	return write
}

// withCurrentOutcomes returns the page with each record replaced by the known record of its key.
func (p *Partition) withCurrentOutcomes(page Page) Page {
	records := make([]Record, 0, len(page.Records))
	for _, r := range page.Records {
		if known, found := p.records[r.Key]; found {
			r = known
		}
		records = append(records, r)
	}
	return Page{
		Sequence: page.Sequence,
		Records:  records,
	}
}

// LoadSucceeded handles a finished load of the open page and the archived pages within KeyRetention.
func (p *Partition) LoadSucceeded(now time.Time, open Page, revision int64, archived []Page) Effects {
	p.storeBusy = false
	p.loaded = true
	p.lastStoreAt = now
	pages := append(slices.Clip(archived), open)
	for _, page := range pages {
		p.mergePage(page)
	}
	p.rewriteMissing(now, pages)
	p.openPage = open
	p.openRevision = revision
	return p.nextOperation(now)
}

// rewriteMissing marks the known records that the store lacks, or has without their outcome, to be written again. A store that was restored from a copy has lost the newest ones.
func (p *Partition) rewriteMissing(now time.Time, pages []Page) {
	stored := map[KeyHash]Record{}
	for _, page := range pages {
		for _, r := range page.Records {
			if other, found := stored[r.Key]; !found || r.supersedes(other) {
				stored[r.Key] = r
			}
		}
	}
	for key, record := range p.records {
		if now.Sub(record.RecordedAt) > p.settings.KeyRetention {
			continue
		}
		if r, found := stored[key]; !found || (!r.isSameAs(record) && record.supersedes(r)) {
			p.unsavedOutcomes[key] = true
		}
	}
}

// mergePage merges a stored page into the known records. An intent of a refused attempt was never run, so its key is released for another attempt.
func (p *Partition) mergePage(page Page) {
	for _, r := range page.Records {
		if _, refused := p.refusedAttempts[r.AttemptID]; refused && r.Outcome == OutcomeRunning {
			r.Outcome = OutcomeNotExecuted
			p.unsavedOutcomes[r.Key] = true
		}
		known, found := p.records[r.Key]
		if !found || r.supersedes(known) {
			p.records[r.Key] = r
		}
	}
}

// WriteSucceeded handles the success of the write in progress.
func (p *Partition) WriteSucceeded(now time.Time, revision int64) Effects {
	page := p.inFlightWrite.Page
	p.storeBusy = false
	p.lastStoreAt = now
	p.inFlightWrite = nil
	p.openRevision = revision
	p.openPage = page
	p.mergePage(page)
	var effects Effects
	for _, intent := range p.writingIntents {
		effects.Decisions = append(effects.Decisions, Decision{
			AttemptID: intent.AttemptID,
			Verdict:   VerdictRun,
			Record:    p.records[intent.Key],
		})
	}
	p.writingIntents = nil
	return effects.merge(p.nextOperation(now))
}

// WriteUnconfirmed handles a write in progress that met a conflict or whose reply was lost. The partition is loaded again before it decides on further intents; if an own intent did reach the store, its AttemptID identifies it.
func (p *Partition) WriteUnconfirmed(now time.Time) Effects {
	p.invalidateLoaded()
	p.pendingIntents = append(p.writingIntents, p.pendingIntents...)
	p.writingIntents = nil
	p.lastWriteAt = time.Time{}
	return p.nextOperation(now)
}

// invalidateLoaded marks the partition as not loaded. The known records stay, and outcomes that may not have been stored are written again.
func (p *Partition) invalidateLoaded() {
	p.storeBusy = false
	p.loaded = false
	if p.inFlightWrite == nil {
		return
	}
	for _, r := range p.inFlightWrite.Page.Records {
		if known, found := p.records[r.Key]; found && known.AttemptID == r.AttemptID && known.Outcome != OutcomeRunning {
			p.unsavedOutcomes[r.Key] = true
		}
	}
	p.inFlightWrite = nil
}

// StoreFailed handles the failure of a load, check or write when the store cannot be read either.
// All waiting intents are refused. An intent that reached the store nevertheless is recorded as not executed when a load finds it.
func (p *Partition) StoreFailed(now time.Time) Effects {
	p.invalidateLoaded()
	var effects Effects
	for _, intent := range append(p.writingIntents, p.pendingIntents...) {
		effects.Decisions = append(effects.Decisions, unavailableDecision(intent))
		p.refusedAttempts[intent.AttemptID] = now
	}
	p.writingIntents = nil
	p.pendingIntents = nil
	p.lastStoreAt = now
	p.retryStoreAt = now.Add(p.settings.StoreRetryDelay)
	return effects
}

func (e Effects) merge(other Effects) Effects {
	e.Decisions = append(e.Decisions, other.Decisions...)
	e.Load = e.Load || other.Load
	if other.Write != nil {
		e.Write = other.Write
	}
	if other.Check != nil {
		e.Check = other.Check
	}
	return e
}

// Len returns the number of records.
func (p *Partition) Len() int { return len(p.records) }
