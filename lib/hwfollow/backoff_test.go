package hwfollow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/lib/hwfollow"
)

const retry = 150 * time.Millisecond

func ExampleFailedPollWait() {
	reader := hwfollow.Condition{Peers: 87, ReadsStore: true, Failures: 9}
	follower := hwfollow.Condition{Peers: 87, Failures: 9, Random: 1}
	fmt.Println(hwfollow.FailedPollWait(retry, reader), hwfollow.FailedPollWait(retry, follower))
	// Output: 150ms 500ms
}

// The store fails for long. The waits of a router that leaves it to the reader must grow, within bounds that still allow it to follow the reader's first snapshot.
func TestWaitsOfFollowersGrowWithinBounds(t *testing.T) {
	before := time.Duration(0)
	for failures := 1; failures < 50; failures++ {
		wait := hwfollow.FailedPollWait(retry, hwfollow.Condition{Peers: 87, Failures: failures, Random: 0.5})
		assert.GreaterOrEqual(t, wait, max(retry, before))
		assert.LessOrEqual(t, wait, 500*time.Millisecond)
		before = wait
	}
	assert.Greater(t, before, 2*retry)
	assert.Equal(t, retry, hwfollow.FailedPollWait(retry, hwfollow.Condition{Failures: 50}), "a router alone is its own reader")
	long := 2 * time.Second
	assert.Equal(t, long, hwfollow.FailedPollWait(long, hwfollow.Condition{Peers: 87, Failures: 50}), "never below the retry interval")
}

// reads returns how often one of a number of routers reads the store within a time, if it asks the gate every 50 ms.
func reads(gate hwfollow.ReadGate, length time.Duration, hasSnapshot bool, c hwfollow.Condition) int {
	count := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(50 * time.Millisecond) {
		if gate.Wait(now, hasSnapshot, c) == 0 {
			count++
		}
	}
	return count
}

// The readers are dead or turned away: all routers together must not exceed a hundred reads a second, for as long as it lasts, and each must still read often enough for the limits on the age of its data.
func TestReadsOfAFleetAreBounded(t *testing.T) {
	const routers, length = 88, time.Minute
	for _, failures := range []int{0, 5} {
		list, table := 0, 0
		for i := range routers {
			c := hwfollow.Condition{Peers: routers - 1, Failures: failures, Random: float64(i) / routers}
			list += reads(hwfollow.NewReadGate(hwfollow.ListPace), length, true, c)
			table += reads(hwfollow.NewReadGate(hwfollow.TablePace), length, true, c)
		}
		assert.LessOrEqual(t, list+table, 100*60)
		assert.GreaterOrEqual(t, list/routers, 30, "every two seconds")
	}
	without := hwfollow.Condition{Peers: 359, Random: 0.5}
	assert.LessOrEqual(t, reads(hwfollow.NewReadGate(hwfollow.ListPace), length, false, without), 12, "a fleet of 360 without snapshots")
}

// The reader and its backup take over from each other, so they must never be held back, whatever they did as followers.
func TestReaderAndBackupReadAtOnce(t *testing.T) {
	gate := hwfollow.NewReadGate(hwfollow.TablePace)
	follower := hwfollow.Condition{Peers: 87, Random: 1}
	assert.NotZero(t, gate.Wait(start, true, follower))
	backup := follower
	backup.ReadsStore = true
	assert.Zero(t, gate.Wait(start, true, backup))
	assert.Zero(t, gate.Wait(start, true, backup))
}

// A gate that was waited for before the peers recovered must not allow a read at once in the next failure.
func TestGateStartsAnewAfterPeersRecovered(t *testing.T) {
	gate := hwfollow.NewReadGate(hwfollow.ListPace)
	c := hwfollow.Condition{Peers: 87, Random: 0.5}
	assert.NotZero(t, gate.Wait(start, true, c))
	gate.Reset()
	assert.NotZero(t, gate.Wait(start.Add(time.Minute), true, c))
	gate.Reset()
	assert.Zero(t, gate.Wait(start, true, hwfollow.Condition{}), "a router without peers reads at once")
}

// Pings may only slow down if the store fails for nearly all: a router that is alone in being turned away must detect it as soon as ever.
func TestPingsSlowDownOnlyIfNearlyAllPeersFailToo(t *testing.T) {
	for name, c := range map[string]struct {
		condition              hwfollow.Condition
		steps                  int
		reachable, unreachable int
		slow                   bool
	}{
		"store away for all":         {condition: hwfollow.Condition{Failures: 3}, steps: 1, unreachable: 87, slow: true},
		"first failures":             {condition: hwfollow.Condition{Failures: 2}, steps: 1, unreachable: 87},
		"turned away alone":          {condition: hwfollow.Condition{Failures: 99}, steps: 1, reachable: 87},
		"a third turned away":        {condition: hwfollow.Condition{Failures: 99}, steps: 1, reachable: 58, unreachable: 29},
		"the store is coming back":   {condition: hwfollow.Condition{Failures: 99}, steps: 1, reachable: 3, unreachable: 84},
		"reader or backup":           {condition: hwfollow.Condition{Failures: 99, ReadsStore: true}, steps: 1, unreachable: 87},
		"long enough after the last": {condition: hwfollow.Condition{Failures: 99}, steps: 4, unreachable: 87},
		"no peers":                   {condition: hwfollow.Condition{Failures: 99}, steps: 1},
	} {
		assert.Equal(t, c.slow, hwfollow.PingsSlowly(c.condition, c.steps, c.reachable, c.unreachable), name)
	}
}
