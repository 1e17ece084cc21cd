package hwrouter

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwtask"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwmember"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
)

// targetGroup is an entry of the published HTTP service-discovery format.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// The labels of the instance list.
const (
	labelInstance = "instance"
	labelZone     = "zone"
	labelState    = "state"
	stateLeaving  = "leaving"
)

// largestList bounds the instance list, in bytes.
const largestList = 4 << 20

// followList polls the platform's list of instances. The list lags, so it only seeds the membership.
func (r *Router) followList(ctx context.Context) error {
	if r.settings.InstanceListURL == "" {
		return nil
	}
	client := &http.Client{
		Timeout: r.settings.Timing.ListPollInterval,
		Transport: &http.Transport{
			DialContext: r.dial,
		},
	}
	defer client.CloseIdleConnections()
	stale := false
	for ctx.Err() == nil {
		list, err := fetchList(ctx, client, r.settings.InstanceListURL)
		if err != nil && !stale && ctx.Err() == nil {
			r.logger.Emit(hwevent.InstanceListStale, hwevent.With("error", err.Error()))
		}
		stale = err != nil
		if err == nil {
			r.withTable(func(now time.Time) { r.table.ApplyList(now, list) })
			r.noteListed(list)
		}
		hwtask.Sleep(ctx, r.settings.Timing.ListPollInterval)
	}
	return nil
}

func (r *Router) noteListed(list []hwmember.ListEntry) {
	r.listed.Store(true)
	if slices.ContainsFunc(list, func(l hwmember.ListEntry) bool { return l.Instance == r.settings.Instance }) {
		r.selfListed.Store(true)
	}
}

func fetchList(ctx context.Context, client *http.Client, url string) ([]hwmember.ListEntry, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, trace.ConnectionProblem(nil, "the instance list answered with status %d", response.StatusCode)
	}
	var groups []targetGroup
	if err := json.NewDecoder(io.LimitReader(response.Body, largestList)).Decode(&groups); err != nil {
		return nil, trace.Wrap(err)
	}
	return listed(groups), nil
}

func listed(groups []targetGroup) []hwmember.ListEntry {
	var list []hwmember.ListEntry
	for _, group := range groups {
		for _, target := range group.Targets {
			instance := group.Labels[labelInstance]
			if instance == "" {
				instance = target
			}
			list = append(list, hwmember.ListEntry{
				Instance: instance,
				Address:  target,
				Zone:     group.Labels[labelZone],
				Leaving:  group.Labels[labelState] == stateLeaving,
			})
		}
	}
	return list
}

// withTable changes the membership table and then carries the changes to pools and brokers.
func (r *Router) withTable(change func(now time.Time)) {
	r.membersLock.Lock()
	change(time.Now())
	changes := r.table.TakeChanges()
	if len(changes) == 0 {
		r.membersLock.Unlock()
		return
	}
	view := newView(r.table)
	r.view.Store(view)
	r.membersLock.Unlock()
	members := view.members
	for _, c := range changes {
		r.logMember(c)
	}
	r.metrics.members.Set(int64(len(members)))
	r.poolsLock.RLock()
	defer r.poolsLock.RUnlock()
	for _, p := range r.pools {
		p.setMembers(members)
	}
	for _, h := range r.brokers {
		h.lock.Lock()
		h.broker.SetMembers(members)
		h.lock.Unlock()
	}
}

func (r *Router) logMember(c hwmember.Change) {
	event := hwevent.MemberJoined
	switch c.Row.State {
	case hwmember.Suspect:
		event = hwevent.MemberSuspected
	case hwmember.Dead, hwmember.Left:
		event = hwevent.MemberLeft
	case hwmember.Alive:
	}
	r.logger.Emit(event, hwevent.With("member", c.Row.Instance), hwevent.With("state", c.Row.State.String()))
}

// view is the membership as of its last change. It is immutable.
type view struct {
	alive   []string
	members []string
}

func newView(table *hwmember.Table) *view {
	return &view{
		alive:   table.Alive(),
		members: table.Members(),
	}
}

func (r *Router) members() []string { return r.view.Load().members }

// AliveInstances returns the instances that answer in this instance's view.
func (r *Router) AliveInstances() []string { return r.view.Load().alive }

// others returns the other instances that answer.
func (r *Router) others() []hwmember.Row {
	r.membersLock.Lock()
	defer r.membersLock.Unlock()
	var rows []hwmember.Row
	for _, row := range r.table.All() {
		if row.Instance != r.settings.Instance && row.State <= hwmember.Suspect {
			rows = append(rows, row)
		}
	}
	return rows
}

