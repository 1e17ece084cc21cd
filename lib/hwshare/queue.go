package hwshare

import (
	"math"
	"slices"
	"time"
)

// Lane separates short from long work within an account.
type Lane int

const (
	// ShortLane is work that is expected to end soon.
	ShortLane Lane = iota
	// LongLane is work that is expected to hold a slot for long.
	LongLane
	laneCount
)

// Entry is one waiting item.
type Entry[T any] struct {
	ID       string
	Account  string
	Lane     Lane
	Arrived  time.Time
	Deadline time.Time
	Item     T
}

// LaneOrder says which lane of an account goes first.
type LaneOrder int

const (
	// ShortFirst takes long work only when no short work waits.
	ShortFirst LaneOrder = iota
	// ShortOnly takes no long work.
	ShortOnly
	// LongFirst takes long work first, so that it does not starve.
	LongFirst
)

// Queue holds waiting items per account and lane, first come first served within a lane. Which account and which lane goes first is the caller's decision.
type Queue[T any] struct {
	accounts map[string]*[laneCount][]Entry[T]
	waiting  map[string]int
	// earliest is no later than the earliest deadline of all entries; the zero time stands for no entry.
	earliest time.Time
}

// NewQueue returns an empty queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{
		accounts: map[string]*[laneCount][]Entry[T]{},
		waiting:  map[string]int{},
	}
}

// Push adds an entry at the end of its lane.
func (q *Queue[T]) Push(entry Entry[T]) {
	lanes := q.lanes(entry.Account)
	lanes[entry.Lane] = append(lanes[entry.Lane], entry)
	q.waiting[entry.Account]++
	q.note(entry.Deadline)
}

// note keeps the bound on the earliest deadline.
func (q *Queue[T]) note(deadline time.Time) {
	if q.earliest.IsZero() || deadline.Before(q.earliest) {
		q.earliest = deadline
	}
}

// PushFront puts an entry before all others of its lane, for work that is sent again.
func (q *Queue[T]) PushFront(entry Entry[T]) {
	lanes := q.lanes(entry.Account)
	lanes[entry.Lane] = slices.Insert(lanes[entry.Lane], 0, entry)
	q.waiting[entry.Account]++
	q.note(entry.Deadline)
}

func (q *Queue[T]) lanes(account string) *[laneCount][]Entry[T] {
	lanes, known := q.accounts[account]
	if !known {
		lanes = &[laneCount][]Entry[T]{}
		q.accounts[account] = lanes
	}
	return lanes
}

// Waiting returns how many entries of an account wait.
func (q *Queue[T]) Waiting(account string) int { return q.waiting[account] }

// Empty reports whether nothing waits.
func (q *Queue[T]) Empty() bool { return len(q.waiting) == 0 }

// WaitingInLane returns how many entries of an account wait in a lane.
func (q *Queue[T]) WaitingInLane(account string, lane Lane) int {
	lanes, known := q.accounts[account]
	if !known {
		return 0
	}
	return len(lanes[lane])
}

// Accounts returns the accounts with waiting work, sorted by name so that decisions repeat exactly.
func (q *Queue[T]) Accounts() []string {
	names := make([]string, 0, len(q.waiting))
	for name, count := range q.waiting {
		if count > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Peek returns the account's next entry.
func (q *Queue[T]) Peek(account string, order LaneOrder) (Entry[T], bool) {
	lane, found := q.next(account, order)
	if !found {
		return Entry[T]{}, false
	}
	return q.accounts[account][lane][0], true
}

func (q *Queue[T]) next(account string, order LaneOrder) (Lane, bool) {
	lanes, known := q.accounts[account]
	if !known {
		return ShortLane, false
	}
	shortWaits := len(lanes[ShortLane]) > 0
	longWaits := len(lanes[LongLane]) > 0 && order != ShortOnly
	if longWaits && (order == LongFirst || !shortWaits) {
		return LongLane, true
	}
	return ShortLane, shortWaits
}

// Pop removes and returns the account's next entry.
func (q *Queue[T]) Pop(account string, order LaneOrder) (Entry[T], bool) {
	lane, found := q.next(account, order)
	if !found {
		return Entry[T]{}, false
	}
	lanes := q.accounts[account]
	entry := lanes[lane][0]
	lanes[lane] = lanes[lane][1:]
	q.forget(account)
	return entry, true
}

// Head returns the first entry of a lane.
func (q *Queue[T]) Head(account string, lane Lane) (Entry[T], bool) {
	lanes, known := q.accounts[account]
	if !known || len(lanes[lane]) == 0 {
		return Entry[T]{}, false
	}
	return lanes[lane][0], true
}

func (q *Queue[T]) forget(account string) {
	q.waiting[account]--
	if q.waiting[account] == 0 {
		delete(q.waiting, account)
		delete(q.accounts, account)
	}
}

// Remove takes an entry out wherever it stands and reports whether it was there.
func (q *Queue[T]) Remove(account, id string) bool {
	lanes, known := q.accounts[account]
	if !known {
		return false
	}
	for lane := range lanes {
		i := slices.IndexFunc(lanes[lane], func(e Entry[T]) bool { return e.ID == id })
		if i < 0 {
			continue
		}
		lanes[lane] = slices.Delete(lanes[lane], i, i+1)
		q.forget(account)
		return true
	}
	return false
}

// Expire removes and returns every entry whose deadline has passed. It is called far more often than deadlines pass, so it looks at the entries only when one may have.
func (q *Queue[T]) Expire(now time.Time) []Entry[T] {
	if q.earliest.IsZero() || q.earliest.After(now) {
		return nil
	}
	q.earliest = time.Time{}
	var expired []Entry[T]
	for _, account := range q.Accounts() {
		lanes := q.accounts[account]
		for lane := range lanes {
			kept := lanes[lane][:0:0]
			for _, entry := range lanes[lane] {
				if entry.Deadline.After(now) {
					kept = append(kept, entry)
					q.note(entry.Deadline)
					continue
				}
				expired = append(expired, entry)
			}
			lanes[lane] = kept
		}
	}
	for _, entry := range expired {
		q.forget(entry.Account)
	}
	return expired
}

// OldestArrival returns the arrival of the account's oldest entry.
func (q *Queue[T]) OldestArrival(account string) (time.Time, bool) {
	lanes, known := q.accounts[account]
	if !known {
		return time.Time{}, false
	}
	oldest := time.Unix(math.MaxInt32, 0)
	found := false
	for lane := range lanes {
		if len(lanes[lane]) > 0 && lanes[lane][0].Arrived.Before(oldest) {
			oldest = lanes[lane][0].Arrived
			found = true
		}
	}
	return oldest, found
}
