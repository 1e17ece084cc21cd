package hwonce

import (
	"slices"
	"time"
)

// Settings are the times and sizes of a partition.
type Settings struct {
	// KeyRetention is how long a key is remembered.
	KeyRetention time.Duration
	// MinFlushInterval is the shortest time between two writes; with the number of partitions it bounds the fleet's writes.
	MinFlushInterval time.Duration
	// StoreRetryDelay is how long intents are refused at once after the store failed, before it is tried again.
	StoreRetryDelay time.Duration
	// MaxPageRecords is how many records the open page holds before it is archived. It keeps a page far below the store's largest value.
	MaxPageRecords int
}

// Intent asks to run a keyed request. Attempt is unique to one asking; the same attempt may ask again when an answer was lost.
type Intent struct {
	Key       KeyHash
	BodyHash  uint64
	AttemptID uint64
}

// Verdict is the answer to an intent.
type Verdict uint8

const (
	// VerdictRun means that the intent is recorded and the request may be handed over, by this attempt only.
	VerdictRun Verdict = iota
	// VerdictDuplicate means that the key was used before; the record says how it ended.
	VerdictDuplicate
	// VerdictKeyReused means that the key was used before with another body.
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

// PageWrite asks the driver to replace the open page by compare-and-swap. If Archive is set it has to be merged into the store first.
type PageWrite struct {
	Page             Page
	ExpectedRevision int64
	Archive          *Page
}

// Effects is what the driver has to carry out.
type Effects struct {
	Decisions []Decision
	Write     *PageWrite
	// Load asks for the open page and the archived ones of the window.
	Load bool
}

// Partition is the owner's state of one partition.
type Partition struct {
	settings Settings
	records  map[KeyHash]Record
	open     Page
	revision int64
	loaded   bool
	busy     bool
	writing  []Intent
	pending  []Intent
	// changed are records whose outcome is not in the store yet.
	changed map[KeyHash]bool
	// refused are attempts whose callers were told that they did not run, although the intent may have reached the store.
	refused map[uint64]time.Time
	// inFlight is the write under way.
	inFlight  *PageWrite
	flushed   time.Time
	pruned    time.Time
	awayUntil time.Time
}

// NewPartition returns a partition that has to be loaded before it decides.
func NewPartition(settings Settings) *Partition {
	return &Partition{
		settings: settings,
		records:  map[KeyHash]Record{},
		changed:  map[KeyHash]bool{},
		refused:  map[uint64]time.Time{},
	}
}

// SubmitIntent takes an intent. The decision may come at once or with a later call's effects.
func (p *Partition) SubmitIntent(now time.Time, intent Intent) Effects {
	// What is known of a key stays true while the store is away; only the absence of a record has to be read.
	if decision, decided := p.decide(now, intent); decided {
		return Effects{
			Decisions: []Decision{decision},
		}
	}
	if now.Before(p.awayUntil) {
		return Effects{
			Decisions: []Decision{unavailable(intent)},
		}
	}
	p.pending = append(p.pending, intent)
	return p.next(now)
}

// decide answers an intent from what is recorded.
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
		if p.inWrite(intent) {
			return Decision{}, false
		}
		decision.Verdict = VerdictRun
	case record.BodyHash != intent.BodyHash:
		decision.Verdict = VerdictKeyReused
	}
	return decision, true
}

func unavailable(intent Intent) Decision {
	return Decision{
		AttemptID: intent.AttemptID,
		Verdict:   VerdictUnavailable,
	}
}

func (p *Partition) inWrite(intent Intent) bool {
	for _, w := range p.writing {
		if w.AttemptID == intent.AttemptID {
			return true
		}
	}
	return false
}

// RecordOutcome notes how an attempt ended. It reaches the store with a later write.
func (p *Partition) RecordOutcome(now time.Time, key KeyHash, attempt uint64, outcome Outcome, status int) Effects {
	record, known := p.records[key]
	if !known || record.AttemptID != attempt {
		if outcome == OutcomeNotExecuted {
			// The asker gave up before its intent was recorded.
			p.refused[attempt] = now
			p.pending = slices.DeleteFunc(p.pending, func(i Intent) bool { return i.AttemptID == attempt })
		}
		return Effects{}
	}
	record.Outcome = outcome
	record.StatusCode = status
	p.records[key] = record
	p.changed[key] = true
	return p.next(now)
}

// pruneEvery is the part of the window after which forgotten keys are looked for.
const pruneEvery = 20

// Tick starts what is due.
func (p *Partition) Tick(now time.Time) Effects {
	if now.Sub(p.pruned) > p.settings.KeyRetention/pruneEvery {
		p.pruned = now
		p.prune(now)
	}
	return p.next(now)
}

func (p *Partition) prune(now time.Time) {
	for key, record := range p.records {
		if now.Sub(record.RecordedAt) > p.settings.KeyRetention {
			delete(p.records, key)
			delete(p.changed, key)
		}
	}
	for attempt, at := range p.refused {
		if now.Sub(at) > p.settings.KeyRetention {
			delete(p.refused, attempt)
		}
	}
}

