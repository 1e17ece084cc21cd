package hwlimit

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRetryAfter limits what a Retry-After header can ask for; an unlimited number could overflow a time.Duration.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter reads the Retry-After headers of a response: seconds, which may have a fraction, or a date, which is relative to the upstream's own Date header because clocks differ. The longest of several counts. Unusable reports that one of them is neither.
func ParseRetryAfter(header http.Header) (pause time.Duration, unusable bool) {
	for _, value := range header.Values("Retry-After") {
		value = strings.TrimSpace(value)
		var next time.Duration
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds >= 0 && !math.IsInf(seconds, 0) {
			next = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
		} else if at, sentAt, valid := parseDates(value, header.Get("Date")); valid {
			next = min(max(0, at.Sub(sentAt)), maxRetryAfter)
		} else {
			unusable = true
		}
		pause = max(pause, next)
	}
	return pause, unusable
}

// parseDates reads two dates in a format of HTTP and reports whether both are valid.
func parseDates(first, second string) (a, b time.Time, valid bool) {
	a, firstErr := http.ParseTime(first)
	b, secondErr := http.ParseTime(second)
	return a, b, firstErr == nil && secondErr == nil
}
