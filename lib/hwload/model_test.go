package hwload_test

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwload"
)

// The model: the routers of a zone, each with a fixed processor that works through one queue in the order of arrival, in steps of virtual time.
const (
	step = time.Millisecond
	// smallCores is the processor of each router, in cores.
	smallCores = 0.144
	// The processor time of each kind of work. admissionCost is a refusal by the admission, which chooses an upstream; a shed request costs its connection and the discarded body.
	tickCost      = 10 * time.Microsecond
	eventCost     = 40 * time.Microsecond
	shedCost      = 60 * time.Microsecond
	admissionCost = 300 * time.Microsecond
	serveCost     = 500 * time.Microsecond
	// streams is the number of streams in progress at each router and eventInterval the time between events of each. They take 0.08 of the processor.
	streams       = 30
	eventInterval = 100 * time.Millisecond
	// acceptQueueLength is the number of requests that wait for a router at most. Further ones are not connected.
	acceptQueueLength = 512
	// gossipInterval is the time between the updates that a router sends, and gossipAge their age on arrival.
	gossipInterval = 220 * time.Millisecond
	gossipAge      = 5 * time.Millisecond
	// checkInterval is the time between two readiness checks of a router, and missedChecks how many it misses before it leaves rotation.
	checkInterval = time.Second
	missedChecks  = 2
	// phaseShift is the shift of gossip and checks from one router to the next.
	phaseShift = 7 * time.Millisecond
	// maxPass is the delay above which an event is late.
	maxPass = 200 * time.Millisecond
	// reactionTime is the time after the beginning of a flood at a router in which events may be late.
	reactionTime = time.Second
	// maxAttempts is the number of attempts after which a client gives up.
	maxAttempts = 4
	// overShareRetry is the Retry-After of a refusal by the admission.
	overShareRetry = 300 * time.Millisecond
)

type jobKind int

const (
	tick jobKind = iota
	event
	request
	flood
)

type job struct {
	kind      jobKind
	arrivedAt time.Time
	// attempts is the number of earlier attempts of a request.
	attempts int
}

type modelRouter struct {
	name    string
	shedder *hwload.Shedder
	state   hwload.State
	queue   []job
	// waiting is the number of requests in the queue.
	waiting int
	// budget is the processor time that is left in this step. It is negative after work that takes longer.
	budget time.Duration
	// due is when the next wake-up is due, and ticked is set from then until it runs.
	due    time.Time
	ticked bool
	// listed is whether the platform has the router in rotation, and missed the number of checks that it has missed.
	listed bool
	missed int
	// frozenUntil is when a frozen process continues.
	frozenUntil time.Time
	// floodSince is when the present flood began here, and floodAt when its last request arrived.
	floodSince time.Time
	floodAt    time.Time
	// maxDelay is the longest delay of an event that was not within the reaction time, and maxAnyDelay that of any.
	maxDelay    time.Duration
	maxAnyDelay time.Duration
	// leftAt are the times at which the router has left rotation, and out the time that it was out.
	leftAt []time.Time
	out    time.Duration
	// overloads is the number of steps in which it was overloaded.
	overloads int
}

type model struct {
	start   time.Time
	now     time.Time
	routers []*modelRouter
	random  *rand.Rand
	// silent is whether the routers hear nothing of each other.
	silent bool
	// arrive adds the requests of one step.
	arrive func()
	// retries are the requests that come again, by the step.
	retries map[time.Duration][]job
	// maxOut is the largest number of routers out of rotation at one time.
	maxOut int
	// sent, served, shed and lost count the requests of the other clients: shed are refusals, and lost requests were given up. floodSeen and floodShed count the attempts of the flood.
	sent, served, shed, lost int
	floodSeen, floodShed     int
}

func newModel(routers int) *model {
	start := time.Unix(1_700_000_000, 0)
	m := &model{
		start:   start,
		now:     start,
		random:  rand.New(rand.NewPCG(1, 2)),
		retries: map[time.Duration][]job{},
	}
	m.arrive = m.sendOthers
	for i := range routers {
		name := "router-" + strconv.Itoa(i)
		m.routers = append(m.routers, &modelRouter{
			name:    name,
			shedder: hwload.NewShedder(name),
			due:     start.Add(hwload.SampleInterval),
			listed:  true,
		})
	}
	return m
}

func (m *model) elapsed() time.Duration { return m.now.Sub(m.start) }

// count returns how many arrivals of a rate per second fall into this step.
func (m *model) count(perSecond float64) int {
	mean := perSecond * step.Seconds()
	whole := int(mean)
	if m.random.Float64() < mean-float64(whole) {
		whole++
	}
	return whole
}

// connect returns the router to which the platform connects a client by its hash: the next one in rotation, or any if fewer than half are.
func (m *model) connect(hash int) *modelRouter {
	listed := 0
	for _, r := range m.routers {
		if r.listed {
			listed++
		}
	}
	for i := range m.routers {
		if r := m.routers[(hash+i)%len(m.routers)]; r.listed || 2*listed < len(m.routers) {
			return r
		}
	}
	return m.routers[hash%len(m.routers)]
}

