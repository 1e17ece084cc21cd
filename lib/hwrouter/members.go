package hwrouter

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwtask"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwmember"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwresponse"
)

// targetGroup is an entry of the HTTP service discovery format of Prometheus.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Labels in the instance list, and the label value of an instance that is shutting down.
const (
	labelInstance = "instance"
	labelZone     = "zone"
	labelState    = "state"
	stateLeaving  = "leaving"
)

// maxInstanceListBytes is the largest instance list that is read.
const maxInstanceListBytes = 4 << 20

// pollInstanceList polls the platform's list of instances. The list lags behind, so it only seeds the membership protocol.
func (r *Router) pollInstanceList(ctx context.Context) error {
	if r.settings.InstanceListURL == "" {
		return nil
	}
	client := newListClient(r.settings.Timing.ListPollInterval, r.dial)
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
		hwtask.Sleep(ctx, r.settings.Timing.ListPollInterval)
	}
	return nil
}

// newListClient returns the client that fetches the list of instances.
func newListClient(timeout time.Duration, dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Timeout: timeout,
		Transport: hwresponse.NewTransport(&http.Transport{
			DialContext: dial,
		}),
	}
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
		return nil, trace.ConnectionProblem(nil, "the instance list endpoint responded with status %d", response.StatusCode)
	}
	var groups []json.RawMessage
	if err := hwresponse.DecodeJSON(response.Body, maxInstanceListBytes, &groups); err != nil {
		return nil, trace.Wrap(err)
	}
	return listedInstances(groups), nil
}

