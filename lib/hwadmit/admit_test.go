package hwadmit_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
)

var start = time.Unix(1_700_000_000, 0)

var settings = hwadmit.Settings{
	MaxWaitRatio:          0.35,
	UnusedShareFactor:     1,
	OverShareFactor:       0.05,
	OverShareRange:        1,
	RetryWaitFactor:       2,
	OverSharePrefillRatio: 0.35,
	MinRetryAfter:         100 * time.Millisecond,
	RetryAfterJitter:      400 * time.Millisecond,
}

func ExampleMaxMinFairRate() {
	// Of 100, the small one gets its 10 and the large ones 45 each.
	fmt.Println(hwadmit.MaxMinFairRate(100, []float64{300, 10, 60}))
	// Output: 45
}

func ExampleSettings_Decide() {
	verdict := settings.Decide(hwadmit.Request{
		QueueWait:        400 * time.Millisecond,
		LatencyObjective: time.Second,
	})
	fmt.Println(verdict.Admitted, verdict.MaxWait, verdict.RetryAfter)
	// Output: false 350ms 100ms
}

// The level gives away exactly the throughput, and never more than is asked.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		throughput := rapid.Float64Range(1, 1e6).Draw(t, "throughput")
		asked := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 40).Draw(t, "asked")
		total := 0.0
		for _, rate := range asked {
			total += rate
		}
		level := hwadmit.MaxMinFairRate(throughput, asked)
		if math.IsInf(level, 1) {
			if total > throughput*(1+1e-9) {
				t.Fatalf("no level though %g is asked of %g", total, throughput)
			}
			return
		}
		given := 0.0
		for _, rate := range asked {
			given += min(rate, level)
		}
		if math.Abs(given-throughput) > throughput*1e-9 {
			t.Fatalf("gives %g of %g", given, throughput)
		}
	})
}

// Pattern: one account sends many times its usual at one router while the others ask for little at another.
func TestAFloodingAccountIsHeldBackAndOthersAreNot(t *testing.T) {
	shares := hwadmit.NewFairShares(2 * time.Second)
	now := start
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		shares.RecordDemand(now, "flood", 20_000)
		shares.RecordAdmitted(now, "flood", 10_000)
		shares.SetPeerUsage(now, "router-2", map[string]hwadmit.Usage{
			"small": {Demand: 30_000, Admitted: 30_000},
			"other": {Demand: 60_000, Admitted: 50_000},
		})
	}
	const throughput = 270_000
	flood := shares.ShareUsage(now, "flood", throughput)
	assert.Greater(t, flood, 2.0)
	assert.Less(t, shares.ShareUsage(now, "small", throughput), 0.3)
	wait := hwadmit.Request{QueueWait: 100 * time.Millisecond, LatencyObjective: time.Second}
	wait.ShareUsage = flood
	assert.False(t, settings.Decide(wait).Admitted)
	wait.ShareUsage = shares.ShareUsage(now, "small", throughput)
	assert.True(t, settings.Decide(wait).Admitted)
	wait.ShareUsage = flood
	wait.QueueWait = 0
	assert.True(t, settings.Decide(wait).Admitted, "nobody is refused while engines are idle")
}

// Without more demand than throughput nobody is over a share, however unequal the accounts are.
func TestNobodyIsHeldBackWhileThereIsEnough(t *testing.T) {
	shares := hwadmit.NewFairShares(2 * time.Second)
	shares.RecordDemand(start, "large", 100_000)
	shares.RecordAdmitted(start, "large", 100_000)
	shares.RecordDemand(start, "small", 10)
	assert.Zero(t, shares.ShareUsage(start, "large", 270_000))
}

// What a peer said long ago no longer counts, and idle time builds no claim.
func TestUseIsForgotten(t *testing.T) {
	shares := hwadmit.NewFairShares(2 * time.Second)
	shares.RecordDemand(start, "a", 1e6)
	shares.SetPeerUsage(start, "router-2", map[string]hwadmit.Usage{"b": {Demand: 1e6, Admitted: 1e6}})
	assert.Len(t, shares.FleetUsage(start), 2)
	assert.Empty(t, shares.FleetUsage(start.Add(time.Minute)))
}

// A refused caller is asked back when there should be room, and never all at the same time.
func TestRetryAfterIsTheEstimatedWaitSpread(t *testing.T) {
	request := hwadmit.Request{QueueWait: 2 * time.Second, LatencyObjective: time.Second}
	first := settings.Decide(request)
	request.Random = 0.9
	second := settings.Decide(request)
	assert.Equal(t, 1650*time.Millisecond, first.RetryAfter)
	assert.Equal(t, 2010*time.Millisecond, second.RetryAfter)
}

