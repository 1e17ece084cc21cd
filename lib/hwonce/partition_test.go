package hwonce_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwonce"
)

var start = time.Unix(1_700_000_000, 0)

func settings() hwonce.Settings {
	return hwonce.Settings{
		KeyRetention:     time.Hour,
		MinFlushInterval: 80 * time.Millisecond,
		StoreRetryDelay:  500 * time.Millisecond,
		MaxPageRecords:   3,
	}
}

// storeValue is the open page and the archive as the store holds them.
type storeValue struct {
	open     hwonce.Page
	revision int64
	archive  map[uint64]hwonce.Page
	writes   int
}

func newStore() *storeValue {
	return &storeValue{
		archive: map[uint64]hwonce.Page{},
	}
}

func (s *storeValue) archived() []hwonce.Page {
	var pages []hwonce.Page
	for sequence := s.open.Sequence; sequence > 0; sequence-- {
		pages = append(pages, s.archive[sequence-1])
	}
	return pages
}

func (s *storeValue) apply(w *hwonce.PageWrite) bool {
	s.writes++
	if w.Archive != nil {
		s.archive[w.Archive.Sequence] = w.Archive.Union(s.archive[w.Archive.Sequence].Records)
	}
	if w.ExpectedRevision != s.revision {
		return false
	}
	s.revision++
	s.open = w.Page
	return true
}

// owner is a partition with the work that its driver has in hand.
type owner struct {
	partition *hwonce.Partition
	work      *hwonce.Effects
	decisions []hwonce.Decision
}

func newOwner() *owner {
	return &owner{
		partition: hwonce.NewPartition(settings()),
	}
}

func (o *owner) take(e hwonce.Effects) {
	o.decisions = append(o.decisions, e.Decisions...)
	if e.Load || e.Write != nil {
		o.work = &e
	}
}

// carryOut does the work in hand without faults.
func (o *owner) carryOut(now time.Time, s *storeValue) {
	for o.work != nil {
		work := o.work
		o.work = nil
		switch {
		case work.Load:
			o.take(o.partition.LoadSucceeded(now, s.open, s.revision, s.archived()))
		case s.apply(work.Write):
			o.take(o.partition.WriteSucceeded(now, s.revision))
		default:
			o.take(o.partition.WriteUnconfirmed(now))
		}
	}
}

func intent(key string, attempt uint64) hwonce.Intent {
	return hwonce.Intent{
		Key:       hwonce.HashKey("account", key),
		BodyHash:  7,
		AttemptID: attempt,
	}
}

func verdicts(decisions []hwonce.Decision) map[uint64]hwonce.Verdict {
	out := map[uint64]hwonce.Verdict{}
	for _, d := range decisions {
		out[d.AttemptID] = d.Verdict
	}
	return out
}

func TestFirstUseRunsAndARepeatGetsTheOutcome(t *testing.T) {
	store, o := newStore(), newOwner()
	o.take(o.partition.SubmitIntent(start, intent("k", 1)))
	o.carryOut(start, store)
	require.Equal(t, map[uint64]hwonce.Verdict{1: hwonce.VerdictRun}, verdicts(o.decisions))
	o.take(o.partition.RecordOutcome(start, hwonce.HashKey("account", "k"), 1, hwonce.OutcomeExecuted, 201))
	o.take(o.partition.SubmitIntent(start, intent("k", 2)))
	last := o.decisions[len(o.decisions)-1]
	assert.Equal(t, hwonce.VerdictDuplicate, last.Verdict)
	assert.Equal(t, hwonce.OutcomeExecuted, last.Record.Outcome)
	assert.Equal(t, 201, last.Record.StatusCode)
}

func TestAnotherBodyUnderTheSameKeyIsRefused(t *testing.T) {
	store, o := newStore(), newOwner()
	o.take(o.partition.SubmitIntent(start, intent("k", 1)))
	o.carryOut(start, store)
	other := intent("k", 2)
	other.BodyHash = 8
	o.take(o.partition.SubmitIntent(start, other))
	assert.Equal(t, hwonce.VerdictKeyReused, verdicts(o.decisions)[2])
}

