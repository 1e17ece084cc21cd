package hwrouter

import (
	"context"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwpeer"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
)

// Report answers a router's report as the broker of its pool.
func (r *Router) Report(ctx context.Context, in *hwpeerpb.ReportRequest) (*hwpeerpb.ReportReply, error) {
	grant := r.handleReport(ctx, time.Now(), hwpeer.ReportFromWire(in))
	return hwpeer.GrantToWire(grant), nil
}

// Gossip answers a probe, or probes a target for the sender, and exchanges membership rows and the document's version.
func (r *Router) Gossip(ctx context.Context, in *hwpeerpb.GossipRequest) (*hwpeerpb.GossipReply, error) {
	r.updateMembership(func(now time.Time) { r.table.Merge(now, hwpeer.MembersFromWire(in.GetMembers())) })
	r.mergeCrashReports(time.Now(), in.GetStrikes())
	reached := true
	if in.GetTarget() != "" && in.GetTarget() != r.settings.Instance {
		row, known := r.lookupMember(in.GetTarget())
		reached = known && r.gossipWith(ctx, row, "", nil) == nil
	}
	if from, known := r.lookupMember(in.GetFrom()); known {
		number, digest := in.GetDocumentVersion(), in.GetDocumentDigest()
		if inForce, _ := r.DocumentVersion(); number > inForce {
			r.background.start(func(ctx context.Context) { r.considerPeerDocument(ctx, from.Address, number, digest) })
		}
	}
	r.membersLock.Lock()
	rows := r.table.GossipRows()
	r.membersLock.Unlock()
	number, digest := r.DocumentVersion()
	return &hwpeerpb.GossipReply{
		Reached:         reached,
		Members:         hwpeer.MembersToWire(rows),
		DocumentVersion: number,
		DocumentDigest:  digest,
		Strikes:         r.quarantine.reportRows(time.Now()),
	}, nil
}

// peerHandler answers peers; its Document method differs from the router's own.
type peerHandler struct {
	*Router
}

// Document returns the document in force if it is above the asked version.
func (q peerHandler) Document(_ context.Context, in *hwpeerpb.DocumentRequest) (*hwpeerpb.DocumentReply, error) {
	current := q.current.Load()
	if current == nil || current.Version <= in.GetAboveVersion() {
		return &hwpeerpb.DocumentReply{}, nil
	}
	chunks := hwdocument.SplitChunks(current.Body)
	reply := &hwpeerpb.DocumentReply{
		Version: current.Version,
		Digest:  current.Digest,
		Order:   hwdocument.ChunkDigests(chunks),
	}
	for _, c := range hwdocument.MissingChunks(chunks, in.GetChunks()) {
		reply.Missing = append(reply.Missing, c.Bytes)
	}
	return reply, nil
}
