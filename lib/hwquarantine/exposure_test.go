package hwquarantine_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

func exposureSettings() hwquarantine.ExposureSettings {
	return hwquarantine.ExposureSettings{
		SettleTime:   time.Second,
		RestartTime:  2 * time.Second,
		TTL:          5 * time.Second,
		MaxExposures: 1000,
	}
}

func ended(ms int) hwquarantine.Exposure {
	return hwquarantine.Exposure{
		Segments: []hwquarantine.Segment{guilty},
		EndedAt:  at(ms),
		Proof:    hwquarantine.ProvesSegments,
	}
}

// An engine that crashed right after the end of an answer had already cleared the segment at which it crashed.
func TestAnAnswerProvesNothingBeforeItsUpstreamHasSettled(t *testing.T) {
	x := hwquarantine.NewExposures[string](exposureSettings())
	x.Add(at(0), "a", ended(0))
	assert.Empty(t, x.Survived(at(900), "a", at(-100)), "the crash may still follow")
	assert.Empty(t, x.Survived(at(1500), "b", at(-100)), "another upstream lives")
	assert.Len(t, x.Survived(at(1000), "a", at(900)), 1)
	assert.Empty(t, x.Survived(at(1100), "a", at(900)), "once")
}

// A sign of life some seconds later came from the process that had been started after the crash.
func TestASignOfLifeAfterARestartProvesNothing(t *testing.T) {
	x := hwquarantine.NewExposures[string](exposureSettings())
	x.Add(at(0), "a", ended(0))
	assert.Empty(t, x.Survived(at(3500), "a", at(3400)))
	assert.Len(t, x.Survived(at(3600), "a", at(-10)), 1, "this request was there all the time")
}

func TestExposuresAreBounded(t *testing.T) {
	x := hwquarantine.NewExposures[string](exposureSettings())
	for n := range 2000 {
		x.Add(at(0), "a", ended(0))
		x.Add(at(n), "b", ended(n))
	}
	assert.LessOrEqual(t, len(x.Take(at(2000), "a"))+len(x.Take(at(2000), "b")), 1000)
	x.Add(at(2000), "a", ended(2000))
	assert.Empty(t, x.Take(at(7001), "a"), "expired")
}

// simulation is a fleet in virtual time, in steps of simulationStep: routers that share their reports over a network with losses, and engines that crash at the guilty segment, each time crashDelay after the beginning of the answer, and for other reasons.
type simulation struct {
	t          *rapid.T
	now        int
	routers    []*simulatedRouter
	names      []string
	engines    []*simulatedEngine
	crashDelay int
	// guiltyCrashes holds the times of the crashes at the guilty segment.
	guiltyCrashes []int
	// lateGuilty counts the requests with the guilty segment that were sent after the limit; sound and soundServed the others once sound requests must be served again.
	lateGuilty  int
	sound       int
	soundServed int
}

type simulatedRouter struct {
	segmentFixture
	name      string
	exposures *hwquarantine.Exposures[int]
}

type simulatedEngine struct {
	// lifetime is 0 while the engine is down until backAt.
	lifetime int
	backAt   int
	runs     []simulatedRun
}

// simulatedRun is a request at an engine. It crashes the engine at crashAt, unless that is 0.
type simulatedRun struct {
	router   *simulatedRouter
	segments []hwquarantine.Segment
	sentAt   int
	endAt    int
	crashAt  int
}

const (
	simulationStep = 50
	// contactTime, and twice that, are the platform's limits, in milliseconds: what is sent later than it after the fifth crash counts, and sound requests must be served again after twice that.
	contactTime = 3000
	// survivalCheckTime is when a router checks whether an engine has survived a request, in milliseconds after its end.
	survivalCheckTime = 1200
	// restartTime is how long an engine is away after a crash, in milliseconds.
	restartTime = 3000
)

// isLate reports whether the time since the fifth crash exceeds the limit.
func (s *simulation) isLate(limit int) bool {
	return len(s.guiltyCrashes) >= 5 && s.now > s.guiltyCrashes[4]+limit
}

// send sends a request to a random engine if the router accepts it.
func (s *simulation) send(isGuilty bool, segments ...hwquarantine.Segment) {
	counts := !isGuilty && s.isLate(2*contactTime)
	if counts {
		s.sound++
	}
	router := s.routers[rapid.IntRange(0, len(s.routers)-1).Draw(s.t, "router")]
	verdict := router.Decide(at(s.now), segments, func(segment hwquarantine.Segment, turn int) bool {
		return hwquarantine.TrialOwner(s.names, segment, turn) == router.name
	})
	var up []*simulatedEngine
	for _, e := range s.engines {
		if e.lifetime != 0 {
			up = append(up, e)
		}
	}
	if verdict.Refused || len(up) == 0 {
		return
	}
	if verdict.Trial {
		router.BeginTrial(at(s.now), segments)
	}
	run := simulatedRun{
		router:   router,
		segments: segments,
		sentAt:   s.now,
		endAt:    s.now + rapid.IntRange(2, 30).Draw(s.t, "length")*simulationStep,
	}
	if isGuilty {
		run.endAt = max(run.endAt, s.now+s.crashDelay-900)
		run.crashAt = s.now + s.crashDelay
		if s.isLate(contactTime) {
			s.lateGuilty++
		}
	}
	if counts {
		s.soundServed++
	}
	e := up[rapid.IntRange(0, len(up)-1).Draw(s.t, "engine")]
	e.runs = append(e.runs, run)
}

