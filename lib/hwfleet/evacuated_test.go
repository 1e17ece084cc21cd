package hwfleet

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// The beginning of a list is written field by field, and must be what the generated code reads.
func TestEvacuatedZonesAreEncodedAsInTheProtocol(t *testing.T) {
	for _, want := range []hwplace.EvacuatedZones{
		{},
		{Revision: 7},
		{Revision: 1 << 60, Zones: []string{"zone-a", "zone-b"}},
	} {
		list, err := proto.Marshal(&hwpeerpb.UpstreamList{Upstreams: []*hwpeerpb.ListedUpstream{{Id: "u", Slots: 4}}})
		require.NoError(t, err)
		upstreams, got, err := decodeList(append(encodeEvacuated(want), list...))
		require.NoError(t, err)
		assert.Equal(t, want, got)
		assert.Equal(t, []hwplace.Upstream{{ID: "u", Slots: 4}}, upstreams)
		_, got, err = decodeList(encodeRevision(want))
		require.NoError(t, err)
		assert.Equal(t, hwplace.EvacuatedZones{Revision: want.Revision}, got)
	}
}

// Routers without evacuations send what they sent before.
func TestWithoutEvacuationsNothingIsAddedToAList(t *testing.T) {
	assert.Empty(t, encodeEvacuated(hwplace.EvacuatedZones{}))
	assert.Empty(t, encodeRevision(hwplace.EvacuatedZones{}))
}
