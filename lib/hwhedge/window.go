package hwhedge

import "time"

// Window is the time over which the limit on extra work holds.
const Window = 10 * time.Second

const (
	// windowBuckets is the number of buckets in a window. More buckets use the limit more exactly and take more time for each decision.
	windowBuckets = 50
	bucketWidth   = Window / windowBuckets
)

// bucket counts what began within a span of bucketWidth.
type bucket struct {
	// number is the number of the span since the Unix epoch.
	number int64
	count  int
	tokens int
}

// window counts requests and their tokens over a sliding window.
type window struct {
	buckets [windowBuckets + 1]bucket
}

func bucketNumber(now time.Time) int64 { return now.UnixNano() / int64(bucketWidth) }

// add counts a request.
func (w *window) add(now time.Time, tokens int) {
	number := bucketNumber(now)
	b := &w.buckets[uint64(number)%uint64(len(w.buckets))]
	if b.number != number {
		*b = bucket{
			number: number,
		}
	}
	b.count++
	b.tokens += tokens
}

// sum returns the sums over the present bucket and the ones before it, of the given number in all.
func (w *window) sum(now time.Time, buckets int) (count, tokens int) {
	newest := bucketNumber(now)
	for _, b := range w.buckets {
		if b.number <= newest && b.number > newest-int64(buckets) {
			count += b.count
			tokens += b.tokens
		}
	}
	return count, tokens
}
