package hwload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwload"
)

// zoneSize is the number of routers in a zone of deployment B.
const zoneSize = 22

// warmUp is the time before the load of a test begins.
const warmUp = 2 * time.Second

// unrefusableRate is the rate of a client whose requests a small router can't even refuse, in requests per second.
const unrefusableRate = 4 * floodRate

// maxOutRatio is the part of the time for which a router may be out of rotation.
const maxOutRatio = 1.0 / 8

// Guards against events that are relayed late because one client sends its requests to one small router: their delay must stay below 200 ms after the first second. The other clients must be served, and no router may be out of rotation for an eighth of the time.
func TestFloodOfOneClientDelaysNoEvents(t *testing.T) {
	for name, rate := range map[string]float64{
		"little more than the processor": 0.7 * floodRate,
		"busiest day":                    floodRate,
		"twice as many":                  2 * floodRate,
	} {
		t.Run(name, func(t *testing.T) {
			const duration = 34 * time.Second
			m := newModel(zoneSize)
			m.run(warmUp)
			m.arrive = m.floodWith(rate, 0)
			m.run(duration)
			for _, r := range m.routers {
				assert.Less(t, r.maxDelay, maxPass, r.name)
				assert.Less(t, r.out.Seconds(), maxOutRatio*duration.Seconds(), r.name)
			}
			assert.Zero(t, m.lost, "requests of other clients")
			assert.Less(t, float64(m.shed), 0.01*float64(m.sent), "refusals of other clients")
			assert.Positive(t, m.floodShed)
		})
	}
}

// Guards against a test of the flood that passes without load shedding: without peers nothing is shed, and the events must be late.
func TestFloodDelaysEventsWithoutShedding(t *testing.T) {
	m := newModel(1)
	m.run(warmUp)
	m.arrive = m.floodWith(floodRate, 0)
	m.run(10 * time.Second)
	assert.Zero(t, m.floodShed+m.shed)
	assert.Greater(t, m.routers[0].maxDelay, maxPass)
}

// Guards against a router that keeps shedding after a burst: one of 2 s must delay no events after its first second, and 10 s later nothing may be left of it.
func TestShortBurstIsForgotten(t *testing.T) {
	m := newModel(zoneSize)
	m.run(warmUp)
	m.arrive = m.floodWith(floodRate, 0)
	m.run(2 * time.Second)
	m.arrive = m.sendOthers
	m.run(10 * time.Second)
	assert.Less(t, m.routers[0].maxDelay, maxPass)
	assert.Positive(t, m.floodShed)
	assert.Zero(t, m.lost)
	for _, r := range m.routers {
		assert.False(t, r.state.Overloaded, r.name)
		assert.Empty(t, r.leftAt, r.name)
	}
	shed := m.shed
	m.run(5 * time.Second)
	assert.Equal(t, shed, m.shed)
}

// Guards against a frozen process that leaves rotation when it continues, or sheds more than the work that has waited for it justifies: its first wake-up is late by the whole pause, and the next one by that work.
func TestFrozenProcessStaysInRotation(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 30 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			m := newModel(zoneSize)
			m.run(warmUp)
			m.routers[0].frozenUntil = m.now.Add(pause)
			m.run(pause)
			sent := m.sent
			m.run(15 * time.Second)
			assert.Empty(t, m.routers[0].leftAt)
			assert.False(t, m.routers[0].state.Overloaded)
			assert.Less(t, float64(m.shed), 0.01*float64(m.sent-sent))
		})
	}
}

// Guards against overload by a single late wake-up of a process that was frozen and has nothing to catch up.
func TestSingleLateSampleIsNoOverload(t *testing.T) {
	var c hwload.Controller
	now := time.Unix(1_700_000_000, 0)
	for range 50 {
		now = now.Add(hwload.SampleInterval)
		c.Record(now, 0)
	}
	now = now.Add(time.Minute)
	c.Record(now, time.Minute)
	for range 200 {
		assert.False(t, c.Overloaded())
		assert.Less(t, c.Mean(), hwload.MaxDelay)
		now = now.Add(hwload.SampleInterval)
		c.Record(now, 0)
	}
}

// Guards against a router that leaves and returns all the time because its clients are hashed to it again: its hold time must double.
func TestReturningClientsDoNotMakeRouterFlap(t *testing.T) {
	m := newModel(zoneSize)
	m.run(warmUp)
	m.arrive = m.floodWith(unrefusableRate, 0)
	m.run(2 * time.Minute)
	left := m.routers[0].leftAt
	require.GreaterOrEqual(t, len(left), 3)
	assert.Less(t, len(left), 8)
	assert.Greater(t, left[2].Sub(left[1]), left[1].Sub(left[0])+4*time.Second)
}

