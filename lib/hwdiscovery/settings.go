package hwdiscovery

import "time"

// Settings are the limits and times of a Keeper. All times between calls are jittered by a quarter either way.
type Settings struct {
	// Entries is the number of entries that a fleet keeps. MinEntries is the number below which any router that reads so twice in a row adds its own, whatever the ranking says: routers of an earlier release keep none, and the store may turn some away.
	Entries    int
	MinEntries int
	// TTL is the lifetime of an entry that is not renewed, RenewInterval the time between two renewals.
	TTL           time.Duration
	RenewInterval time.Duration
	// ReadInterval is the time between two reads of a router that keeps an entry. A router without one reads every IdleReadInterval, or IdleReadIntervalPerRouter times the number of routers if that is longer.
	ReadInterval              time.Duration
	IdleReadInterval          time.Duration
	IdleReadIntervalPerRouter time.Duration
	// A router that hears of no peer reads first after AloneReadInterval, then after twice that, and so on up to MaxAloneReadInterval.
	AloneReadInterval    time.Duration
	MaxAloneReadInterval time.Duration
	// SettleTime is how long after its start a router waits for the answers of its seeds. The first call follows within StartJitter, so that the first of many routers that start together have entered themselves before the others read.
	SettleTime  time.Duration
	StartJitter time.Duration
	// CheckInterval is the time between two looks at whether a call is due.
	CheckInterval time.Duration
	// RetryInterval is the wait after a failed call. It doubles with each failure in a row, up to MaxRetryInterval.
	RetryInterval    time.Duration
	MaxRetryInterval time.Duration
	// Timeout bounds one call.
	Timeout time.Duration
}

// view is what decides whether a router keeps an entry.
type view struct {
	// peers is the number of peers that were heard lately, rank how many of them come before this router.
	peers, rank int
	// others is the number of usable entries of other routers at the last read, or unknown.
	others int
	// readsOfFew counts the reads in a row that returned fewer than MinEntries of other routers, readsAlone the reads since the last peer was heard.
	readsOfFew int
	readsAlone int
	hasEntry   bool
}

// unknown is the number of entries before they were read.
const unknown = -1

// keepsEntry reports whether a router keeps an entry. A router that hears of nobody first contacts those whose entries it has read; an entry of its own is for a fleet that it can't reach by them.
func (s Settings) keepsEntry(v view) bool {
	switch {
	case v.peers == 0:
		return v.others == 0 || v.readsAlone > 1
	case v.rank < s.Entries:
		return true
	case v.hasEntry:
		return v.others != unknown && v.others < s.Entries
	default:
		return v.readsOfFew > 1
	}
}

// readInterval returns the time until the next read, without jitter.
func (s Settings) readInterval(v view) time.Duration {
	switch {
	case v.peers == 0:
		return doubled(s.AloneReadInterval, v.readsAlone-1, s.MaxAloneReadInterval)
	case s.keepsEntry(v) || v.readsOfFew > 0:
		return s.ReadInterval
	default:
		return max(s.IdleReadInterval, time.Duration(1+v.peers)*s.IdleReadIntervalPerRouter)
	}
}

// doubled returns a duration doubled a number of times, at most the limit.
func doubled(d time.Duration, times int, limit time.Duration) time.Duration {
	for range times {
		if d *= 2; d >= limit {
			return limit
		}
	}
	return d
}

// jittered returns a duration changed by up to a quarter either way, by a random number from 0 to 1.
func jittered(d time.Duration, random float64) time.Duration {
	return time.Duration(float64(d) * (0.75 + random/2))
}
