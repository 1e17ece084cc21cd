package hwretry

import (
	"math"
	"time"
)

// FleetSlack is the number of retries that all routers of a fleet may send to one pool within any window, beyond a ratio of the requests.
type FleetSlack struct {
	Retries float64
	Window  time.Duration
}

const (
	// windowsPerGrant is the number of windows whose grants may be used within one window, because a grant may be used for a window.
	windowsPerGrant = 2
	// roundingMargin is the part of the slack left for rounding, in retries, for a fleet of one router. Each router grants whole retries, with an error whose standard deviation is at most a half. Errors of routers add up by their squares, so the margin grows with the square root of the fleet: it is four standard deviations.
	roundingMargin = 2.0
)

// RetriesPerSecond returns one router's part of the slack, in retries per second, in a fleet with the given number of routers.
func (s FleetSlack) RetriesPerSecond(routers int) float64 {
	if s.Window <= 0 {
		return 0
	}
	count := float64(max(1, routers))
	perWindow := (s.Retries - roundingMargin*math.Sqrt(count)) / windowsPerGrant
	return max(0, perWindow) / (count * s.Window.Seconds())
}
