package hwquery

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwtrail"
)

// upstreamLine is an upstream over all asked routers.
type upstreamLine struct {
	Pool string `json:"pool"`
	hwdispatch.UpstreamStatus
	// SlowAt and DownAt are how many routers find it slow or cannot reach it.
	SlowAt int `json:"slow-at"`
	DownAt int `json:"down-at"`
}

// Upstreams prints each upstream with its slots and what the asked routers think of it.
func Upstreams(ctx context.Context, out io.Writer, operators OperatorClient, output Format) error {
	statuses, err := operators.statuses(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	lines := []*upstreamLine{}
	byName := map[[2]string]*upstreamLine{}
	for _, s := range statuses {
		for _, p := range s.Pools {
			for _, u := range p.Upstreams {
				key := [2]string{p.Pool, u.Upstream}
				if byName[key] == nil {
					byName[key] = &upstreamLine{
						Pool: p.Pool,
					}
					lines = append(lines, byName[key])
				}
				byName[key].add(u)
			}
		}
	}
	grid := grid{
		columns: []string{"pool", "upstream", "zone", "held", "in use", "units/s", "slow at", "down at", "draining"},
	}
	for _, l := range lines {
		grid.add(l.Pool, l.Upstream, l.Zone, strconv.Itoa(l.Held), strconv.Itoa(l.InUse), units(l.UnitsPerSecond),
			strconv.Itoa(l.SlowAt), strconv.Itoa(l.DownAt), strconv.FormatBool(l.Draining))
	}
	return grid.print(out, output, lines)
}

// add joins what one more router says. The speed is that of the router that sees the upstream slowest.
func (l *upstreamLine) add(u hwdispatch.UpstreamStatus) {
	l.Upstream = u.Upstream
	l.Zone = u.Zone
	l.Held += u.Held
	l.InUse += u.InUse
	l.Draining = u.Draining
	if u.Slow {
		l.SlowAt++
		l.Slow = true
	}
	if u.Down {
		l.DownAt++
		l.Down = true
	}
	if l.UnitsPerSecond == 0 || u.UnitsPerSecond > 0 && u.UnitsPerSecond < l.UnitsPerSecond {
		l.UnitsPerSecond = u.UnitsPerSecond
	}
}

// Explain prints what happened to a request: what it found while it waited, where it went, and how it ended.
func Explain(ctx context.Context, out io.Writer, operators OperatorClient, request string, output Format) error {
	for _, address := range operators.Addresses {
		var trail hwtrail.Record
		err := operators.Get(ctx, address, "/requests/"+url.PathEscape(request), &trail)
		if trace.IsNotFound(err) {
			continue
		}
		if err != nil {
			return trace.Wrap(err)
		}
		return story(trail).print(out, output, trail)
	}
	return trace.NotFound("none of the asked routers remembers the request %s", request)
}

// story tells a trail in the order of time.
func story(trail hwtrail.Record) *grid {
	since := func(at time.Time) string { return at.Sub(trail.Began).Round(time.Millisecond).String() }
	told := &grid{
		columns: []string{"after", "what"},
	}
	told.add("0s", "came to "+trail.Instance+" for account "+trail.Account+", pool "+trail.Pool)
	for _, w := range trail.Waits {
		told.add(since(w.Began), why(w.Outlook))
		told.add(since(w.Ended), "the wait ended after "+w.Ended.Sub(w.Began).Round(time.Millisecond).String())
	}
	for _, a := range trail.Attempts {
		told.add(since(a.Began), "sent to "+a.Upstream)
		told.add(since(a.Ended), a.Upstream+": "+a.Outcome)
	}
	told.add(since(trail.Ended), "ended: "+trail.Outcome+", execution "+trail.Execution+", "+units(trail.CostUnits)+" cost units")
	return told
}

// why says why a request had to wait.
func why(o hwdispatch.QueueSnapshot) string {
	lane := "short"
	if o.LongLane {
		lane = "long"
	}
	text := "waits in the " + lane + " lane behind " + strconv.Itoa(o.QueuedAhead) + " of its account; "
	switch {
	case o.InUse >= o.Held:
		text += "all " + strconv.Itoa(o.Held) + " slots of the instance are in use"
	case o.LongLane:
		text += "the account's long work fills what its short work leaves"
	default:
		text += "the free upstreams are not open to it"
	}
	return text + "; the account runs " + strconv.Itoa(o.Running) + " of " + units(o.TargetSlots) + " meant for it; next is account " + o.NextAccount
}

// statusError turns an unexpected answer into an error.
func statusError(address, path string, status int) error {
	if status == http.StatusNotFound {
		return trace.NotFound("%s does not know %s", address, path)
	}
	return trace.ConnectionProblem(nil, "%s answered %s with status %d", address, path, status)
}