func (r *Router) lookup(instance string) (hwmember.Row, bool) {
	r.membersLock.Lock()
	defer r.membersLock.Unlock()
	return r.table.Lookup(instance)
}

// gossip sends the probes that are due and passes a new document on at once.
func (r *Router) gossip(ctx context.Context) error {
	probing := newGroup(ctx)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			probing.wait()
			return nil
		case <-ticker.C:
			var probes []hwmember.Probe
			r.withTable(func(now time.Time) { probes = r.table.Tick(now) })
			r.sendProbes(probing, probes)
		case <-r.installed:
			r.pushDocument(probing)
		}
	}
}

// pushPeers is how many peers hear of a new document at once; they pass it on in turn.
const pushPeers = 3

func (r *Router) pushDocument(probing *group) {
	rows := r.others()
	rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	for _, row := range rows[:min(len(rows), pushPeers)] {
		probing.start(func(ctx context.Context) { _ = r.exchange(ctx, row, "", nil) })
	}
}

func (r *Router) sendProbes(probing *group, probes []hwmember.Probe) {
	for _, probe := range probes {
		probing.start(func(ctx context.Context) { r.confirm(ctx, probe) })
	}
}

// doubt probes an instance that failed to answer, ahead of its turn.
func (r *Router) doubt(ctx context.Context, instance string) {
	var probes []hwmember.Probe
	r.withTable(func(time.Time) { probes = r.table.ProbeNow(instance) })
	for _, probe := range probes {
		r.confirm(ctx, probe)
	}
}

// confirm sends a probe and, if it fails, the indirect ones that the table asks for.
func (r *Router) confirm(ctx context.Context, probe hwmember.Probe) {
	err := r.probe(ctx, probe)
	var indirect []hwmember.Probe
	r.withTable(func(now time.Time) { indirect = r.table.HandleProbeResult(now, probe, err == nil) })
	for _, next := range indirect {
		reached := r.probe(ctx, next) == nil
		r.withTable(func(now time.Time) { r.table.HandleProbeResult(now, next, reached) })
	}
}

func (r *Router) probe(ctx context.Context, probe hwmember.Probe) error {
	if probe.Via.Instance == "" {
		return r.exchange(ctx, probe.Target, "", probe.Rows)
	}
	return r.exchange(ctx, probe.Via, probe.Target.Instance, probe.Rows)
}

// exchange sends a gossip message and takes what the answer holds.
func (r *Router) exchange(ctx context.Context, to hwmember.Row, target string, rows []hwmember.Row) error {
	number, digest := r.DocumentVersion()
	reply, err := r.peers.Gossip(ctx, to.Address, &hwpeerpb.GossipRequest{
		From:            r.settings.Instance,
		Target:          target,
		Members:         hwpeer.MembersToWire(rows),
		DocumentVersion: number,
		DocumentDigest:  digest,
		Strikes:         r.quarantine.rows(time.Now()),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	r.withTable(func(now time.Time) { r.table.Merge(now, hwpeer.MembersFromWire(reply.GetMembers())) })
	r.takeStrikes(time.Now(), reply.GetStrikes())
	r.heard.Store(true)
	r.offeredByPeer(ctx, to.Address, reply.GetDocumentVersion(), reply.GetDocumentDigest())
	if !reply.GetReached() {
		return trace.ConnectionProblem(nil, "peer %s did not reach %s", to.Instance, target)
	}
	return nil
}

func (r *Router) offeredByPeer(ctx context.Context, address string, number uint64, digest string) {
	inForce, digestInForce := r.DocumentVersion()
	if number < inForce || digest == "" || (number == inForce && digest == digestInForce) {
		return
	}
	if r.offered(number, digest) {
		r.fetchFrom(ctx, address)
	}
}

// announceLeave tells the peers that this instance leaves, so that it is broker and owner of nothing new.
func (r *Router) announceLeave(ctx context.Context) {
	r.withTable(func(time.Time) { r.table.Leave() })
	r.membersLock.Lock()
	r.view.Store(newView(r.table))
	r.membersLock.Unlock()
	telling := newGroup(ctx)
	for _, row := range r.others() {
		telling.start(func(ctx context.Context) {
			r.membersLock.Lock()
			rows := r.table.GossipRows()
			r.membersLock.Unlock()
			_ = r.exchange(ctx, row, "", rows)
		})
	}
	telling.wait()
}
