package hwfleet

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

const (
	// claimTimeout is how long a response to a claim may take; peers respond from memory. claimTries is how often one is sent, because datagrams get lost.
	claimTimeout = 50 * time.Millisecond
	claimTries   = 2
)

// Claim asks a peer when a request with the given segment may be sent, and returns how long that takes. It returns false if the peer does not respond.
func (f *Fleet) Claim(ctx context.Context, router string, segment hwquarantine.Segment) (wait time.Duration, answered bool) {
	target, known := f.addressOf(router)
	if !known {
		return 0, false
	}
	claim := &hwpeerpb.SegmentClaim{
		Segment: uint64(segment),
	}
	for range claimTries {
		if wait, answered = f.claimOnce(ctx, target, claim); answered {
			break
		}
	}
	return wait, answered
}

// addressOf returns the address of the peer with a name.
func (f *Fleet) addressOf(router string) (netip.AddrPort, bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	var latest time.Time
	var found netip.AddrPort
	for address, p := range f.peers {
		// A name that has moved to another address is where it was heard last.
		if p.name == router && p.lastSeen.After(latest) {
			latest, found = p.lastSeen, address
		}
	}
	return found, found.IsValid()
}

// claimOnce sends a claim and waits for the response.
func (f *Fleet) claimOnce(ctx context.Context, target netip.AddrPort, claim *hwpeerpb.SegmentClaim) (wait time.Duration, answered bool) {
	claim.Nonce = rand.Uint64()
	response := make(chan *hwpeerpb.ClaimResponse, 1)
	f.lock.Lock()
	f.pendingClaims[claim.GetNonce()] = response
	f.lock.Unlock()
	defer func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		delete(f.pendingClaims, claim.GetNonce())
	}()
	f.sendDatagram(target, &hwpeerpb.Datagram{
		Claim: claim,
	})
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	message, answered := await(ctx, response)
	return min(time.Duration(message.GetWaitMs())*time.Millisecond, maxClaimWait), answered
}

// maxClaimWait bounds what a peer can make a request wait.
const maxClaimWait = 10 * time.Second

// handleClaim decides a peer's claim, or passes the response to one of this router's.
func (f *Fleet) handleClaim(now time.Time, from netip.AddrPort, datagram *hwpeerpb.Datagram) {
	if claim := datagram.GetClaim(); claim != nil {
		f.sendDatagram(from, &hwpeerpb.Datagram{
			ClaimResponse: &hwpeerpb.ClaimResponse{
				Nonce:  claim.GetNonce(),
				WaitMs: ageMilliseconds(f.delegate.Claim(now, hwquarantine.Segment(claim.GetSegment()))),
			},
		})
		return
	}
	f.lock.Lock()
	defer f.lock.Unlock()
	message := datagram.GetClaimResponse()
	if response := f.pendingClaims[message.GetNonce()]; response != nil {
		// The channel buffers the first response; duplicates of the datagram are dropped.
		select {
		case response <- message:
		default:
		}
	}
}
