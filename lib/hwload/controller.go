// Package hwload decides which requests a router with little processor time sheds, and when it leaves rotation for load. It measures load by the scheduling delay: how late a periodic wake-up runs.
//
// A Controller turns delay samples into shed ratios and an overloaded state, a Rotation decides with the states of the peers in the zone whether the router is in rotation, and a Shedder joins the two.
package hwload

import (
	"math"
	"time"
)

// MaxDelay is the bound on the mean scheduling delay: a quarter of the 200 ms within which an event must be relayed, because an event is delayed at several wake-ups.
const MaxDelay = 50 * time.Millisecond

// SampleInterval is the time between two measured wake-ups. It is well below MaxDelay, and 50 wake-ups in a second cost about a thousandth of a core.
const SampleInterval = 20 * time.Millisecond

const (
	// maxSample is the largest delay that a sample counts for, so that one wake-up of a frozen process is no overload.
	maxSample = 200 * time.Millisecond
	// averagingTime is the time constant of the mean. It covers 15 samples of an idle router.
	averagingTime = 300 * time.Millisecond
	// maxFirstWeight is the longest time that the first late sample after an on-time one stands for. The mean then stays below MaxDelay: 200 ms x (1 - exp(-50/300)) is 31 ms.
	maxFirstWeight = 50 * time.Millisecond
	// maxWeight is the longest time that a later sample stands for. Samples of an overloaded router are as far apart as they are late.
	maxWeight = averagingTime
	// raiseDelay is the mean delay above which pressure rises, so that it settles below MaxDelay. lowerDelay is the one below which pressure falls; it is well above the delay of an idle router.
	raiseDelay = MaxDelay / 2
	lowerDelay = MaxDelay / 4
	// raiseRate is the rise of pressure in a second at a mean delay of twice raiseDelay, and maxRaiseRate the limit for longer delays, which reaches all requests in a fifth of a second.
	raiseRate    = 2.0
	maxRaiseRate = 10.0
	// maxRaiseWeight is the longest time that a sample stands for when it raises pressure, so that the work that waited for a frozen process, which makes one more wake-up late, sheds no requests of accounts within their share.
	maxRaiseWeight = 100 * time.Millisecond
	// lowerRate is the fall of pressure in a second. The delay grows by the square of the time since pressure became too low; at higher rates it passes MaxDelay before pressure rises again.
	lowerRate = 0.3
	// maxPressure sheds all requests.
	maxPressure = 2.0
	// fullOverShare is the pressure at which all requests of accounts over their share are shed.
	fullOverShare = 1.0
	// leavePressure is the pressure from which a router that is still delayed leaves rotation: it sheds all requests. Its clients are hashed to the next router, which is overloaded in turn, so that leaving at a lower pressure delays more events than it helps; docs/design/shedding.md has the figures.
	leavePressure = maxPressure
)

// Ratios are the parts of the requests that are shed, from 0 to 1.
type Ratios struct {
	// OverShare applies to accounts over their share. They are shed first: WithinShare is 0 until OverShare is 1.
	OverShare float64
	// WithinShare applies to all other requests.
	WithinShare float64
}

// Controller controls the shed ratios of a router from its scheduling delay.
//
// Its control variable is a pressure: up to 1 it is the shed ratio of accounts over their share, and what exceeds 1 is the shed ratio of all others. It rises with the mean delay while wake-ups are late, and falls at a low, constant rate.
type Controller struct {
	recordedAt time.Time
	// mean is the mean delay in seconds.
	mean     float64
	pressure float64
	// late is whether the last sample was late.
	late       bool
	overloaded bool
	// leaving is whether pressure is at least leavePressure, and leavingSince since when.
	leaving      bool
	leavingSince time.Time
}

// Record adds a sample: the delay of a wake-up that ran at the given time.
func (c *Controller) Record(now time.Time, delay time.Duration) {
	delay = min(max(0, delay), maxSample)
	weight := min(max(0, now.Sub(c.recordedAt)), maxWeight)
	if !c.late {
		weight = min(weight, maxFirstWeight)
	}
	c.recordedAt = now
	c.late = delay > raiseDelay
	c.mean += (1 - math.Exp(-weight.Seconds()/averagingTime.Seconds())) * (delay.Seconds() - c.mean)
	switch {
	case c.mean > raiseDelay.Seconds() && c.late:
		rate := min(maxRaiseRate, raiseRate*(c.mean/raiseDelay.Seconds()-1))
		c.pressure = min(maxPressure, c.pressure+rate*min(weight, maxRaiseWeight).Seconds())
	case c.mean < lowerDelay.Seconds():
		c.pressure = max(0, c.pressure-lowerRate*weight.Seconds())
	}
	if leaving := c.pressure >= leavePressure; leaving != c.leaving {
		c.leaving = leaving
		c.leavingSince = now
	}
	switch {
	case !c.overloaded && (c.Mean() >= MaxDelay || c.pressure >= fullOverShare):
		c.overloaded = true
	case c.overloaded && c.pressure == 0:
		c.overloaded = false
	}
}

// Mean returns the mean scheduling delay over some hundred milliseconds.
func (c *Controller) Mean() time.Duration { return time.Duration(c.mean * float64(time.Second)) }

// Overloaded reports whether the router is overloaded. An overload begins when the mean delay reaches MaxDelay, or stays above half of it for long enough to shed all requests of accounts over their share. It ends when no request needs to be shed any more.
func (c *Controller) Overloaded() bool { return c.overloaded }

// Ratios returns the shed ratios, which are 0 unless the router is overloaded.
func (c *Controller) Ratios() Ratios {
	if !c.overloaded {
		return Ratios{}
	}
	return Ratios{
		OverShare:   min(1, c.pressure/fullOverShare),
		WithinShare: max(0, c.pressure-fullOverShare) / (maxPressure - fullOverShare),
	}
}

// insufficient reports whether pressure has been at leavePressure for the given time and the router is still delayed.
func (c *Controller) insufficient(now time.Time, duration time.Duration) bool {
	return c.leaving && now.Sub(c.leavingSince) >= duration && c.mean >= raiseDelay.Seconds()
}
