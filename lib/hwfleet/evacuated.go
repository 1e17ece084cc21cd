package hwfleet

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/hickorywick/hickorywick/lib/hwfollow"
)

// The field numbers of hwpeerpb.UpstreamList that describe the evacuated zones and the era.
const (
	evacuationRevisionField = protowire.Number(2)
	evacuatedZonesField     = protowire.Number(3)
	evacuationEraField      = protowire.Number(4)
	eraField                = protowire.Number(5)
)

// encodeRevision encodes the era of a list and the revision of its evacuated zones, for a router that knows the list and the zones already. The encoding has no revision on fleets without evacuations, and no era as long as the store has never been restored.
func encodeRevision(snapshot hwfollow.Snapshot) []byte {
	var encoded []byte
	if revision := snapshot.Evacuated.Revision; revision.Number != 0 {
		encoded = appendFixed64(encoded, evacuationRevisionField, uint64(revision.Number))
		if revision.Era != 0 {
			encoded = appendFixed64(encoded, evacuationEraField, revision.Era)
		}
	}
	if snapshot.ListEra != 0 {
		encoded = appendFixed64(encoded, eraField, snapshot.ListEra)
	}
	return encoded
}

// appendFixed64 appends a field of a fixed length.
func appendFixed64(encoded []byte, field protowire.Number, value uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(encoded, field, protowire.Fixed64Type), value)
}

// encodeEvacuated encodes the era of a list and its evacuated zones as the beginning of an UpstreamList.
//
// Each store read has a new revision, so the parts of a list that are queried one after the other may state different ones. The revision therefore comes first, where no boundary between parts divides it.
func encodeEvacuated(snapshot hwfollow.Snapshot) []byte {
	encoded := encodeRevision(snapshot)
	for _, zone := range snapshot.Evacuated.Zones {
		encoded = protowire.AppendTag(encoded, evacuatedZonesField, protowire.BytesType)
		encoded = protowire.AppendString(encoded, zone)
	}
	return encoded
}