// Guards against a zone that takes itself out of rotation: if all routers are overloaded at once, at least 60 % must stay in rotation at any time.
func TestOverloadedZoneStaysInRotation(t *testing.T) {
	for _, routers := range []int{2, 3, 5, 10, zoneSize} {
		m := newModel(routers)
		m.run(warmUp)
		hashes := make([]int, routers)
		for i := range hashes {
			hashes[i] = i
		}
		m.arrive = m.floodWith(unrefusableRate, hashes...)
		m.run(30 * time.Second)
		assert.Less(t, float64(m.maxOut), 0.4*float64(routers))
		if routers > 2 {
			assert.Positive(t, m.maxOut)
		}
	}
}

// Guards against shedding without another router that serves the requests: while peers are silent, nothing is shed and no router leaves rotation. A router that is out when they fall silent returns.
func TestSilentPeersEndShedding(t *testing.T) {
	m := newModel(zoneSize)
	m.silent = true
	m.run(warmUp)
	m.arrive = m.floodWith(2*floodRate, 0)
	m.run(10 * time.Second)
	assert.True(t, m.routers[0].state.Overloaded)
	assert.Zero(t, m.floodShed+m.shed)
	assert.Zero(t, m.maxOut)

	m = newModel(zoneSize)
	m.run(warmUp)
	m.arrive = m.floodWith(unrefusableRate, 0)
	for !m.routers[0].state.OutOfRotation && m.elapsed() < time.Minute {
		m.run(step)
	}
	require.True(t, m.routers[0].state.OutOfRotation)
	m.silent = true
	m.run(4 * time.Second)
	for _, r := range m.routers {
		assert.False(t, r.state.OutOfRotation, r.name)
		assert.False(t, r.state.Shedding, r.name)
	}
}

// hearPeers lets a router hear two peers with room.
func hearPeers(s *hwload.Shedder, now time.Time) {
	for _, name := range []string{"peer-1", "peer-2"} {
		s.SetPeer(now, name, hwload.Peer{})
	}
}

// Guards against a hold time that does not follow its rule: 5 s, doubled up to 20 s at each overload within 10 s of a return, and 5 s again after a longer time in rotation.
func TestHoldTimeDoublesAfterRelapse(t *testing.T) {
	s := hwload.NewShedder("router")
	now := time.Unix(1_700_000_000, 0)
	record := func(delay time.Duration) hwload.State {
		now = now.Add(hwload.SampleInterval)
		hearPeers(s, now)
		return s.RecordDelay(now, delay)
	}
	for _, c := range []struct {
		pause time.Duration
		hold  time.Duration
	}{
		{pause: time.Second, hold: 5 * time.Second},
		{pause: time.Second, hold: 10 * time.Second},
		{pause: 5 * time.Second, hold: 20 * time.Second},
		{pause: time.Second, hold: 20 * time.Second},
		{pause: 11 * time.Second, hold: 5 * time.Second},
	} {
		for range c.pause / hwload.SampleInterval {
			require.False(t, record(0).OutOfRotation)
		}
		for i := 0; !record(time.Second).OutOfRotation; i++ {
			require.Less(t, i, 500, "the router must leave")
		}
		for record(0).Overloaded {
		}
		ended := now
		for record(0).OutOfRotation {
		}
		assert.InDelta(t, c.hold.Seconds(), now.Sub(ended).Seconds(), 0.1)
	}
}

// Guards against a router that leaves rotation or sheds although it does not know enough others: it needs one with room to shed, and two in its zone to leave.
func TestPeersThatAreNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		peers    []hwload.Peer
		shedding bool
		out      bool
	}{
		"none":                           {},
		"one":                            {peers: []hwload.Peer{{}}, shedding: true},
		"two":                            {peers: []hwload.Peer{{}, {}}, shedding: true, out: true},
		"one of two is out":              {peers: []hwload.Peer{{OutOfRotation: true}, {}}, shedding: true},
		"no room":                        {peers: []hwload.Peer{{OutOfRotation: true}, {Overloaded: true}, {Overloaded: true}, {Overloaded: true}}},
		"a quarter is out, one has room": {peers: []hwload.Peer{{OutOfRotation: true}, {}, {}, {}, {}, {}, {}}, shedding: true, out: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := hwload.NewShedder("router")
			now := time.Unix(1_700_000_000, 0)
			var state hwload.State
			for range 500 {
				now = now.Add(hwload.SampleInterval)
				for i, peer := range c.peers {
					s.SetPeer(now, string(rune('a'+i)), peer)
				}
				state = s.RecordDelay(now, time.Second)
			}
			assert.True(t, state.Overloaded)
			assert.Equal(t, c.shedding, state.Shedding)
			assert.Equal(t, c.shedding, state.Ratios == hwload.Ratios{OverShare: 1, WithinShare: 1})
			assert.Equal(t, c.out, state.OutOfRotation)
		})
	}
}

// The Retry-After of a shed request is long enough for a connection to another router, and short because that one has room.
func ExampleRetryAfter() {
	fmt.Println(hwload.RetryAfter(0), hwload.RetryAfter(0.5))
	// Output: 20ms 70ms
}
