package hwquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

// Segments of the tests: common begins every prompt, guilty crashes upstreams, alongside and fresh are innocent.
const (
	common hwquarantine.Segment = iota + 1
	guilty
	alongside
	fresh
)

func segmentSettings() hwquarantine.SegmentSettings {
	return hwquarantine.SegmentSettings{
		MinCrashes:         2,
		MinCrashesAnswered: 5,
		SuspicionTTL:       time.Minute,
		QuarantineTTL:      time.Hour,
		FirstTrialDelay:    5 * time.Second,
		TrialBackoff:       8,
		MaxTrials:          3,
		TrialTurn:          3 * time.Second,
		MaxSegments:        64,
		AnsweredSegments:   1024,
	}
}

// segmentFixture is a tracker with a clock that the test sets.
type segmentFixture struct {
	*hwquarantine.SegmentTracker
}

func newSegmentFixture() segmentFixture {
	return segmentFixture{
		SegmentTracker: hwquarantine.NewSegmentTracker(segmentSettings()),
	}
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crash records that an upstream crashed with one unanswered request.
func (f segmentFixture) crash(ms int, upstream hwquarantine.UpstreamHash, segments ...hwquarantine.Segment) {
	f.RecordCrash(at(ms), at(ms), upstream, segments)
}

func (f segmentFixture) answer(ms int, segments ...hwquarantine.Segment) {
	f.RecordAnswer(at(ms), segments)
}

func (f segmentFixture) quarantined(segment hwquarantine.Segment) bool {
	_, found := f.Quarantined([]hwquarantine.Segment{segment})
	return found
}

func always(hwquarantine.Segment, int) bool { return true }

// Innocent segments share each crash with the guilty one: the first segment of all prompts, and one that most of the guilty requests have.
func TestOnlyTheSegmentThatIsNeverAnsweredIsQuarantined(t *testing.T) {
	f := newSegmentFixture()
	f.answer(0, common, alongside)
	f.crash(100, 1, common, alongside, guilty)
	assert.False(t, f.quarantined(guilty), "one crash may have any cause")
	f.crash(400, 2, common, alongside, guilty)
	assert.True(t, f.quarantined(guilty))
	for n := range hwquarantine.UpstreamHash(8) {
		f.crash(500+int(n), 10+n, common, alongside, guilty)
	}
	assert.False(t, f.quarantined(common))
	assert.False(t, f.quarantined(alongside))
}

// Two guilty segments at the same time: the first segment of the prompts is at all crashes, each of the others only at half of them.
func TestTwoGuiltySegmentsDoNotQuarantineTheCommonOne(t *testing.T) {
	f := newSegmentFixture()
	f.answer(0, common)
	other := hwquarantine.Segment(50)
	for n := range 6 {
		segment := guilty
		if n%2 == 1 {
			segment = other
		}
		f.crash(100*(n+1), hwquarantine.UpstreamHash(n), common, segment)
		assert.False(t, f.quarantined(common), "after %d crashes", n+1)
	}
	assert.True(t, f.quarantined(guilty))
	assert.True(t, f.quarantined(other))
}

// Many upstreams are killed at once while popular segments are in flight at all of them.
func TestKilledUpstreamsDoNotQuarantineAnsweredSegments(t *testing.T) {
	f := newSegmentFixture()
	f.answer(0, common, alongside)
	for n := range hwquarantine.UpstreamHash(4) {
		f.crash(100, n, common, alongside)
	}
	assert.False(t, f.quarantined(common))
	f.answer(150, common, alongside)
	for n := range hwquarantine.UpstreamHash(4) {
		f.crash(200, 10+n, common, alongside)
	}
	assert.False(t, f.quarantined(common), "an answer between the crashes clears it")
}

// At the start of the fleet nothing was ever answered. A segment that is quarantined wrongly comes back with the first answer, also to a request that was in flight all along.
func TestAnAnswerReleasesASegment(t *testing.T) {
	f := newSegmentFixture()
	f.crash(100, 1, common)
	f.crash(100, 2, common)
	assert.True(t, f.quarantined(common))
	f.answer(180, common)
	assert.False(t, f.quarantined(common))
	f.crash(300, 3, common)
	f.crash(300, 4, common)
	assert.False(t, f.quarantined(common), "it takes more crashes now")
}

// All routers were killed at once and know of no answers. The segments that came with the guilty one were quarantined with it, although the engines had them in their caches all along.
func TestSegmentsInTheEnginesCachesAreNotTakenForTheGuiltyOne(t *testing.T) {
	f := newSegmentFixture()
	f.RecordCached(alongside)
	f.crash(0, 1, alongside, guilty)
	f.crash(100, 2, alongside, guilty)
	assert.True(t, f.quarantined(guilty))
	assert.False(t, f.quarantined(alongside))
}

// A segment that was answered for hours begins to crash upstreams, for example with a new version of the engines.
func TestAnAnsweredSegmentThatTurnsGuiltyIsQuarantined(t *testing.T) {
	f := newSegmentFixture()
	f.answer(0, common)
	for n := range 5 {
		assert.False(t, f.quarantined(common), "after %d crashes", n)
		f.crash(100*(n+1), hwquarantine.UpstreamHash(n), common, hwquarantine.Segment(100+n))
	}
	assert.True(t, f.quarantined(common))
}

// One sick upstream crashes over and over, under whatever it has.
func TestOneSickUpstreamDoesNotQuarantineASegment(t *testing.T) {
	f := newSegmentFixture()
	for n := range 2 {
		f.crash(5000*n, 1, fresh)
	}
	assert.False(t, f.quarantined(fresh))
	// A pool may have a single upstream, so that other upstreams can't confirm it.
	f.crash(10_000, 1, fresh)
	assert.True(t, f.quarantined(fresh))
}

// Two segments that were only seen together can't be told apart, so both are held. A crash with only one of them releases the other.
func TestSegmentsThatComeTogetherAreToldApartByTheNextCrash(t *testing.T) {
	f := newSegmentFixture()
	f.crash(0, 1, guilty, fresh)
	f.crash(100, 2, guilty, fresh)
	assert.True(t, f.quarantined(guilty))
	assert.True(t, f.quarantined(fresh))
	f.crash(5200, 3, guilty)
	assert.True(t, f.quarantined(guilty))
	assert.False(t, f.quarantined(fresh))
}

// A quarantined segment must not stay away for ever without evidence, and must not crash upstreams again and again for it.
func TestTrialsAreFewAndFarBetween(t *testing.T) {
	f := newSegmentFixture()
	f.crash(0, 1, guilty)
	f.crash(0, 2, guilty)
	segments := []hwquarantine.Segment{common, guilty}
	verdict := f.Decide(at(1000), segments, always)
	assert.Equal(t, hwquarantine.Verdict{Refused: true, RetryAfter: 4 * time.Second}, verdict)
	var trials []int
	for second := range 3600 {
		if f.Decide(at(1000*second), segments, always).Trial {
			f.BeginTrial(at(1000*second), segments)
			f.crash(1000*second+500, hwquarantine.UpstreamHash(100+second), segments...)
			trials = append(trials, second)
		}
	}
	assert.Equal(t, []int{5, 46, 367}, trials)
	assert.Equal(t, hwquarantine.Verdict{Refused: true}, f.Decide(at(3_600_000), segments, always), "no further trial is planned")
}

func TestASuccessfulTrialReleasesTheSegment(t *testing.T) {
	f := newSegmentFixture()
	f.crash(0, 1, fresh)
	f.crash(0, 2, fresh)
	segments := []hwquarantine.Segment{fresh}
	assert.True(t, f.Decide(at(5000), segments, always).Trial)
	f.BeginTrial(at(5000), segments)
	assert.True(t, f.Decide(at(5001), segments, always).Refused, "one at a time")
	f.answer(5400, fresh)
	assert.Equal(t, hwquarantine.Verdict{}, f.Decide(at(5401), segments, always))
}

// A sound segment was quarantined together with a crashing one, and each of its trials was a request with both, which crashed.
func TestARequestWithOneQuarantinedSegmentIsTriedFirst(t *testing.T) {
	f := newSegmentFixture()
	f.crash(0, 1, fresh, guilty)
	f.crash(0, 2, fresh, guilty)
	both, alone := []hwquarantine.Segment{fresh, guilty}, []hwquarantine.Segment{fresh}
	assert.True(t, f.Decide(at(5000), both, always).Refused)
	assert.True(t, f.Decide(at(5000), alone, always).Trial)
	assert.True(t, f.Decide(at(10_000), both, always).Trial, "segments that never come alone get their turn too")
}

// Turns pass from router to router, so that a segment whose requests come at a single router is tried there.
func TestEveryRouterGetsATurnAndOnlyOneAtATime(t *testing.T) {
	routers := []string{"a", "b", "c", "d"}
	owners := map[string]bool{}
	for turn := range 40 {
		owner := hwquarantine.TrialOwner(routers, guilty, turn)
		assert.Equal(t, owner, hwquarantine.TrialOwner([]string{"d", "b", "c", "a"}, guilty, turn))
		owners[owner] = true
	}
	assert.Len(t, owners, len(routers))
	f := newSegmentFixture()
	f.crash(0, 1, guilty)
	f.crash(0, 2, guilty)
	notMine := func(hwquarantine.Segment, int) bool { return false }
	assert.True(t, f.Decide(at(6000), []hwquarantine.Segment{guilty}, notMine).Refused)
}

// A router that starts, or returns from a cut, knows nothing of the crashes before.
func TestARouterThatStartsLearnsOfQuarantinedSegments(t *testing.T) {
	f, late := newSegmentFixture(), newSegmentFixture()
	f.crash(0, 1, guilty)
	f.crash(100, 2, guilty)
	f.BeginTrial(at(5200), []hwquarantine.Segment{guilty})
	for ms := 5200; ms < 8000; ms += 100 {
		// All that was sent so far is lost.
		f.Reports(at(ms), 100)
	}
	reports, _ := f.Reports(at(9000), 100)
	late.Merge(at(9000), reports)
	assert.True(t, late.quarantined(guilty))
	assert.True(t, late.Decide(at(9001), []hwquarantine.Segment{guilty}, always).Refused, "the trial is known too")
}

// A router that missed an answer must not bring the quarantine back to the others.
func TestStaleReportsDoNotQuarantineAnAnsweredSegment(t *testing.T) {
	f, stale := newSegmentFixture(), newSegmentFixture()
	for _, tracker := range []segmentFixture{f, stale} {
		tracker.crash(0, 1, fresh)
		tracker.crash(100, 2, fresh)
	}
	f.answer(200, fresh)
	reports, _ := stale.Reports(at(3000), 100)
	f.Merge(at(3000), reports)
	assert.False(t, f.quarantined(fresh))
	answer, _ := f.Reports(at(3100), 100)
	stale.Merge(at(3100), answer)
	assert.False(t, stale.quarantined(fresh))
}

// A caller that crashes upstreams at a segment of its own puts another account's segment beside it. The other account's next answer releases it.
func TestACallerCannotKeepAnotherAccountsSegmentAway(t *testing.T) {
	f := newSegmentFixture()
	victim := hwquarantine.Segment(9)
	f.crash(0, 1, victim, guilty)
	f.crash(100, 2, victim, hwquarantine.Segment(77))
	assert.True(t, f.quarantined(victim))
	segments := []hwquarantine.Segment{victim}
	assert.True(t, f.Decide(at(5100), segments, always).Trial)
	f.BeginTrial(at(5100), segments)
	f.answer(5300, victim)
	for n := range hwquarantine.UpstreamHash(4) {
		f.crash(6000+int(n), 10+n, victim, hwquarantine.Segment(80+n))
		assert.False(t, f.quarantined(victim))
	}
}

func TestSegmentMemoryIsBounded(t *testing.T) {
	f := newSegmentFixture()
	f.crash(0, 1, guilty)
	f.crash(0, 2, guilty)
	for n := range 10_000 {
		f.crash(n, 3, hwquarantine.Segment(1000+n))
	}
	reports, _ := f.Reports(at(10_000), 1_000_000)
	assert.LessOrEqual(t, len(reports), 65)
	assert.True(t, f.quarantined(guilty), "quarantined segments are kept")
}

// The fault of the incident: a guilty segment is quarantined at every router by the time of the fifth crash, whatever else was in flight, whichever routers saw it, and although datagrams are lost.
func TestGuiltySegmentIsQuarantinedByTheFifthCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := make([]segmentFixture, rapid.IntRange(1, 6).Draw(t, "routers"))
		for i := range fleet {
			fleet[i] = newSegmentFixture()
		}
		innocent := rapid.SliceOfN(rapid.IntRange(100, 130), 1, 4)
		now := 0
		exchangeReports := func() {
			now += 100
			for i, sender := range fleet {
				reports, _ := sender.Reports(at(now), 100)
				for j, receiver := range fleet {
					if i != j && rapid.IntRange(0, 9).Draw(t, "loss") > 0 {
						receiver.Merge(at(now), reports)
					}
				}
			}
		}
		for n := range 5 {
			now += rapid.IntRange(50, 1500).Draw(t, "pause")
			// Each router sees what it had in flight itself; the request with the guilty segment is at one of them.
			holder := rapid.IntRange(0, len(fleet)-1).Draw(t, "holder")
			for i, f := range fleet {
				segments := []hwquarantine.Segment{common}
				for _, s := range innocent.Draw(t, "segments") {
					segments = append(segments, hwquarantine.Segment(s))
				}
				f.crash(now, hwquarantine.UpstreamHash(n), segments...)
				if i == holder {
					f.crash(now, hwquarantine.UpstreamHash(n), common, guilty)
				}
				if rapid.Bool().Draw(t, "answered") {
					f.answer(now+1, segments...)
				}
			}
			exchangeReports()
		}
		for range 30 {
			exchangeReports()
		}
		for i, f := range fleet {
			if !f.quarantined(guilty) {
				t.Fatalf("router %d lets the segment pass", i)
			}
		}
	})
}

