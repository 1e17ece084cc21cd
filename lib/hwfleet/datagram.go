package hwfleet

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

// numberOf and memberOf translate between an address and its number in a datagram.
func numberOf(address netip.AddrPort) uint64 {
	ip := address.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(address.Port())
}

func memberOf(number uint64) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(number>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(number))
}

// datagramOf writes news as a datagram that does not name its sender yet.
func datagramOf(now time.Time, news hwforward.PeerUpdate) *hwpeerpb.Datagram {
	datagram := &hwpeerpb.Datagram{}
	pools := map[string]*hwpeerpb.PoolNews{}
	pool := func(name string) *hwpeerpb.PoolNews {
		if pools[name] == nil {
			pools[name] = &hwpeerpb.PoolNews{
				Pool: name,
			}
			datagram.Pools = append(datagram.Pools, pools[name])
		}
		return pools[name]
	}
	for name, loads := range news.Loads {
		columns := pool(name)
		for _, l := range loads {
			columns.Upstreams = append(columns.Upstreams, uint32(l.Upstream))
			columns.Tokens = append(columns.Tokens, uint32(l.PendingTokens))
			columns.Running = append(columns.Running, uint32(l.Running))
		}
	}
	for name, seen := range news.Observations {
		columns := pool(name)
		for _, s := range seen {
			if s.Unreachable {
				columns.Unreachable = append(columns.Unreachable, uint32(s.Upstream))
				columns.UnreachableAges = append(columns.UnreachableAges, milliseconds(s.Age))
				continue
			}
			columns.Seen = append(columns.Seen, uint32(s.Upstream))
			columns.SeenRunning = append(columns.SeenRunning, uint32(s.Running))
			columns.SeenWaiting = append(columns.SeenWaiting, uint32(s.Waiting))
			columns.SeenAges = append(columns.SeenAges, milliseconds(s.Age))
		}
	}
	for _, r := range news.Prefills {
		columns := pool(r.Pool)
		columns.Readers = append(columns.Readers, uint32(r.Upstream))
		columns.Chains = append(columns.Chains, r.Prefix.PrefixHash)
		columns.Lengths = append(columns.Lengths, uint32(r.Prefix.Tokens))
	}
	for account, use := range news.AccountUsage {
		datagram.Uses = append(datagram.Uses, &hwpeerpb.AccountUse{
			Account: account,
			Asked:   uint32(use.Demand),
			Given:   uint32(use.Admitted),
		})
	}
	for _, s := range news.Strikes {
		datagram.Strikes = append(datagram.Strikes, &hwpeerpb.CrashStrike{
			Fingerprint: uint64(s.Fingerprint),
			Upstream:    s.Upstream,
			AgeMs:       uint32(max(0, now.Sub(s.OccurredAt).Milliseconds())),
			Cleared:     s.Cleared,
		})
	}
	return datagram
}

// newsOf reads a datagram's news. Columns of unequal length come from a stranger; what has no partner is left out.
func newsOf(now time.Time, datagram *hwpeerpb.Datagram) hwforward.PeerUpdate {
	news := hwforward.PeerUpdate{
		Loads:        map[string][]hwplace.PeerLoad{},
		Observations: map[string][]hwplace.Observation{},
	}
	for _, pool := range datagram.GetPools() {
		name, upstreams, tokens, running := pool.GetPool(), pool.GetUpstreams(), pool.GetTokens(), pool.GetRunning()
		for i := range min(len(upstreams), len(tokens), len(running)) {
			news.Loads[name] = append(news.Loads[name], hwplace.PeerLoad{
				Upstream:      hwplace.IDHash(upstreams[i]),
				PendingTokens: float64(tokens[i]),
				Running:       int(running[i]),
			})
		}
		news.Observations[name] = seenOf(pool)
		readers, chains, lengths := pool.GetReaders(), pool.GetChains(), pool.GetLengths()
		for i := range min(len(readers), len(chains), len(lengths)) {
			news.Prefills = append(news.Prefills, hwforward.Prefill{
				Pool:     name,
				Upstream: hwplace.IDHash(readers[i]),
				Prefix: hwprompt.ChainedSegment{
					PrefixHash: chains[i],
					Tokens:     int(lengths[i]),
				},
			})
		}
	}
	if uses := datagram.GetUses(); len(uses) > 0 {
		news.AccountUsage = make(map[string]hwadmit.Usage, len(uses))
		for _, use := range uses {
			news.AccountUsage[use.GetAccount()] = hwadmit.Usage{
				Demand:   float64(use.GetAsked()),
				Admitted: float64(use.GetGiven()),
			}
		}
	}
	for _, s := range datagram.GetStrikes() {
		news.Strikes = append(news.Strikes, hwquarantine.CrashReport{
			Fingerprint: hwquarantine.Fingerprint(s.GetFingerprint()),
			Upstream:    s.GetUpstream(),
			OccurredAt:  now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond),
			Cleared:     s.GetCleared(),
		})
	}
	return news
}

// seenOf reads what a peer saw of a pool's upstreams.
func seenOf(pool *hwpeerpb.PoolNews) []hwplace.Observation {
	var all []hwplace.Observation
	seen, running, waiting, ages := pool.GetSeen(), pool.GetSeenRunning(), pool.GetSeenWaiting(), pool.GetSeenAges()
	for i := range min(len(seen), len(running), len(waiting), len(ages)) {
		all = append(all, hwplace.Observation{
			Upstream: hwplace.IDHash(seen[i]),
			Running:  bounded(running[i]),
			Waiting:  bounded(waiting[i]),
			Age:      time.Duration(ages[i]) * time.Millisecond,
		})
	}
	missed, missedAges := pool.GetUnreachable(), pool.GetUnreachableAges()
	for i := range min(len(missed), len(missedAges)) {
		all = append(all, hwplace.Observation{
			Upstream:    hwplace.IDHash(missed[i]),
			Unreachable: true,
			Age:         time.Duration(missedAges[i]) * time.Millisecond,
		})
	}
	return all
}

// mostCounted bounds counts from peers: no upstream has more requests.
const mostCounted = 100_000

func bounded(count uint32) int { return int(min(count, mostCounted)) }
