package hwshare

import (
	"math"
	"slices"
	"time"
)

// Lane is one of an account's two queues, which separate short from long requests.
type Lane int

const (
	// ShortLane holds entries that are expected to finish soon.
	ShortLane Lane = iota
	// LongLane holds entries that are expected to occupy a slot for a long time.
	LongLane
	laneCount
)

// Entry is one waiting item with the data by which it is queued.
type Entry[T any] struct {
	ID       string
	Account  string
	Lane     Lane
	Arrived  time.Time
	Deadline time.Time
	Item     T
}

// LaneOrder is the order in which an account's lanes are served.
type LaneOrder int

const (
	// ShortFirst serves the long lane only when the short lane is empty.
	ShortFirst LaneOrder = iota
	// ShortOnly never serves the long lane.
	ShortOnly
	// LongFirst serves the long lane first, so that it does not starve.
	LongFirst
)

// Queue holds waiting items per account and lane, in FIFO order within a lane. The caller decides which account and which lane is served next.
type Queue[T any] struct {
	accounts map[string]*[laneCount][]Entry[T]
	// waiting is the number of entries by account.
	waiting map[string]int
	// earliestDeadline is a lower bound on the deadlines of all entries; the zero time means that there is no entry.
	earliestDeadline time.Time
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
	lanes := q.accountLanes(entry.Account)
	lanes[entry.Lane] = append(lanes[entry.Lane], entry)
	q.waiting[entry.Account]++
	q.lowerEarliestDeadline(entry.Deadline)
}

// lowerEarliestDeadline lowers earliestDeadline to the deadline of a new entry if that is earlier.
func (q *Queue[T]) lowerEarliestDeadline(deadline time.Time) {
	if q.earliestDeadline.IsZero() || deadline.Before(q.earliestDeadline) {
		q.earliestDeadline = deadline
	}
}

// PushFront adds an entry at the front of its lane, for a request that is retried.
func (q *Queue[T]) PushFront(entry Entry[T]) {
	lanes := q.accountLanes(entry.Account)
	lanes[entry.Lane] = slices.Insert(lanes[entry.Lane], 0, entry)
	q.waiting[entry.Account]++
	q.lowerEarliestDeadline(entry.Deadline)
}

// accountLanes returns the lanes of an account, and creates them if there are none.
func (q *Queue[T]) accountLanes(account string) *[laneCount][]Entry[T] {
	lanes, known := q.accounts[account]
	if !known {
		lanes = &[laneCount][]Entry[T]{}
		q.accounts[account] = lanes
	}
	return lanes
}

// Waiting returns the number of waiting entries of an account.
func (q *Queue[T]) Waiting(account string) int { return q.waiting[account] }

// Empty reports whether the queue has no entries.
func (q *Queue[T]) Empty() bool { return len(q.waiting) == 0 }

// WaitingInLane returns the number of waiting entries in a lane of an account.
func (q *Queue[T]) WaitingInLane(account string, lane Lane) int {
	lanes, known := q.accounts[account]
	if !known {
		return 0
	}
	return len(lanes[lane])
}

// Accounts returns the accounts with waiting entries, sorted by name so that scheduling is deterministic.
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

// Peek returns the account's next entry without removing it.
func (q *Queue[T]) Peek(account string, order LaneOrder) (Entry[T], bool) {
	lane, found := q.nextLane(account, order)
	if !found {
		return Entry[T]{}, false
	}
	return q.accounts[account][lane][0], true
}

// nextLane returns the lane of the account's next entry, and false if no entry may be served in this order.
func (q *Queue[T]) nextLane(account string, order LaneOrder) (Lane, bool) {
	lanes, known := q.accounts[account]
	if !known {
		return ShortLane, false
	}
	hasShort := len(lanes[ShortLane]) > 0
	hasLong := len(lanes[LongLane]) > 0 && order != ShortOnly
	if hasLong && (order == LongFirst || !hasShort) {
		return LongLane, true
	}
	return ShortLane, hasShort
}

// Pop removes and returns the account's next entry.
func (q *Queue[T]) Pop(account string, order LaneOrder) (Entry[T], bool) {
	lane, found := q.nextLane(account, order)
	if !found {
		return Entry[T]{}, false
	}
	lanes := q.accounts[account]
	entry := lanes[lane][0]
	lanes[lane] = lanes[lane][1:]
	q.decrementWaiting(account)
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

// decrementWaiting counts an entry of the account as removed and deletes the account's lanes after its last entry.
func (q *Queue[T]) decrementWaiting(account string) {
	q.waiting[account]--
	if q.waiting[account] == 0 {
		delete(q.waiting, account)
		delete(q.accounts, account)
	}
}

// Remove removes an entry at any position and reports whether it was found.
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
		q.decrementWaiting(account)
		return true
	}
	return false
}

// Expire removes and returns every entry whose deadline has passed. It is called far more often than entries expire, so it scans them only if a deadline may have passed.
func (q *Queue[T]) Expire(now time.Time) []Entry[T] {
	if q.earliestDeadline.IsZero() || q.earliestDeadline.After(now) {
		return nil
	}
	q.earliestDeadline = time.Time{}
	var expired []Entry[T]
	for _, account := range q.Accounts() {
		lanes := q.accounts[account]
		for lane := range lanes {
			kept := lanes[lane][:0:0]
			for _, entry := range lanes[lane] {
				if entry.Deadline.After(now) {
					kept = append(kept, entry)
					q.lowerEarliestDeadline(entry.Deadline)
					continue
				}
				expired = append(expired, entry)
			}
			lanes[lane] = kept
		}
	}
	for _, entry := range expired {
		q.decrementWaiting(entry.Account)
	}
	return expired
}

// OldestArrival returns the arrival time of the account's oldest entry.
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
