package hwretry

import (
	"math"
	"time"
)

// BudgetSettings configure a Budget.
type BudgetSettings struct {
	// RetryRatio is how many retries each first attempt grants.
	RetryRatio float64
	// InitialRetries is how many retries a new budget grants.
	InitialRetries float64
	// Window is how long a granted retry may be used; with 0, no retry is allowed.
	Window time.Duration
}

// Budget limits retries to a ratio of the first attempts, plus a rate that does not depend on them. It grants whole retries, each of which may be used for Window, so that the retries within any window are at most what was granted in it and in the one before. What a process that ends has been granted is lost, and a new one begins with InitialRetries.
//
// A Budget is not safe for concurrent use.
type Budget struct {
	settings BudgetSettings
	// perSecond is the rate of retries that are granted regardless of traffic.
	perSecond float64
	// fraction is the part of a retry that is not granted yet.
	fraction float64
	// balance is the number of granted retries that may still be used.
	balance int
	// createdAt is the origin of all other times. They are durations since then, because those follow the monotonic clock: a step of the wall clock grants nothing and takes nothing.
	createdAt time.Time
	updated   time.Duration
	grants    [grantBuckets]grantBucket
}

// grantBuckets is the number of buckets in a window. A grant is lost up to a bucket early.
const grantBuckets = 10

// grantBucket counts the retries that were granted within a tenth of a window.
type grantBucket struct {
	// number is the number of that span since the budget was created.
	number int64
	count  int
}

// NewBudget returns a budget whose rate is 0. Phase is a random number in [0, 1): the part of a retry with which the budget begins. It makes many budgets that each grant a fraction of a retry grant the right number together.
func NewBudget(now time.Time, settings BudgetSettings, phase float64) *Budget {
	b := &Budget{
		settings:  settings,
		fraction:  phase,
		createdAt: now,
	}
	b.grant(0, settings.InitialRetries)
	return b
}

// bucketWidth returns the time that a bucket covers, which is never 0, also without a window.
func (b *Budget) bucketWidth() time.Duration { return max(1, b.settings.Window/grantBuckets) }

// bucketNumber returns the number of the bucket for a time since the budget was created.
func (b *Budget) bucketNumber(at time.Duration) int64 { return int64(at / b.bucketWidth()) }

// grant adds retries, of which the whole ones are granted at the given time.
func (b *Budget) grant(at time.Duration, retries float64) {
	whole, fraction := math.Modf(b.fraction + retries)
	b.fraction = fraction
	if whole == 0 {
		return
	}
	number := b.bucketNumber(at)
	bucket := &b.grants[number%grantBuckets]
	if bucket.number != number {
		*bucket = grantBucket{
			number: number,
		}
	}
	bucket.count += int(whole)
	b.balance += int(whole)
}

// granted returns the number of retries that were granted in the window before the given time.
func (b *Budget) granted(now time.Duration) int {
	newest, sum := b.bucketNumber(now), 0
	for _, bucket := range b.grants {
		if bucket.number > newest-grantBuckets {
			sum += bucket.count
		}
	}
	return sum
}

// accrue grants the retries for the time since the last update, bucket by bucket and at most for one window, and drops those that were not used within the window. A time before the last update counts as that update's.
func (b *Budget) accrue(at time.Time) {
	now := max(b.updated, at.Sub(b.createdAt))
	from := max(b.updated, now-b.settings.Window)
	for b.perSecond > 0 && from < now {
		span := min(now-from, b.bucketWidth()-from%b.bucketWidth())
		b.grant(from, span.Seconds()*b.perSecond)
		from += span
	}
	b.updated = now
	b.balance = min(b.balance, b.granted(now))
}

// SetRate sets the rate of retries that are granted regardless of traffic, per second. The time since the last call counts at the lower of the two rates.
func (b *Budget) SetRate(now time.Time, perSecond float64) {
	b.perSecond = min(b.perSecond, perSecond)
	b.accrue(now)
	b.perSecond = perSecond
}

// Deposit grants RetryRatio retries for a first attempt.
func (b *Budget) Deposit(now time.Time) {
	b.accrue(now)
	b.grant(b.updated, b.settings.RetryRatio)
}

// TryWithdraw takes one retry from the balance and reports whether it was available.
func (b *Budget) TryWithdraw(now time.Time) bool {
	b.accrue(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// hedgeReserveRatio is the part of the retries granted within a window that is kept for retries after failures.
const hedgeReserveRatio = 0.5

// TryWithdrawHedge takes one retry from the balance for a second attempt of a request that has not failed, and reports whether it was available. At least half of what was granted within the window is left.
func (b *Budget) TryWithdrawHedge(now time.Time) bool {
	b.accrue(now)
	if float64(b.balance-1) < hedgeReserveRatio*float64(b.granted(b.updated)) {
		return false
	}
	return b.TryWithdraw(now)
}
