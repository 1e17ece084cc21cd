package hwload

import "time"

const (
	// fullMemoryRatio is the part of the limit on a process's memory from which the process takes no more work. What is left is for the requests in flight, and for those that arrive until the next reading: a router with a core takes some 5 MB within SampleInterval.
	fullMemoryRatio = 0.85
	// freeMemoryRatio is the part of the limit below which it takes work again. It is above what the collector's own limit and the program's file take, which may stay in use without any request.
	freeMemoryRatio = 0.75
	// memoryHold is how long memory must have been below freeMemoryRatio. Clients that were refused return within maxRetryAfter.
	memoryHold = 500 * time.Millisecond
	// reclaimInterval is the time between two collections that return memory to the system while memory is short: without requests nothing else would begin one.
	reclaimInterval = 5 * time.Second
)

// Memory decides whether a process has memory for more work, from readings of the memory that it takes.
type Memory struct {
	// limit is in bytes.
	limit int64
	full  bool
	// lowSince is since when memory has been below freeMemoryRatio, or zero.
	lowSince    time.Time
	reclaimedAt time.Time
}

// NewMemory returns a Memory for a limit in bytes; 0 means no limit.
func NewMemory(limit int64) *Memory {
	return &Memory{
		limit: limit,
	}
}

// Record adds a reading, in bytes, and reports whether the process has no memory for more work.
func (m *Memory) Record(now time.Time, used int64) (full bool) {
	part := 0.0
	if m.limit > 0 {
		part = float64(used) / float64(m.limit)
	}
	if part >= freeMemoryRatio {
		m.lowSince = time.Time{}
	} else if m.lowSince.IsZero() {
		m.lowSince = now
	}
	switch {
	case part >= fullMemoryRatio:
		m.full = true
	case !m.lowSince.IsZero() && now.Sub(m.lowSince) >= memoryHold:
		m.full = false
	}
	return m.full
}

// TakeReclaim reports whether the caller should collect garbage and return memory to the system now.
func (m *Memory) TakeReclaim(now time.Time) bool {
	if !m.full || now.Sub(m.reclaimedAt) < reclaimInterval {
		return false
	}
	m.reclaimedAt = now
	return true
}
