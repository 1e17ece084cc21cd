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

// maxInstanceListBytes bounds the instance list, in bytes.
const maxInstanceListBytes = 4 << 20

// pollInstanceList polls the platform's list of instances. The list lags, so it only seeds the membership.
func (r *Router) pollInstanceList(ctx context.Context) error {
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
		list, err := fetchInstanceList(ctx, client, r.settings.InstanceListURL)
		if err != nil && !stale && ctx.Err() == nil {
			r.logger.Emit(hwevent.InstanceListStale, hwevent.With("error", err.Error()))
		}
		stale = err != nil
		if err == nil {
			r.updateMembership(func(now time.Time) { r.table.ApplyList(now, list) })
			r.markListFetched(list)
		}
		hwtask.Pause(ctx, r.settings.Timing.ListPollInterval)
	}
	return nil
}

func (r *Router) markListFetched(list []hwmember.ListEntry) {
	r.listFetched.Store(true)
	if slices.ContainsFunc(list, func(l hwmember.ListEntry) bool { return l.Instance == r.settings.Instance }) {
		r.selfInList.Store(true)
	}
}

func fetchInstanceList(ctx context.Context, client *http.Client, url string) ([]hwmember.ListEntry, error) {
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
	if err := json.NewDecoder(io.LimitReader(response.Body, maxInstanceListBytes)).Decode(&groups); err != nil {
		return nil, trace.Wrap(err)
	}
	return listedInstances(groups), nil
}

func listedInstances(groups []targetGroup) []hwmember.ListEntry {
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

// updateMembership changes the membership table and then carries the changes to pools and brokers.
func (r *Router) updateMembership(change func(now time.Time)) {
	r.membersLock.Lock()
	change(time.Now())
	changes := r.table.TakeChanges()
	if len(changes) == 0 {
		r.membersLock.Unlock()
		return
	}
	view := newMembershipView(r.table)
	r.view.Store(view)
	r.membersLock.Unlock()
	members := view.members
	for _, c := range changes {
		r.logMemberChange(c)
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

func (r *Router) logMemberChange(c hwmember.Change) {
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

// membershipView is the membership as of its last change. It is immutable.
type membershipView struct {
	alive   []string
	members []string
}

func newMembershipView(table *hwmember.Table) *membershipView {
	return &membershipView{
		alive:   table.Alive(),
		members: table.Members(),
	}
}

func (r *Router) members() []string { return r.view.Load().members }

// AliveInstances returns the instances that answer in this instance's view.
func (r *Router) AliveInstances() []string { return r.view.Load().alive }

// otherInstances returns the other instances that answer.
func (r *Router) otherInstances() []hwmember.Row {
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

func (r *Router) lookupMember(instance string) (hwmember.Row, bool) {
	r.membersLock.Lock()
	defer r.membersLock.Unlock()
	return r.table.Lookup(instance)
}

// gossip sends the probes that are due and passes a new document on at once.
func (r *Router) gossip(ctx context.Context) error {
	probing := newTaskGroup(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			probing.wait()
			return nil
		case <-ticker.C:
			var probes []hwmember.Probe
			r.updateMembership(func(now time.Time) { probes = r.table.Tick(now) })
			r.sendProbes(probing, probes)
		case <-r.documentInstalled:
			r.pushDocument(probing)
		}
	}
}

// documentPushFanout is how many peers hear of a new document at once; they pass it on in turn.
const documentPushFanout = 3

func (r *Router) pushDocument(probing *taskGroup) {
	rows := r.otherInstances()
	rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	for _, row := range rows[:min(len(rows), documentPushFanout)] {
		probing.start(func(ctx context.Context) { _ = r.gossipWith(ctx, row, "", nil) })
	}
}

func (r *Router) sendProbes(probing *taskGroup, probes []hwmember.Probe) {
	for _, probe := range probes {
		probing.start(func(ctx context.Context) { r.runProbe(ctx, probe) })
	}
}

// probeNow probes an instance that failed to answer, ahead of its turn.
func (r *Router) probeNow(ctx context.Context, instance string) {
	var probes []hwmember.Probe
	r.updateMembership(func(time.Time) { probes = r.table.ProbeNow(instance) })
	for _, probe := range probes {
		r.runProbe(ctx, probe)
	}
}

// runProbe sends a probe and, if it fails, the indirect ones that the table asks for.
func (r *Router) runProbe(ctx context.Context, probe hwmember.Probe) {
	err := r.sendProbe(ctx, probe)
	var indirect []hwmember.Probe
	r.updateMembership(func(now time.Time) { indirect = r.table.HandleProbeResult(now, probe, err == nil) })
	for _, next := range indirect {
		reached := r.sendProbe(ctx, next) == nil
		r.updateMembership(func(now time.Time) { r.table.HandleProbeResult(now, next, reached) })
	}
}

func (r *Router) sendProbe(ctx context.Context, sendProbe hwmember.Probe) error {
	if sendProbe.Via.Instance == "" {
		return r.gossipWith(ctx, sendProbe.Target, "", sendProbe.Rows)
	}
	return r.gossipWith(ctx, sendProbe.Via, sendProbe.Target.Instance, sendProbe.Rows)
}

// gossipWith sends a gossip message and takes what the answer holds.
func (r *Router) gossipWith(ctx context.Context, to hwmember.Row, target string, rows []hwmember.Row) error {
	number, digest := r.DocumentVersion()
	reply, err := r.peers.Gossip(ctx, to.Address, &hwpeerpb.GossipRequest{
		From:            r.settings.Instance,
		Target:          target,
		Members:         hwpeer.MembersToWire(rows),
		DocumentVersion: number,
		DocumentDigest:  digest,
		Strikes:         r.quarantine.reportRows(time.Now()),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	r.updateMembership(func(now time.Time) { r.table.Merge(now, hwpeer.MembersFromWire(reply.GetMembers())) })
	r.mergeCrashReports(time.Now(), reply.GetStrikes())
	r.gossipReceived.Store(true)
	r.considerPeerDocument(ctx, to.Address, reply.GetDocumentVersion(), reply.GetDocumentDigest())
	if !reply.GetReached() {
		return trace.ConnectionProblem(nil, "peer %s did not reach %s", to.Instance, target)
	}
	return nil
}

func (r *Router) considerPeerDocument(ctx context.Context, address string, number uint64, digest string) {
	inForce, digestInForce := r.DocumentVersion()
	if number < inForce || digest == "" || (number == inForce && digest == digestInForce) {
		return
	}
	if r.shouldInstall(number, digest) {
		r.fetchDocument(ctx, address)
	}
}

// announceLeave tells the peers that this instance leaves, so that it is broker and owner of nothing new.
func (r *Router) announceLeave(ctx context.Context) {
	r.updateMembership(func(time.Time) { r.table.Leave() })
	r.membersLock.Lock()
	r.view.Store(newMembershipView(r.table))
	r.membersLock.Unlock()
	telling := newTaskGroup(ctx)
	for _, row := range r.otherInstances() {
		telling.start(func(ctx context.Context) {
			r.membersLock.Lock()
			rows := r.table.GossipRows()
			r.membersLock.Unlock()
			_ = r.gossipWith(ctx, row, "", rows)
		})
	}
	telling.wait()
}