func ExampleSegmentTracker() {
	now := time.Unix(1_700_000_000, 0)
	tracker := hwquarantine.NewSegmentTracker(segmentSettings())
	instructions, document := hwquarantine.Segment(0xa1), hwquarantine.Segment(0xb2)
	tracker.RecordAnswer(now, []hwquarantine.Segment{instructions})
	for upstream := range hwquarantine.UpstreamHash(2) {
		for _, change := range tracker.RecordCrash(now, now, upstream, []hwquarantine.Segment{instructions, document}) {
			fmt.Println(change.Segment, "quarantined after", change.Crashes, "crashes")
		}
	}
	verdict := tracker.Decide(now, []hwquarantine.Segment{instructions, document}, nil)
	fmt.Println(verdict.Refused, verdict.RetryAfter)
	// Output:
	// b2 quarantined after 2 crashes
	// true 5s
}

// BenchmarkSegments measures what the tracker adds to a request with two shared segments: the decision and the answer, without crashes and with the most segments under suspicion.
func BenchmarkSegments(b *testing.B) {
	for name, suspects := range map[string]int{"no-crash": 0, "full": 4096} {
		b.Run(name, func(b *testing.B) {
			settings := segmentSettings()
			settings.MaxSegments = 4096
			tracker := hwquarantine.NewSegmentTracker(settings)
			for n := range suspects {
				tracker.RecordCrash(start, start, 1, []hwquarantine.Segment{hwquarantine.Segment(1000 + n)})
			}
			segments := []hwquarantine.Segment{common, fresh}
			b.ReportAllocs()
			for b.Loop() {
				tracker.Decide(start, segments, always)
				tracker.RecordAnswer(start, segments)
			}
		})
	}
	b.Run("report-full", func(b *testing.B) {
		settings := segmentSettings()
		settings.MaxSegments = 4096
		tracker := hwquarantine.NewSegmentTracker(settings)
		for n := range 4096 {
			tracker.RecordCrash(start, start, 1, []hwquarantine.Segment{hwquarantine.Segment(1000 + n)})
		}
		for b.Loop() {
			tracker.Reports(start, 100)
		}
	})
}
