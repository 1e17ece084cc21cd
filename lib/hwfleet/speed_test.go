package hwfleet_test

import (
	"math"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// Samples of an upstream's speed arrive as they were sent, beside the other observations.
func TestSpeedsReachPeers(t *testing.T) {
	sent := hwforward.PeerUpdate{
		Observations: map[string][]hwplace.Observation{"pool": {
			{Upstream: hwplace.HashID("u"), Running: 3, Waiting: 1},
			{Upstream: hwplace.HashID("u"), SpeedFactor: 1.7, SpeedWeight: 0.125},
			{Upstream: hwplace.HashID("v"), SpeedFactor: 0.7, SpeedWeight: 12},
			// Numbers that no column can hold are clamped.
			{Upstream: hwplace.HashID("w"), SpeedFactor: 1e300, SpeedWeight: math.Inf(1)},
		}},
	}
	_, first, seed := startRouter(t, "first", hwforward.PeerUpdate{})
	_, _, _ = startRouter(t, "second", sent, seed)
	require.Eventually(t, func() bool {
		update, received := first.receivedFrom("second")
		return received && len(update.Observations["pool"]) == 4
	}, 5*time.Second, 5*time.Millisecond)
	update, _ := first.receivedFrom("second")
	got := update.Observations["pool"]
	assert.Equal(t, sent.Observations["pool"][:3], got[:3])
	assert.Equal(t, hwplace.HashID("w"), got[3].Upstream)
	assert.Greater(t, got[3].SpeedFactor, 1e7)
	assert.Greater(t, got[3].SpeedWeight, 1e6)
}

// Columns of a router with a fault, or of another version, may differ in length or contain zeros. What is complete is used.
func TestIncompleteSpeedColumnsAreCut(t *testing.T) {
	_, delegate, address := startRouter(t, "first", hwforward.PeerUpdate{})
	conn, err := net.Dial("udp4", address.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	bytes, err := proto.Marshal(&hwpeerpb.Datagram{
		Router:   "second",
		Boot:     1,
		Sequence: 1,
		Pools: []*hwpeerpb.PoolNews{{
			Pool:          "pool",
			Speeds:        []uint32{1, 2, 3, 4, 5},
			SpeedPercents: []uint32{170, 0, 100, 70},
			SpeedWeights:  []uint32{1000, 1000, 0, 500, 1000, 1000},
		}},
	})
	require.NoError(t, err)
	_, err = conn.Write(bytes)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, received := delegate.receivedFrom("second")
		return received
	}, 5*time.Second, 5*time.Millisecond)
	update, _ := delegate.receivedFrom("second")
	assert.Equal(t, []hwplace.Observation{
		{Upstream: 1, SpeedFactor: 1.7, SpeedWeight: 1},
		{Upstream: 4, SpeedFactor: 0.7, SpeedWeight: 0.5},
	}, update.Observations["pool"])
}