func TestTwoOwnersLetOneRun(t *testing.T) {
	store, a, b := newStore(), newOwner(), newOwner()
	// Both owners have read the page before either writes.
	a.take(a.partition.SubmitIntent(start, intent("warm-a", 1)))
	a.carryOut(start, store)
	b.take(b.partition.SubmitIntent(start, intent("warm-b", 2)))
	b.carryOut(start, store)
	later := start.Add(time.Second)
	a.take(a.partition.SubmitIntent(later, intent("k", 3)))
	b.take(b.partition.SubmitIntent(later, intent("k", 4)))
	b.carryOut(later, store)
	a.carryOut(later, store)
	assert.Equal(t, hwonce.VerdictDuplicate, verdicts(a.decisions)[3])
	assert.Equal(t, hwonce.VerdictRun, verdicts(b.decisions)[4])
}

func TestManyIntentsShareAWrite(t *testing.T) {
	store, o := newStore(), newOwner()
	for i := range uint64(100) {
		o.take(o.partition.SubmitIntent(start, intent(string(rune('a'+i)), i+1)))
	}
	o.carryOut(start, store)
	assert.Len(t, o.decisions, 100)
	assert.Equal(t, 1, store.writes)
}

func TestStoreAwayRefusesAtOnceAndTheKeyStaysFree(t *testing.T) {
	store, o := newStore(), newOwner()
	o.take(o.partition.SubmitIntent(start, intent("k", 1)))
	o.work = nil
	o.take(o.partition.StoreFailed(start))
	assert.Equal(t, hwonce.VerdictUnavailable, verdicts(o.decisions)[1])
	o.take(o.partition.SubmitIntent(start.Add(100*time.Millisecond), intent("k", 2)))
	assert.Equal(t, hwonce.VerdictUnavailable, verdicts(o.decisions)[2], "no load is tried while the store is known to be away")
	later := start.Add(time.Second)
	o.take(o.partition.SubmitIntent(later, intent("k", 3)))
	o.carryOut(later, store)
	assert.Equal(t, hwonce.VerdictRun, verdicts(o.decisions)[3])
}

func TestAnIntentThatLandedUnseenIsFreedAfterItsCallerWasRefused(t *testing.T) {
	store, o := newStore(), newOwner()
	o.take(o.partition.SubmitIntent(start, intent("warm", 1)))
	o.carryOut(start, store)
	later := start.Add(time.Second)
	o.take(o.partition.SubmitIntent(later, intent("k", 2)))
	store.apply(o.work.Write)
	o.work = nil
	// The answer is lost, and the store cannot be read back either.
	o.take(o.partition.WriteUnconfirmed(later))
	o.work = nil
	o.take(o.partition.StoreFailed(later))
	require.Equal(t, hwonce.VerdictUnavailable, verdicts(o.decisions)[2])
	later = later.Add(time.Second)
	o.take(o.partition.SubmitIntent(later, intent("k", 3)))
	o.carryOut(later, store)
	assert.Equal(t, hwonce.VerdictRun, verdicts(o.decisions)[3], "the first attempt was told not-run, so the key may run")
}

func TestFullPagesAreArchivedAndReadAgain(t *testing.T) {
	store, o := newStore(), newOwner()
	now := start
	for i := range uint64(12) {
		now = now.Add(time.Second)
		o.take(o.partition.SubmitIntent(now, intent(string(rune('a'+i)), i+1)))
		o.carryOut(now, store)
	}
	require.Greater(t, store.open.Sequence, uint64(2))
	next := newOwner()
	next.take(next.partition.SubmitIntent(now, intent("a", 99)))
	next.carryOut(now, store)
	assert.Equal(t, hwonce.VerdictDuplicate, verdicts(next.decisions)[99])
}

// TestNoKeyRunsTwice drives two owners of one partition through lost answers, lost calls, outages and takeovers in any order.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.IntRange(5, 120).Draw(t, "steps")
		d := newDriver(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for range steps {
			d.step()
		}
		if d.doubled != "" {
			t.Fatalf("key %s runs twice", d.doubled)
		}
	})
}

// TestTheCheckSeesAPlantedFault shows that the check fails when an owner lets requests run before their intent is stored.
func TestTheCheckSeesAPlantedFault(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		d := newDriver(random.IntN)
		d.runsBeforeStored = true
		for range 100 {
			d.step()
		}
		if d.doubled != "" {
			return
		}
	}
	t.Fatal("no run shows the planted fault")
}