// The more an account had of its share, the shorter the wait with which it is still taken.
func TestTheLimitFallsWithTheShareUsed(t *testing.T) {
	last := time.Hour
	for _, ratio := range []float64{0.2, 0.9, 1.1, 1.4, 1.9, 2.5, 9} {
		limit := settings.Decide(hwadmit.Request{LatencyObjective: time.Second, ShareUsage: ratio}).MaxWait
		assert.LessOrEqual(t, limit, last, ratio)
		last = limit
	}
	assert.Equal(t, 17500*time.Microsecond, last.Round(time.Microsecond))
}

// Pattern: two accounts over their share, the homes of one's subjects taken, those of the other's idle. The first is behind.
func TestAnAccountThatGetsMuchLessThanTheBestServedIsBehind(t *testing.T) {
	shares := hwadmit.NewFairShares(2 * time.Second)
	for account, given := range map[string]float64{"taken": 340_000, "idle": 840_000, "small": 2_000} {
		shares.RecordDemand(start, account, 1_300_000)
		shares.RecordAdmitted(start, account, given)
	}
	const throughput = 620_000
	assert.True(t, shares.Underserved(start, "taken", throughput))
	assert.False(t, shares.Underserved(start, "idle", throughput))
	assert.False(t, shares.Underserved(start.Add(time.Second), "small", 1e9), "nobody is behind while everybody gets what they ask for")
	assert.Equal(t, 350*time.Millisecond, settings.FairShareMaxWait(time.Second))
}

// Pattern: a flooding account's long prompts find an idle engine. While one is read, the others' requests would wait longer than anybody is let wait.
func TestIdleCapacityIsLentForNoLongerThanOthersWait(t *testing.T) {
	request := hwadmit.Request{
		LatencyObjective: time.Second,
		PrefillTime:      400 * time.Millisecond,
	}
	assert.True(t, settings.Decide(request).Admitted)
	request.ShareUsage = 0.9
	assert.True(t, settings.Decide(request).Admitted, "within the share the size does not count")
	request.ShareUsage = 1.5
	assert.True(t, settings.Decide(request).Admitted, "a little over the share it counts in part")
	request.ShareUsage = 3
	assert.False(t, settings.Decide(request).Admitted)
	request.PrefillTime = 300 * time.Millisecond
	assert.True(t, settings.Decide(request).Admitted)
}

// Pattern: callers come again once. One that is refused twice has waited for nothing.
func TestReturningCallersWithinTheirShareAreTakenWithALongerWait(t *testing.T) {
	request := hwadmit.Request{
		QueueWait:        600 * time.Millisecond,
		LatencyObjective: time.Second,
		ShareUsage:       0.5,
	}
	assert.False(t, settings.Decide(request).Admitted)
	request.LikelyRetry = true
	assert.True(t, settings.Decide(request).Admitted)
	request.ShareUsage = 1.5
	assert.False(t, settings.Decide(request).Admitted, "coming again gives no claim beyond the share")
}

func ExampleRetryDetector() {
	patience := hwadmit.NewRetryDetector()
	fmt.Println(patience.LikelyRetry(start, "reports", 12*time.Second))
	fmt.Println(patience.LikelyRetry(start.Add(time.Second), "reports", 12*time.Second-time.Millisecond))
	fmt.Println(patience.LikelyRetry(start.Add(time.Second), "reports", 11600*time.Millisecond))
	fmt.Println(patience.LikelyRetry(start.Add(time.Second), "queries", 11600*time.Millisecond))
	// Output:
	// false
	// false
	// true
	// false
}

// Callers whose first time has become shorter are not taken for returning ones for ever.
func TestTheLongestPatienceIsForgotten(t *testing.T) {
	patience := hwadmit.NewRetryDetector()
	assert.False(t, patience.LikelyRetry(start, "reports", 12*time.Second))
	assert.True(t, patience.LikelyRetry(start.Add(time.Second), "reports", 6*time.Second))
	assert.False(t, patience.LikelyRetry(start.Add(time.Minute), "reports", 6*time.Second))
	assert.False(t, patience.LikelyRetry(start.Add(time.Minute), "reports", 0))
	patience.Retain(func(string) bool { return false })
	assert.False(t, patience.LikelyRetry(start.Add(time.Minute), "reports", time.Second))
}
