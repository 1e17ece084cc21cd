package hwquarantine

import (
	"maps"
	"slices"
	"time"
)

// Proof is what an execution shows once its upstream has survived it.
type Proof int

const (
	// ProvesNothing means that the execution was cut short: what would have crashed the upstream may not have been reached.
	ProvesNothing Proof = iota
	// ProvesRequest means that the request was executed to its end, with an answer that need not depend on the whole prompt.
	ProvesRequest
	// ProvesSegments means that the request was answered with success, so that all segments of its prompt are harmless too.
	ProvesSegments
)

// Exposure is an execution that has ended. Its request remains a suspect until the upstream is known to have survived it, because a crash may follow the last byte of an answer.
type Exposure struct {
	RequestID string
	// Request identifies the whole request, and Segments are those of its prompt that other requests may share.
	Request  Segment
	Segments []Segment
	// Sends is the number of attempts of the request so far.
	Sends   int
	EndedAt time.Time
	Proof   Proof
}

// ExposureSettings are the limits of Exposures.
type ExposureSettings struct {
	// SettleTime is how long after its end an execution may still crash its upstream.
	SettleTime time.Duration
	// RestartTime is shorter than an upstream takes from a crash until it answers again.
	RestartTime time.Duration
	// TTL is how long an exposure is kept without a sign of life or of a crash.
	TTL time.Duration
	// MaxExposures limits the exposures in memory, some 150 bytes each.
	MaxExposures int
}

// Exposures keeps the executions of which it is not known yet whether their upstreams survived them, by lifetime of the upstream. It is not safe for concurrent use.
type Exposures[L comparable] struct {
	settings   ExposureSettings
	byLifetime map[L][]Exposure
	count      int
	prunedAt   time.Time
}

// NewExposures returns an empty collection.
func NewExposures[L comparable](settings ExposureSettings) *Exposures[L] {
	return &Exposures[L]{
		settings:   settings,
		byLifetime: map[L][]Exposure{},
	}
}

// Add adds an execution that has ended. If there are too many it is not kept, and then neither clears nor incriminates its request.
func (x *Exposures[L]) Add(now time.Time, lifetime L, exposure Exposure) {
	if now.Sub(x.prunedAt) >= pruneInterval {
		x.prune(now)
	}
	if x.count >= x.settings.MaxExposures {
		return
	}
	x.byLifetime[lifetime] = append(x.byLifetime[lifetime], exposure)
	x.count++
}

// Survived removes and returns the exposures that a lifetime has outlived, given that a request that was sent at sentAt has just been seen to make progress there.
//
// A sign of life counts if no restart fits between the exposure and it: the request was under way before the exposure ended, or too little time has passed since.
func (x *Exposures[L]) Survived(now time.Time, lifetime L, sentAt time.Time) []Exposure {
	pending := x.byLifetime[lifetime]
	if len(pending) == 0 || now.Sub(pending[0].EndedAt) < x.settings.SettleTime {
		return nil
	}
	var survived []Exposure
	pending = slices.DeleteFunc(pending, func(e Exposure) bool {
		age := now.Sub(e.EndedAt)
		if age < x.settings.SettleTime || age >= x.settings.RestartTime && sentAt.After(e.EndedAt) {
			return false
		}
		survived = append(survived, e)
		return true
	})
	x.replace(lifetime, pending)
	x.count -= len(survived)
	return survived
}

// Settled returns the exposures that a sign of life of the lifetime would now clear.
func (x *Exposures[L]) Settled(now time.Time, lifetime L) []Exposure {
	var settled []Exposure
	for _, e := range x.byLifetime[lifetime] {
		if now.Sub(e.EndedAt) >= x.settings.SettleTime {
			settled = append(settled, e)
		}
	}
	return settled
}

// Take removes and returns the exposures of a lifetime that has ended. All of them are suspects.
func (x *Exposures[L]) Take(now time.Time, lifetime L) []Exposure {
	x.prune(now)
	suspects := x.byLifetime[lifetime]
	x.count -= len(suspects)
	delete(x.byLifetime, lifetime)
	return suspects
}

func (x *Exposures[L]) replace(lifetime L, pending []Exposure) {
	if len(pending) == 0 {
		delete(x.byLifetime, lifetime)
		return
	}
	x.byLifetime[lifetime] = pending
}

// prune removes what has expired.
func (x *Exposures[L]) prune(now time.Time) {
	x.prunedAt = now
	x.count = 0
	for lifetime := range maps.Clone(x.byLifetime) {
		pending := slices.DeleteFunc(x.byLifetime[lifetime], func(e Exposure) bool { return now.Sub(e.EndedAt) > x.settings.TTL })
		x.replace(lifetime, pending)
		x.count += len(pending)
	}
}

// Suspects returns all that may crash the upstream: the segments of the prompt and the whole request.
func (e Exposure) Suspects() []Segment { return append(slices.Clone(e.Segments), e.Request) }

// Survived returns what the execution clears once its upstream has survived it.
func (e Exposure) Survived() []Segment {
	switch e.Proof {
	case ProvesRequest:
		return []Segment{e.Request}
	case ProvesSegments:
		return e.Suspects()
	default:
		return nil
	}
}

// Count returns the number of exposures in memory.
func (x *Exposures[L]) Count() int { return x.count }