// send adds requests at a router.
func (m *model) send(r *modelRouter, kind jobKind, count, attempts int) {
	for range count {
		if kind == flood && attempts == 0 {
			if m.now.Sub(r.floodAt) > reactionTime {
				r.floodSince = m.now
			}
			r.floodAt = m.now
		}
		if r.waiting >= acceptQueueLength {
			m.retry(kind, attempts, overShareRetry)
			continue
		}
		r.waiting++
		r.queue = append(r.queue, job{
			kind:      kind,
			arrivedAt: m.now,
			attempts:  attempts,
		})
	}
}

// retry sends a refused request again to another router.
func (m *model) retry(kind jobKind, attempts int, after time.Duration) {
	if attempts+1 == maxAttempts {
		if kind == request {
			m.lost++
		}
		return
	}
	at := (m.elapsed() + max(step, after)).Truncate(step)
	m.retries[at] = append(m.retries[at], job{
		kind:     kind,
		attempts: attempts + 1,
	})
}

const (
	// floodRate is the rate of the client that sends the most, in requests per second.
	floodRate = 600
	// otherRate is the rate of the other clients of each router, in requests per second.
	otherRate = 20
)

// sendOthers adds the requests of the usual clients.
func (m *model) sendOthers() {
	for i := range m.routers {
		count := m.count(otherRate)
		m.sent += count
		m.send(m.connect(i), request, count, 0)
	}
}

// floodWith adds the usual requests and those of a client with the given rate for each of the hashes.
func (m *model) floodWith(rate float64, hashes ...int) func() {
	return func() {
		m.sendOthers()
		for _, hash := range hashes {
			m.send(m.connect(hash), flood, m.count(rate), 0)
		}
	}
}

// run advances the model.
func (m *model) run(duration time.Duration) {
	for end := m.now.Add(duration); m.now.Before(end); m.now = m.now.Add(step) {
		m.arrive()
		for _, again := range m.retries[m.elapsed()] {
			m.send(m.connect(m.random.IntN(len(m.routers))), again.kind, 1, again.attempts)
		}
		delete(m.retries, m.elapsed())
		out := 0
		for i, r := range m.routers {
			m.runRouter(r)
			shifted := m.elapsed() + time.Duration(i)*phaseShift
			if shifted%gossipInterval == 0 {
				m.gossip(r)
			}
			if shifted%checkInterval == 0 {
				r.check()
			}
			if r.state.OutOfRotation {
				out++
				r.out += step
			}
			if r.state.Overloaded {
				r.overloads++
			}
		}
		m.maxOut = max(m.maxOut, out)
	}
}

// gossip delivers a router's state to its peers. Frozen routers send and receive nothing.
func (m *model) gossip(r *modelRouter) {
	if m.silent || m.now.Before(r.frozenUntil) {
		return
	}
	for _, other := range m.routers {
		if other != r && !m.now.Before(other.frozenUntil) {
			other.shedder.SetPeer(m.now.Add(-gossipAge), r.name, hwload.Peer{
				OutOfRotation: r.state.OutOfRotation,
				Overloaded:    r.state.Overloaded,
			})
		}
	}
}

// check asks a router whether it is ready.
func (r *modelRouter) check() {
	if !r.state.OutOfRotation {
		r.missed = 0
		r.listed = true
		return
	}
	r.missed++
	r.listed = r.listed && r.missed < missedChecks
}

// runRouter lets a router work for one step.
func (m *model) runRouter(r *modelRouter) {
	for range m.count(streams / eventInterval.Seconds()) {
		r.queue = append(r.queue, job{
			kind:      event,
			arrivedAt: m.now,
		})
	}
	if m.now.Before(r.frozenUntil) {
		return
	}
	if !r.ticked && !m.now.Before(r.due) {
		r.ticked = true
		r.queue = append(r.queue, job{
			kind: tick,
		})
	}
	r.budget += time.Duration(smallCores * float64(step))
	for r.budget > 0 && len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		r.budget -= m.do(r, next)
	}
	if len(r.queue) == 0 {
		r.budget = min(0, r.budget)
	}
}

// do does one job and returns its processor time.
func (m *model) do(r *modelRouter, next job) time.Duration {
	switch next.kind {
	case tick:
		m.wakeUp(r)
		return tickCost
	case event:
		delay := m.now.Sub(next.arrivedAt)
		r.maxAnyDelay = max(r.maxAnyDelay, delay)
		if next.arrivedAt.Sub(r.floodSince) > reactionTime {
			r.maxDelay = max(r.maxDelay, delay)
		}
		return eventCost
	case flood:
		r.waiting--
		m.floodSeen++
		if m.random.Float64() < r.state.Ratios.OverShare {
			m.floodShed++
			m.retry(flood, next.attempts, hwload.RetryAfter(m.random.Float64()))
			return shedCost
		}
		m.retry(flood, next.attempts, overShareRetry)
		return admissionCost
	default:
		r.waiting--
		if m.random.Float64() < r.state.Ratios.WithinShare {
			m.shed++
			m.retry(request, next.attempts, hwload.RetryAfter(m.random.Float64()))
			return shedCost
		}
		m.served++
		return serveCost
	}
}

// wakeUp records the delay of a periodic wake-up.
func (m *model) wakeUp(r *modelRouter) {
	before := r.state.OutOfRotation
	r.state = r.shedder.RecordDelay(m.now, m.now.Sub(r.due))
	if r.state.OutOfRotation && !before {
		r.leftAt = append(r.leftAt, m.now)
	}
	r.due = m.now.Add(hwload.SampleInterval)
	r.ticked = false
}
