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
	grant := r.takeReport(ctx, time.Now(), hwpeer.ReportFromWire(in))
	return hwpeer.GrantToWire(grant), nil
}

// Gossip answers a probe, or probes a target for the sender, and exchanges membership rows and the document's version.
func (r *Router) Gossip(ctx context.Context, in *hwpeerpb.GossipRequest) (*hwpeerpb.GossipReply, error) {
	r.withTable(func(now time.Time) { r.table.Merge(now, hwpeer.MembersFromWire(in.GetMembers())) })
	r.takeStrikes(time.Now(), in.GetStrikes())
	reached := true
	if in.GetTarget() != "" && in.GetTarget() != r.settings.Instance {
		row, known := r.lookup(in.GetTarget())
		reached = known && r.exchange(ctx, row, "", nil) == nil
	}
	if from, known := r.lookup(in.GetFrom()); known {
		number, digest := in.GetDocumentVersion(), in.GetDocumentDigest()
		if inForce, _ := r.DocumentVersion(); number > inForce {
			r.background.start(func(ctx context.Context) { r.offeredByPeer(ctx, from.Address, number, digest) })
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
		Strikes:         r.quarantine.rows(time.Now()),
	}, nil
}

// documentQuery answers peers; its Document method differs from the router's own.
type documentQuery struct {
	*Router
}

// Document returns the document in force if it is above the asked version.
func (q documentQuery) Document(_ context.Context, in *hwpeerpb.DocumentRequest) (*hwpeerpb.DocumentReply, error) {
	current := q.inForce.Load()
	if current == nil || current.Number <= in.GetAboveVersion() {
		return &hwpeerpb.DocumentReply{}, nil
	}
	chunks := hwdocument.SplitChunks(current.Body)
	reply := &hwpeerpb.DocumentReply{
		Version: current.Number,
		Digest:  current.Digest,
		Order:   hwdocument.ChunkDigests(chunks),
	}
	for _, c := range hwdocument.MissingChunks(chunks, in.GetChunks()) {
		reply.Missing = append(reply.Missing, c.Bytes)
	}
	return reply, nil
}