// crash ends an engine. Every router that had something in flight or undecided there notices.
func (s *simulation) crash(e *simulatedEngine) {
	for _, run := range e.runs {
		if run.endAt > s.now {
			run.router.RecordCrash(at(s.now), at(s.now), hwquarantine.UpstreamHash(e.lifetime%100), run.segments)
		}
	}
	for _, r := range s.routers {
		for _, x := range r.exposures.Take(at(s.now), e.lifetime) {
			r.RecordCrash(at(s.now), at(s.now), hwquarantine.UpstreamHash(e.lifetime%100), x.Segments)
		}
	}
	e.lifetime, e.runs, e.backAt = 0, nil, s.now+restartTime
}

func (s *simulation) recordSurvival(r *simulatedRouter, lifetime, sentAt int) {
	for _, x := range r.exposures.Survived(at(s.now), lifetime, at(sentAt)) {
		r.RecordAnswer(at(s.now), x.Segments)
	}
}

// step lets the runs of an engine make progress.
func (s *simulation) step(e *simulatedEngine) {
	var running []simulatedRun
	for _, run := range e.runs {
		if run.crashAt != 0 && s.now >= run.crashAt {
			s.guiltyCrashes = append(s.guiltyCrashes, s.now)
			s.crash(e)
			return
		}
		if run.endAt == s.now {
			run.router.exposures.Add(at(s.now), e.lifetime, hwquarantine.Exposure{
				Segments: run.segments,
				EndedAt:  at(s.now),
				Proof:    hwquarantine.ProvesSegments,
			})
		}
		if run.endAt >= s.now {
			s.recordSurvival(run.router, e.lifetime, run.sentAt)
		}
		if s.now == run.endAt+survivalCheckTime {
			s.recordSurvival(run.router, e.lifetime, s.now)
		}
		if run.endAt+survivalCheckTime > s.now || run.crashAt != 0 {
			running = append(running, run)
		}
	}
	e.runs = running
}

func (s *simulation) exchangeReports() {
	for _, sender := range s.routers {
		reports, _ := sender.Reports(at(s.now), 100)
		for _, receiver := range s.routers {
			if receiver != sender && rapid.IntRange(0, 9).Draw(s.t, "loss") > 0 {
				receiver.Merge(at(s.now), reports)
			}
		}
	}
}

// Wherever in the answer, or shortly after it, a segment crashes its engine, few requests with it reach engines once five have crashed, and sound requests of the same prompts go on.
func TestASegmentIsHeldWhereverInTheAnswerItCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t:          t,
			crashDelay: rapid.IntRange(0, 40).Draw(t, "crash delay") * simulationStep,
		}
		for n := range rapid.IntRange(1, 4).Draw(t, "routers") {
			s.names = append(s.names, strconv.Itoa(n))
			s.routers = append(s.routers, &simulatedRouter{
				segmentFixture: newSegmentFixture(),
				name:           strconv.Itoa(n),
				exposures:      hwquarantine.NewExposures[int](exposureSettings()),
			})
		}
		lifetimes := rapid.IntRange(2, 8).Draw(t, "engines")
		for n := range lifetimes {
			s.engines = append(s.engines, &simulatedEngine{
				lifetime: n + 1,
			})
		}
		guiltyInterval := rapid.IntRange(2, 60).Draw(t, "guilty interval") * simulationStep
		otherCrashes := rapid.IntRange(0, 3).Draw(t, "other crashes")
		for ; s.now < 60_000; s.now += simulationStep {
			for _, e := range s.engines {
				if e.lifetime == 0 && s.now >= e.backAt {
					lifetimes++
					e.lifetime = lifetimes
				}
				s.step(e)
			}
			if s.now%100 == 0 {
				s.send(false, common, hwquarantine.Segment(100+rapid.IntRange(0, 5).Draw(t, "popular")))
				s.exchangeReports()
			}
			if s.now >= 4000 && s.now%guiltyInterval == 0 {
				s.send(true, common, guilty)
			}
			if otherCrashes > 0 && s.now%(20_000/otherCrashes) == 0 {
				if e := s.engines[rapid.IntRange(0, len(s.engines)-1).Draw(t, "crashed")]; e.lifetime != 0 {
					s.crash(e)
				}
			}
		}
		if s.lateGuilty > 3 {
			t.Fatalf("%d requests with the segment reached engines late", s.lateGuilty)
		}
		if s.sound >= 20 && s.soundServed*2 < s.sound {
			t.Fatalf("%d of %d sound requests were served", s.soundServed, s.sound)
		}
	})
}
