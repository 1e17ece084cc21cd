// Package hwdiscovery lets the routers of a fleet find each other through the platform's store, also if none of their seeds is right.
//
// A few routers of the fleet keep an entry there under a lease. A router that hears of nobody reads the entries and contacts those that they name; everything else is up to the datagrams between routers, which spread the members. So the calls to the store do not grow with the fleet.
package hwdiscovery

import (
	"encoding/json"
	"net/netip"
	"strconv"

	"github.com/gravitational/trace"
)

// Entry is what a router states about itself in the store.
type Entry struct {
	// Address is where it receives the datagrams of other routers.
	Address netip.AddrPort
	// Zone is its availability zone.
	Zone string
	// Boot distinguishes its starts.
	Boot uint64
	// Release is the version of its software.
	Release string
	// PublicKey is for a later release that authenticates peers; it is left out while it is empty.
	PublicKey []byte
}

// encodedEntry is the JSON encoding. Fields that later releases add are ignored.
type encodedEntry struct {
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	// Boot is in hexadecimal, because JSON numbers may lose digits.
	Boot      string `json:"boot"`
	Release   string `json:"release,omitempty"`
	PublicKey []byte `json:"public-key,omitempty"`
}

// AddressError reports that an entry names no address to which datagrams can be sent.
type AddressError struct {
	Address string
}

// Error returns a message with the address.
func (e *AddressError) Error() string {
	return "entry of a router has the unusable address " + strconv.Quote(e.Address)
}

// Encode encodes an entry.
func Encode(e Entry) ([]byte, error) {
	encoded, err := json.Marshal(encodedEntry{
		Address:   e.Address.String(),
		Zone:      e.Zone,
		Boot:      strconv.FormatUint(e.Boot, 16),
		Release:   e.Release,
		PublicKey: e.PublicKey,
	})
	return encoded, trace.Wrap(err)
}

// Decode decodes an entry. Only the address has to be usable, which is an IPv4 unicast address and a port.
func Decode(encoded []byte) (Entry, error) {
	var decoded encodedEntry
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		return Entry{}, trace.Wrap(err)
	}
	address, err := netip.ParseAddrPort(decoded.Address)
	ip := address.Addr()
	if err != nil || !ip.Is4() || address.Port() == 0 || ip.IsMulticast() || ip.IsUnspecified() || ip == broadcast {
		return Entry{}, &AddressError{
			Address: decoded.Address[:min(len(decoded.Address), maxLoggedAddress)],
		}
	}
	// An entry whose boot can't be read still names an address; it is no one's own.
	boot, _ := strconv.ParseUint(decoded.Boot, 16, 64)
	return Entry{
		Address:   address,
		Zone:      decoded.Zone,
		Boot:      boot,
		Release:   decoded.Release,
		PublicKey: decoded.PublicKey,
	}, nil
}

// maxLoggedAddress limits how much of an unusable address is logged, in bytes.
const maxLoggedAddress = 64

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})
