package hwfollow

import "time"

// Bounds of the calls to the store while it fails.
const (
	// maxFollowerWait is the longest wait after a failed poll of a router that is neither the reader nor its backup. Such a poll queries peers first, so the wait delays taking over what the reader has read after an outage.
	maxFollowerWait = 500 * time.Millisecond
	// followerWaitPerPeer is the wait per peer after the first failure: about the retry interval in a fleet of 88, because a backup that takes over has its first snapshot that soon.
	followerWaitPerPeer = 2 * time.Millisecond
	// readJitter is the part of an interval by which two reads may differ from the mean.
	readJitter = 0.04
	// maxFirstInterval is the bound for a router without a snapshot. It serves nobody yet, so in a large fleet it may wait longer.
	maxFirstInterval = 6400 * time.Millisecond
	// minFirstInterval is the shortest time between two reads of a router that has no snapshot.
	minFirstInterval = 300 * time.Millisecond
	// deferTime is how long a router without a snapshot leaves the store to a reader that has none either.
	deferTime = 500 * time.Millisecond
	// maxListAgeAtRead is the age that a list may reach before a router reads the next one itself: the limit of 3 s on requests to an upstream that leaves, less the timeout of that read, 1 s, and 150 ms in which the poll starts and the list is applied.
	maxListAgeAtRead = 1850 * time.Millisecond
	// ratePeriod is the period over which reads of the store are bounded. Within it, routers whose interval is not longer read no more often in total if all of their first reads come at once.
	ratePeriod = time.Second
	// slowPingFailures is the number of failed pings in a row after which pings may slow down.
	slowPingFailures = 3
	// slowPingRatio is the least number of peers that don't reach the store for each one that does, and the least number if none does. With fewer, routers whose pings are slow would still miss their first answer when most peers have got theirs, and count as cut off; and they would not know from their peers when an outage ends.
	slowPingRatio = 40
	// slowPingSteps is the number of retry intervals between two slow pings.
	slowPingSteps = 4
)

// ReadPace states how often a router reads the store that should leave it to the reader.
type ReadPace struct {
	// PerPeer is the mean time between two reads for each peer, so that the fleet as a whole reads the store at a constant rate. Max bounds the mean time, so that the router's data stay within the limits on their age.
	PerPeer time.Duration
	Max     time.Duration
	// SlowFactor multiplies the time between a read that follows a failed one and the next, and all times of a router without a snapshot.
	SlowFactor int
}

// ListPace and TablePace keep a fleet of 88 routers below a hundred such reads a second. A reader does not share its list for a time after an outage, so every router must have read the list itself within 2 s of the store's return; the pace of lists therefore stays constant. The table is taken from the reader as soon as that has it.
var (
	ListPace = ReadPace{
		PerPeer:    21 * time.Millisecond,
		Max:        1850 * time.Millisecond,
		SlowFactor: 1,
	}
	TablePace = ReadPace{
		PerPeer:    31 * time.Millisecond,
		Max:        2700 * time.Millisecond,
		SlowFactor: 2,
	}
)

// Condition is what a router knows when it decides how to go on after a failure.
type Condition struct {
	// Peers is the number of other routers heard lately.
	Peers int
	// ReadsStore reports that this router is the reader of the fleet or its backup.
	ReadsStore bool
	// Failures is the number of failures in a row.
	Failures int
	// Random is a random number from 0 to 1.
	Random float64
	// ReadBy is the latest time at which a router may begin the poll of its first read after peers provided snapshots, or zero for no limit. Only fleets whose routers read once a second anyway follow it.
	ReadBy time.Time
}

// FailedPollWait returns the time between a failed poll for table or list and the next one. The reader and its backup wait the retry interval; all other routers wait a jittered time that grows with the fleet and with repeated failures. A fleet of one router is its own reader.
func FailedPollWait(retryInterval time.Duration, c Condition) time.Duration {
	if c.ReadsStore || c.Peers == 0 {
		return retryInterval
	}
	wait := max(retryInterval, time.Duration(c.Peers)*followerWaitPerPeer)
	for failure := 1; failure < c.Failures && wait < maxFollowerWait; failure++ {
		wait *= 2
	}
	wait = max(retryInterval, min(wait, maxFollowerWait))
	return max(retryInterval, time.Duration((0.5+0.5*c.Random)*float64(wait)))
}

// ReadGate decides when a router reads the store although another router is the reader, because no peer has a recent snapshot.
type ReadGate struct {
	pace ReadPace
	// nextRead is the earliest time of the next read, or zero if peers provided the last snapshot.
	nextRead time.Time
}

// NewReadGate returns a gate for a router that has not needed the store yet.
func NewReadGate(pace ReadPace) ReadGate {
	return ReadGate{
		pace: pace,
	}
}

// Reset records that a peer provided a snapshot.
func (g *ReadGate) Reset() { g.nextRead = time.Time{} }

// Wait returns how long this router still leaves the store to others; 0 means that it reads the store now. Parameter hasSnapshot reports whether it has a table or list that an earlier poll returned; the failures of the condition are those of reads.
func (g *ReadGate) Wait(now time.Time, hasSnapshot bool, c Condition) time.Duration {
	if c.ReadsStore {
		g.Reset()
		return 0
	}
	interval := time.Duration(c.Peers) * g.pace.PerPeer
	if hasSnapshot {
		interval = min(interval, g.pace.Max)
	} else {
		interval = min(max(interval*time.Duration(g.pace.SlowFactor), minFirstInterval), maxFirstInterval)
	}
	if g.nextRead.IsZero() {
		g.nextRead = now.Add(time.Duration(c.Random * float64(interval)))
		if !hasSnapshot {
			g.nextRead = g.nextRead.Add(deferTime)
		} else if interval <= ratePeriod && !c.ReadBy.IsZero() && g.nextRead.After(c.ReadBy) {
			g.nextRead = c.ReadBy
		}
	}
	if wait := g.nextRead.Sub(now); wait > 0 {
		return wait
	}
	if hasSnapshot && c.Failures >= 1 {
		// The read that starts now follows a failed one, and probably fails too.
		interval *= time.Duration(g.pace.SlowFactor)
	}
	g.nextRead = now.Add(time.Duration((1 - readJitter + 2*readJitter*c.Random) * float64(interval)))
	return 0
}

// PingsSlowly reports whether a router that has waited the given number of retry intervals since its last ping leaves out another one: several pings in a row have failed, and nearly all peers report that they don't reach the store either. A router that is alone in being turned away pings as often as ever, because it must detect that it is cut off, and the reader and its backup do so because all others wait for them.
func PingsSlowly(c Condition, steps, peersReachable, peersUnreachable int) bool {
	return !c.ReadsStore && c.Failures >= slowPingFailures && steps < slowPingSteps && peersUnreachable > slowPingRatio*max(1, peersReachable)
}

// DeferredReadError reports that no peer has a recent snapshot and that this router leaves the store to others for a time.
type DeferredReadError struct {
	// Wait is the time until this router reads the store itself.
	Wait time.Duration
	// Cause is why no peer provided a snapshot, or nil if a peer's snapshot was unusable.
	Cause error
}

func (e *DeferredReadError) Error() string {
	return "no peer has a recent snapshot of the store, and this router does not read it itself yet"
}

// Unwrap returns the cause.
func (e *DeferredReadError) Unwrap() error { return e.Cause }
