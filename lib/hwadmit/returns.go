package hwadmit

import "time"

// ReturnSchedule spreads the retries of refused callers over the time in which capacity for them becomes free. Callers that all return after the same wait meet the same queue and are refused again, and few try a third time. The zero value is an empty schedule.
type ReturnSchedule struct {
	nextAt time.Time
}

// Reserve returns when a refused caller should retry: not before earliest, and after the callers that were refused before it. Cost is how long its request occupies the capacity for retries. A caller that would have to wait beyond latest is told latest and reserves nothing.
func (s *ReturnSchedule) Reserve(earliest, latest time.Time, cost time.Duration) time.Time {
	at := earliest
	if s.nextAt.After(at) {
		at = s.nextAt
	}
	if at.After(latest) {
		if latest.Before(earliest) {
			return earliest
		}
		return latest
	}
	s.nextAt = at.Add(cost)
	return at
}
