package hwrouter

import (
	"context"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
)

// Report handles a router's report as the broker of the pool.
func (r *Router) Report(ctx context.Context, in *hwpeerpb.ReportRequest) (*hwpeerpb.ReportReply, error) {
	grant := r.handleReport(ctx, time.Now(), hwpeer.ReportFromWire(in))
	return hwpeer.GrantToWire(grant), nil
}

// Gossip handles a direct probe, or probes a target on the sender's behalf. Both sides exchange membership rows, crash reports and document versions.
func (r *Router) Gossip(ctx context.Context, in *hwpeerpb.GossipRequest) (*hwpeerpb.GossipReply, error) {
	r.updateMembership(func(now time.Time) { r.table.Merge(now, hwpeer.MembersFromWire(in.GetMembers())) })
	r.mergeCrashReports(time.Now(), in.GetStrikes())
	r.mergeSegmentRows(time.Now(), in.GetSegments())
	r.quarantine.heardFromPeer(time.Now(), in.GetKnowsCrashes())
	reached := true
	if in.GetTarget() != "" && in.GetTarget() != r.settings.Instance {
		row, known := r.lookupMember(in.GetTarget())
		reached = known && r.gossipWith(ctx, row, "", nil) == nil
	}
	if from, known := r.lookupMember(in.GetFrom()); known {
		offered := hwdocument.Version{
			Era:    in.GetDocumentEra(),
			Number: in.GetDocumentVersion(),
			Digest: in.GetDocumentDigest(),
		}
		if r.documentIdentity().Compare(offered) == hwdocument.VersionNewer {
			r.background.start(func(ctx context.Context) { r.considerPeerDocument(ctx, from.Address, offered) })
		}
	}
	r.membersLock.Lock()
	rows := r.table.GossipRows()
	r.membersLock.Unlock()
	version := r.documentIdentity()
	return &hwpeerpb.GossipReply{
		Reached:         reached,
		Members:         hwpeer.MembersToWire(rows),
		DocumentVersion: version.Number,
		DocumentEra:     version.Era,
		DocumentDigest:  version.Digest,
		Strikes:         r.quarantine.reportRows(time.Now()),
		KnowsCrashes:    r.quarantine.knowsCrashes(time.Now()),
		Segments:        r.quarantine.segmentRows(time.Now()),
	}, nil
}

// peerHandler implements hwpeer.Handler. It is a type of its own because the Document method of the handler differs from that of Router.
type peerHandler struct {
	*Router
}

// Document returns the current document if it is newer than the version in the request. It omits the chunks that the sender has.
func (h peerHandler) Document(_ context.Context, in *hwpeerpb.DocumentRequest) (*hwpeerpb.DocumentReply, error) {
	current := h.current.Load()
	above := hwdocument.Version{
		Era:    in.GetAboveEra(),
		Number: in.GetAboveVersion(),
	}
	if current == nil || above.Compare(current.Version) != hwdocument.VersionNewer {
		return &hwpeerpb.DocumentReply{}, nil
	}
	chunks := hwdocument.SplitChunks(current.Body)
	reply := &hwpeerpb.DocumentReply{
		Version: current.Version.Number,
		Era:     current.Version.Era,
		Digest:  current.Version.Digest,
		Order:   hwdocument.ChunkDigests(chunks),
	}
	for _, c := range hwdocument.MissingChunks(chunks, in.GetChunks()) {
		reply.Missing = append(reply.Missing, c.Bytes)
	}
	return reply, nil
}
