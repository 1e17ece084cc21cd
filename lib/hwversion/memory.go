// Package hwversion knows at which software version of a pool's upstreams streams began. What two versions write does not fit together, so a stream may go on only at the version that began it.
package hwversion

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// StreamID identifies a stream by the request that brought its first event.
type StreamID uint64

// HashRequest returns the ID of the stream that a request of an account began.
func HashRequest(account, request string) StreamID {
	return StreamID(xxhash.Sum64String(account + "\x00" + request))
}

// Origin is where a stream began.
type Origin struct {
	Version hwplace.VersionHash
	// Upstream is the upstream that sent the first event, or 0 if that is not known.
	Upstream hwplace.IDHash
	// BeganAt is when the first event arrived, or zero if that is not known.
	BeganAt time.Time
	// Conflicting means that two origins were stated for the stream, so neither can be used.
	Conflicting bool
}

// Stream is a stream that has begun.
type Stream struct {
	ID     StreamID
	Origin Origin
}

// Memory holds the origins of the latest streams. It is not safe for concurrent use.
type Memory struct {
	maxStreams int
	byID       map[StreamID]remembered
	// queue holds each stream once, in the order in which they were added. One that was added again meanwhile moves to the end when it comes to the front.
	queue []queued
}

// remembered is an origin in memory. Own means that this router served the stream; takeUps counts how often it was taken up here; addedAt is when it was last added.
type remembered struct {
	origin  Origin
	own     bool
	takeUps uint8
	addedAt time.Time
}

type queued struct {
	id      StreamID
	addedAt time.Time
}

// NewMemory returns a memory for at most the given number of streams. Beyond it, the oldest are forgotten.
func NewMemory(maxStreams int) *Memory {
	return &Memory{
		maxStreams: maxStreams,
		byID:       map[StreamID]remembered{},
	}
}

// Add remembers where a stream began, for longer if it is known already, because it still goes on. Own means that this router served it.
func (m *Memory) Add(now time.Time, stream Stream, own bool) {
	known, found := m.byID[stream.ID]
	if found {
		known.own = known.own || own
		known.addedAt = now
		known.origin.Conflicting = known.origin.Conflicting || known.origin.Version != stream.Origin.Version
		m.byID[stream.ID] = known
		return
	}
	m.byID[stream.ID] = remembered{
		origin:  stream.Origin,
		own:     own,
		addedAt: now,
	}
	m.queue = append(m.queue, queued{
		id:      stream.ID,
		addedAt: now,
	})
	for len(m.queue) > m.maxStreams {
		m.forgetOldest()
	}
}

// Find returns where a stream began, or false if that is not known.
func (m *Memory) Find(id StreamID) (Origin, bool) {
	known, found := m.byID[id]
	return known.origin, found
}

// CountTakeUp counts that a stream is taken up and returns how often that has happened. It returns 0 if the stream is not known.
func (m *Memory) CountTakeUp(id StreamID) int {
	known, found := m.byID[id]
	if !found {
		return 0
	}
	if known.takeUps < math.MaxUint8 {
		known.takeUps++
	}
	m.byID[id] = known
	return int(known.takeUps)
}

// Own returns the streams that this router served and that began at one of the wanted versions.
func (m *Memory) Own(wanted func(hwplace.VersionHash) bool) []Stream {
	var streams []Stream
	for _, q := range m.queue {
		if known := m.byID[q.id]; known.own && wanted(known.origin.Version) {
			streams = append(streams, Stream{
				ID:     q.id,
				Origin: known.origin,
			})
		}
	}
	return streams
}

// Expire forgets the streams that were added longer ago than the given time.
func (m *Memory) Expire(now time.Time, lifetime time.Duration) {
	for len(m.queue) > 0 && now.Sub(m.queue[0].addedAt) > lifetime {
		m.forgetOldest()
	}
}

// Len returns the number of streams in memory.
func (m *Memory) Len() int { return len(m.byID) }

// forgetOldest forgets the stream at the front of the queue, or moves it to the end if it was added again.
func (m *Memory) forgetOldest() {
	oldest := m.queue[0]
	m.queue = m.queue[1:]
	if addedAt := m.byID[oldest.id].addedAt; addedAt.After(oldest.addedAt) {
		oldest.addedAt = addedAt
		m.queue = append(m.queue, oldest)
		return
	}
	delete(m.byID, oldest.id)
}
