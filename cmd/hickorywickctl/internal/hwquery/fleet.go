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

// upstreamRow aggregates an upstream's state over all queried routers.
type upstreamRow struct {
	Pool string `json:"pool"`
	hwdispatch.UpstreamStatus
	// SlowAt counts the routers that observe the upstream as slow, DownAt those that cannot reach it.
	SlowAt int `json:"slow-at"`
	DownAt int `json:"down-at"`
}

// Upstreams prints each upstream's slots, speed and health over the queried routers.
func Upstreams(ctx context.Context, out io.Writer, client OperatorClient, format Format) error {
	statuses, err := client.statuses(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	rows := []*upstreamRow{}
	byName := map[[2]string]*upstreamRow{}
	for _, s := range statuses {
		for _, p := range s.Pools {
			for _, u := range p.Upstreams {
				key := [2]string{p.Pool, u.Upstream}
				if byName[key] == nil {
					byName[key] = &upstreamRow{
						Pool: p.Pool,
					}
					rows = append(rows, byName[key])
				}
				byName[key].add(u)
			}
		}
	}
	table := reportTable{
		columns: []string{"pool", "upstream", "zone", "held", "in use", "units/s", "slow at", "down at", "draining"},
	}
	for _, r := range rows {
		table.add(r.Pool, r.Upstream, r.Zone, strconv.Itoa(r.Held), strconv.Itoa(r.InUse), formatUnits(r.UnitsPerSecond),
			strconv.Itoa(r.SlowAt), strconv.Itoa(r.DownAt), strconv.FormatBool(r.Draining))
	}
	return table.print(out, format, rows)
}

// add merges the status from one more router. The speed kept is the lowest that a router observed.
func (r *upstreamRow) add(u hwdispatch.UpstreamStatus) {
	r.Upstream = u.Upstream
	r.Zone = u.Zone
	r.Held += u.Held
	r.InUse += u.InUse
	r.Draining = u.Draining
	if u.Slow {
		r.SlowAt++
		r.Slow = true
	}
	if u.Down {
		r.DownAt++
		r.Down = true
	}
	if r.UnitsPerSecond == 0 || u.UnitsPerSecond > 0 && u.UnitsPerSecond < r.UnitsPerSecond {
		r.UnitsPerSecond = u.UnitsPerSecond
	}
}

// Explain prints a request's waits with the state of its queue, its attempts at upstreams and its outcome, from the first router that has a record of it.
func Explain(ctx context.Context, out io.Writer, client OperatorClient, request string, format Format) error {
	for _, address := range client.Addresses {
		var trail hwtrail.Record
		err := client.Get(ctx, address, "/requests/"+url.PathEscape(request), &trail)
		if trace.IsNotFound(err) {
			continue
		}
		if err != nil {
			return trace.Wrap(err)
		}
		return trailTable(trail).print(out, format, trail)
	}
	return trace.NotFound("none of the queried routers has a record of request %s", request)
}

// trailTable lists the steps of a request's record with their time since its beginning: waits, then attempts, then the outcome.
func trailTable(trail hwtrail.Record) *reportTable {
	since := func(at time.Time) string { return at.Sub(trail.Began).Round(time.Millisecond).String() }
	table := &reportTable{
		columns: []string{"after", "what"},
	}
	table.add("0s", "came to "+trail.Instance+" for account "+trail.Account+", pool "+trail.Pool)
	for _, w := range trail.Waits {
		table.add(since(w.Began), waitReason(w.Outlook))
		table.add(since(w.Ended), "the wait ended after "+w.Ended.Sub(w.Began).Round(time.Millisecond).String())
	}
	for _, a := range trail.Attempts {
		table.add(since(a.Began), "sent to "+a.Upstream)
		table.add(since(a.Ended), a.Upstream+": "+a.Outcome)
	}
	table.add(since(trail.Ended), "ended: "+trail.Outcome+", execution "+trail.Execution+", "+formatUnits(trail.CostUnits)+" cost units")
	return table
}

// waitReason describes why a request had to wait, from the state of its queue at that time.
func waitReason(o hwdispatch.QueueSnapshot) string {
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
	return text + "; the account runs " + strconv.Itoa(o.Running) + " of " + formatUnits(o.TargetSlots) + " meant for it; next is account " + o.NextAccount
}

// unexpectedStatusError returns the error for a status other than 200.
func unexpectedStatusError(address, path string, status int) error {
	if status == http.StatusNotFound {
		return trace.NotFound("%s has no resource %s", address, path)
	}
	return trace.ConnectionProblem(nil, "%s answered %s with status %d", address, path, status)
}
