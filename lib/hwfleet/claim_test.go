package hwfleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

// A claim reaches the router that it names and its decision comes back, and whether a router knows what crashes upstreams reaches its peers. A router that is not there costs a bounded time.
func TestClaimsAreDecidedByThePeerThatIsAsked(t *testing.T) {
	first, _, seed := startRouter(t, "first", hwforward.PeerUpdate{KnowsCrashes: true})
	_, secondDelegate, _ := startRouter(t, "second", hwforward.PeerUpdate{}, seed)
	require.Eventually(t, func() bool {
		update, heard := secondDelegate.receivedFrom("first")
		return first.PeerCount(time.Now()) == 1 && heard && update.KnowsCrashes
	}, 5*time.Second, 5*time.Millisecond)
	// The fake delegate makes a claim wait as many seconds as the segment's number.
	for segment := range hwquarantine.Segment(4) {
		wait, answered := first.Claim(context.Background(), "second", segment)
		assert.True(t, answered)
		assert.Equal(t, time.Duration(segment)*time.Second, wait)
	}
	began := time.Now()
	_, answered := first.Claim(context.Background(), "nobody", 7)
	assert.False(t, answered)
	assert.Less(t, time.Since(began), time.Second)
}