// next returns the load or the write that is due, if none is under way.
func (p *Partition) next(now time.Time) Effects {
	if p.busy || now.Before(p.awayUntil) {
		return Effects{}
	}
	if !p.loaded {
		if len(p.pending) == 0 && len(p.changed) == 0 {
			return Effects{}
		}
		p.busy = true
		return Effects{
			Load: true,
		}
	}
	effects := p.settle(now)
	if len(p.pending) == 0 && len(p.changed) == 0 {
		return effects
	}
	if now.Sub(p.flushed) < p.settings.MinFlushInterval {
		return effects
	}
	effects.Write = p.write(now)
	return effects
}

// settle decides the pending intents whose keys were recorded in the meantime, and keeps one intent per key.
func (p *Partition) settle(now time.Time) Effects {
	var effects Effects
	kept := p.pending[:0:0]
	for _, intent := range p.pending {
		if decision, decided := p.decide(now, intent); decided {
			effects.Decisions = append(effects.Decisions, decision)
			continue
		}
		kept = append(kept, intent)
	}
	p.pending = kept
	return effects
}

// write builds the next open page. The first intent of a key goes in; a second one waits and is decided afterwards.
func (p *Partition) write(now time.Time) *PageWrite {
	p.busy = true
	p.flushed = now
	write := &PageWrite{
		ExpectedRevision: p.revision,
	}
	base := p.open
	if len(base.Records) >= p.settings.MaxPageRecords {
		archived := p.current(base)
		write.Archive = &archived
		base = Page{
			Sequence: p.open.Sequence + 1,
		}
	}
	var added []Record
	later := p.pending[:0:0]
	taken := map[KeyHash]bool{}
	for _, intent := range p.pending {
		if taken[intent.Key] {
			later = append(later, intent)
			continue
		}
		taken[intent.Key] = true
		p.writing = append(p.writing, intent)
		added = append(added, Record{
			Key:        intent.Key,
			BodyHash:   intent.BodyHash,
			AttemptID:  intent.AttemptID,
			RecordedAt: now.Truncate(time.Millisecond),
			Outcome:    OutcomeRunning,
		})
	}
	p.pending = later
	for key := range p.changed {
		added = append(added, p.records[key])
	}
	clear(p.changed)
	write.Page = p.current(base).Union(added)
	p.inFlight = write
	return write
}

// current returns a page with the outcomes as they are known now.
func (p *Partition) current(page Page) Page {
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

// LoadSucceeded takes the open page and the archived ones of the window.
func (p *Partition) LoadSucceeded(now time.Time, open Page, revision int64, archived []Page) Effects {
	p.busy = false
	p.loaded = true
	for _, page := range archived {
		p.merge(page)
	}
	p.merge(open)
	p.open = open
	p.revision = revision
	return p.next(now)
}

func (p *Partition) merge(page Page) {
	for _, r := range page.Records {
		if _, refused := p.refused[r.AttemptID]; refused && r.Outcome == OutcomeRunning {
			r.Outcome = OutcomeNotExecuted
			p.changed[r.Key] = true
		}
		known, found := p.records[r.Key]
		if !found || r.supersedes(known) {
			p.records[r.Key] = r
		}
	}
}

// WriteSucceeded takes the success of the write under way.
func (p *Partition) WriteSucceeded(now time.Time, revision int64) Effects {
	page := p.inFlight.Page
	p.busy = false
	p.inFlight = nil
	p.revision = revision
	p.open = page
	p.merge(page)
	var effects Effects
	for _, intent := range p.writing {
		effects.Decisions = append(effects.Decisions, Decision{
			AttemptID: intent.AttemptID,
			Verdict:   VerdictRun,
			Record:    p.records[intent.Key],
		})
	}
	p.writing = nil
	return effects.with(p.next(now))
}

// WriteUnconfirmed takes the failure of the write under way because somebody else wrote first, or the loss of its answer. Everything is read again before anything is decided: an own intent that landed is recognised by its attempt.
func (p *Partition) WriteUnconfirmed(now time.Time) Effects {
	p.reopen()
	p.pending = append(p.writing, p.pending...)
	p.writing = nil
	p.flushed = time.Time{}
	return p.next(now)
}

// reopen forgets what the store holds, but not what is known: outcomes that may not have been written are written again.
func (p *Partition) reopen() {
	p.busy = false
	p.loaded = false
	if p.inFlight == nil {
		return
	}
	for _, r := range p.inFlight.Page.Records {
		if known, found := p.records[r.Key]; found && known.AttemptID == r.AttemptID && known.Outcome != OutcomeRunning {
			p.changed[r.Key] = true
		}
	}
	p.inFlight = nil
}

// StoreFailed takes the failure of a load or a write when the store cannot be read either.
// Nobody is told to run. What waited is refused; an intent that landed all the same is recorded as not run once it is seen.
func (p *Partition) StoreFailed(now time.Time) Effects {
	p.reopen()
	var effects Effects
	for _, intent := range append(p.writing, p.pending...) {
		effects.Decisions = append(effects.Decisions, unavailable(intent))
		p.refused[intent.AttemptID] = now
	}
	p.writing = nil
	p.pending = nil
	p.awayUntil = now.Add(p.settings.StoreRetryDelay)
	return effects
}

func (e Effects) with(other Effects) Effects {
	e.Decisions = append(e.Decisions, other.Decisions...)
	e.Load = e.Load || other.Load
	if other.Write != nil {
		e.Write = other.Write
	}
	return e
}

// Len returns how many records are remembered.
func (p *Partition) Len() int { return len(p.records) }