// driver takes random steps with two owners of one partition and watches which keys run.
type driver struct {
	choose  func(n int) int
	store   *storeValue
	owners  []*owner
	now     time.Time
	attempt uint64
	keyOf   map[uint64]string
	holder  map[string]uint64
	doubled string
	// runsBeforeStored plants the fault.
	runsBeforeStored bool
}

func newDriver(choose func(n int) int) *driver {
	return &driver{
		choose: choose,
		store:  newStore(),
		owners: []*owner{newOwner(), newOwner()},
		now:    start,
		keyOf:  map[uint64]string{},
		holder: map[string]uint64{},
	}
}

func (d *driver) key() string { return []string{"a", "b", "c", "d", "e"}[d.choose(5)] }

func (d *driver) step() {
	d.now = d.now.Add(time.Duration(d.choose(300)) * time.Millisecond)
	o := d.owners[d.choose(2)]
	switch d.choose(8) {
	case 0, 1:
		d.attempt++
		key := d.key()
		d.keyOf[d.attempt] = key
		o.take(o.partition.SubmitIntent(d.now, intent(key, d.attempt)))
	case 2, 3, 4:
		d.work(o)
	case 5:
		o.take(o.partition.Tick(d.now))
	case 6:
		d.conclude(o)
	case 7:
		if d.choose(4) == 0 {
			*o = *newOwner()
		}
	}
	d.look()
}

func (d *driver) conclude(o *owner) {
	key := d.key()
	held, runs := d.holder[key]
	if !runs {
		return
	}
	outcome := []hwonce.Outcome{hwonce.OutcomeExecuted, hwonce.OutcomeUnknown, hwonce.OutcomeNotExecuted}[d.choose(3)]
	o.take(o.partition.RecordOutcome(d.now, hwonce.HashKey("account", key), held, outcome, 200))
	if outcome == hwonce.OutcomeNotExecuted {
		delete(d.holder, key)
	}
}

// work does the work in hand of an owner, or loses the call, its answer or the store.
func (d *driver) work(o *owner) {
	if o.work == nil {
		return
	}
	work := o.work
	o.work = nil
	fault := d.choose(6)
	switch {
	case fault == 0:
		o.take(o.partition.StoreFailed(d.now))
	case work.Load && fault == 1:
		o.take(o.partition.StoreFailed(d.now))
	case work.Load:
		o.take(o.partition.LoadSucceeded(d.now, d.store.open, d.store.revision, d.store.archived()))
	case d.runsBeforeStored:
		o.take(o.partition.WriteSucceeded(d.now, d.store.revision))
	case fault == 1:
		// The call is lost.
		o.take(o.partition.WriteUnconfirmed(d.now))
	case fault == 2:
		// The write takes effect and its answer is lost.
		d.store.apply(work.Write)
		o.take(o.partition.WriteUnconfirmed(d.now))
	case d.store.apply(work.Write):
		o.take(o.partition.WriteSucceeded(d.now, d.store.revision))
	default:
		o.take(o.partition.WriteUnconfirmed(d.now))
	}
}

func (d *driver) look() {
	for _, o := range d.owners {
		for _, decision := range o.decisions {
			if decision.Verdict != hwonce.VerdictRun {
				continue
			}
			key := d.keyOf[decision.AttemptID]
			if other, held := d.holder[key]; held && other != decision.AttemptID {
				d.doubled = key
			}
			d.holder[key] = decision.AttemptID
		}
		o.decisions = nil
	}
}

func BenchmarkSlopeOncePage(b *testing.B) {
	for _, records := range []int{100, 400, 1200} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			var page hwonce.Page
			for i := range records {
				page.Records = append(page.Records, hwonce.Record{
					Key:        hwonce.HashKey("account", fmt.Sprint(i)),
					BodyHash:   uint64(i) << 40,
					AttemptID:  uint64(i) << 30,
					RecordedAt: start,
					Outcome:    hwonce.OutcomeExecuted,
					StatusCode: 200,
				})
			}
			var size int
			b.ReportAllocs()
			for range b.N {
				data, err := page.Encode()
				require.NoError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size), "page-bytes")
		})
	}
}
