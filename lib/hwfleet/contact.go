package hwfleet

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// updatesPerContact is how many updates are sent to an address where a router may be, unless it answers. Few are lost, and the address may belong to another process.
const updatesPerContact = 3

// Contact sends the next updates also to the given addresses, as far as no router was heard from there lately, and returns their number.
func (f *Fleet) Contact(now time.Time, addresses []netip.AddrPort) (unheard int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, address := range addresses {
		if address != f.settings.Self && !f.isHeard(now, address) {
			f.contacts[address] = updatesPerContact
			unheard++
		}
	}
	return unheard
}

// isHeard reports whether a router was heard from an address within PeerTimeout. The lock must be held.
func (f *Fleet) isHeard(now time.Time, address netip.AddrPort) bool {
	p := f.peers[address]
	return p != nil && p.name != "" && now.Sub(p.lastSeen) < f.settings.PeerTimeout
}

// takeContacts returns the addresses to contact with this update. The lock must be held.
func (f *Fleet) takeContacts(now time.Time) []netip.AddrPort {
	var targets []netip.AddrPort
	for address, left := range f.contacts {
		if left <= 0 || f.isHeard(now, address) {
			delete(f.contacts, address)
			continue
		}
		f.contacts[address] = left - 1
		if f.peers[address] == nil {
			targets = append(targets, address)
		}
	}
	return targets
}

// rankOf orders routers by the hash of their addresses, so that all routers with the same view of the fleet agree without coordination.
func rankOf(address netip.AddrPort) uint64 { return xxhash.Sum64String(address.String()) }

// Rank returns how many peers that were heard within PeerTimeout come before this router in the order by the hash of the addresses.
func (f *Fleet) Rank(now time.Time) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	own, rank := rankOf(f.settings.Self), 0
	for address := range f.peers {
		if f.isHeard(now, address) && rankOf(address) < own {
			rank++
		}
	}
	return rank
}