// listedInstances decodes the groups of the list. Groups and targets that are malformed name no instance; the others count.
func listedInstances(groups []json.RawMessage) []hwmember.ListEntry {
	var list []hwmember.ListEntry
	for _, encoded := range groups {
		var group targetGroup
		if json.Unmarshal(encoded, &group) != nil {
			continue
		}
		for _, target := range group.Targets {
			if !isDialable(target) {
				continue
			}
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

// isDialable reports whether a target is a host with a port.
func isDialable(target string) bool {
	host, portText, err := net.SplitHostPort(target)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	return err == nil && portErr == nil && host != "" && port > 0
}

// updateMembership changes the membership table, then logs the changes and passes the new member list to pools and brokers.
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

// membershipView is an immutable snapshot of the membership table.
type membershipView struct {
	alive []string
	// members are all instances that may still be using capacity.
	members []string
}

func newMembershipView(table *hwmember.Table) *membershipView {
	return &membershipView{
		alive:   table.Alive(),
		members: table.Members(),
	}
}

func (r *Router) members() []string { return r.view.Load().members }

// AliveInstances returns the instances that this instance considers alive.
func (r *Router) AliveInstances() []string { return r.view.Load().alive }

// otherInstances returns the other instances that are alive or suspected.
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

// gossip sends the probes that are due, and announces a newly installed document to some peers at once.
func (r *Router) gossip(ctx context.Context) error {
	tasks := newTaskGroup(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			tasks.wait()
			return nil
		case <-ticker.C:
			var probes []hwmember.Probe
			r.updateMembership(func(now time.Time) { probes = r.table.Tick(now) })
			r.sendProbes(tasks, probes)
		case <-r.documentInstalled:
			r.pushDocument(tasks)
		}
	}
}

// documentPushFanout is how many peers are told about a new document as soon as it is installed. They pass it on in turn.
const documentPushFanout = 3

func (r *Router) pushDocument(tasks *taskGroup) {
	rows := r.otherInstances()
	rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	for _, row := range rows[:min(len(rows), documentPushFanout)] {
		tasks.start(func(ctx context.Context) { _ = r.gossipWith(ctx, row, "", nil) })
	}
}

func (r *Router) sendProbes(tasks *taskGroup, probes []hwmember.Probe) {
	for _, probe := range probes {
		tasks.start(func(ctx context.Context) { r.runProbe(ctx, probe) })
	}
}

// probeNow probes an instance that failed to respond, without waiting for its scheduled probe.
func (r *Router) probeNow(ctx context.Context, instance string) {
	var probes []hwmember.Probe
	r.updateMembership(func(time.Time) { probes = r.table.ProbeNow(instance) })
	for _, probe := range probes {
		r.runProbe(ctx, probe)
	}
}

// runProbe sends a probe and, if it fails, the indirect probes that the membership table requests.
func (r *Router) runProbe(ctx context.Context, probe hwmember.Probe) {
	err := r.sendProbe(ctx, probe)
	var indirect []hwmember.Probe
	r.updateMembership(func(now time.Time) { indirect = r.table.HandleProbeResult(now, probe, err == nil) })
	for _, next := range indirect {
		reached := r.sendProbe(ctx, next) == nil
		r.updateMembership(func(now time.Time) { r.table.HandleProbeResult(now, next, reached) })
	}
}

func (r *Router) sendProbe(ctx context.Context, probe hwmember.Probe) error {
	if probe.Via.Instance == "" {
		return r.gossipWith(ctx, probe.Target, "", probe.Rows)
	}
	return r.gossipWith(ctx, probe.Via, probe.Target.Instance, probe.Rows)
}

// gossipWith sends a gossip message to a peer and merges the reply: members, crash reports and the document version. If target is set, the peer is asked to probe that instance.
func (r *Router) gossipWith(ctx context.Context, to hwmember.Row, target string, rows []hwmember.Row) error {
	version := r.documentIdentity()
	reply, err := r.peers.Gossip(ctx, to.Address, &hwpeerpb.GossipRequest{
		From:            r.settings.Instance,
		Target:          target,
		Members:         hwpeer.MembersToWire(rows),
		DocumentVersion: version.Number,
		DocumentEra:     version.Era,
		DocumentDigest:  version.Digest,
		Strikes:         r.quarantine.reportRows(time.Now()),
		KnowsCrashes:    r.quarantine.knowsCrashes(time.Now()),
		Segments:        r.quarantine.segmentRows(time.Now()),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	r.updateMembership(func(now time.Time) { r.table.Merge(now, hwpeer.MembersFromWire(reply.GetMembers())) })
	r.mergeCrashReports(time.Now(), reply.GetStrikes())
	r.mergeSegmentRows(time.Now(), reply.GetSegments())
	r.quarantine.heardFromPeer(time.Now(), reply.GetKnowsCrashes())
	r.considerPeerDocument(ctx, to.Address, hwdocument.Version{
		Era:    reply.GetDocumentEra(),
		Number: reply.GetDocumentVersion(),
		Digest: reply.GetDocumentDigest(),
	})
	// A router is ready after this, so it has to have the peer's document by then: that of the store may be the older one of a copy.
	r.gossipReceived.Store(true)
	if !reply.GetReached() {
		return trace.ConnectionProblem(nil, "peer %s could not reach %s", to.Instance, target)
	}
	return nil
}

// considerPeerDocument fetches the document that a peer offers if it is newer. A peer that is behind learns of the current document itself.
func (r *Router) considerPeerDocument(ctx context.Context, address string, offered hwdocument.Version) {
	if offered.Digest == "" || r.documentIdentity().Compare(offered) == hwdocument.VersionOlder {
		return
	}
	if r.shouldInstall(offered) {
		r.fetchDocument(ctx, address)
	}
}

// announceLeave tells the peers that this instance is leaving, so that it isn't chosen as a broker or partition owner any more.
func (r *Router) announceLeave(ctx context.Context) {
	r.updateMembership(func(time.Time) { r.table.Leave() })
	r.membersLock.Lock()
	r.view.Store(newMembershipView(r.table))
	r.membersLock.Unlock()
	tasks := newTaskGroup(ctx)
	for _, row := range r.otherInstances() {
		tasks.start(func(ctx context.Context) {
			r.membersLock.Lock()
			rows := r.table.GossipRows()
			r.membersLock.Unlock()
			_ = r.gossipWith(ctx, row, "", rows)
		})
	}
	tasks.wait()
}
