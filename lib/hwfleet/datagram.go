package hwfleet

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

// encodeAddress and decodeAddress convert between an address and its number in a datagram: the IPv4 address followed by the 16 bits of the port.
func encodeAddress(address netip.AddrPort) uint64 {
	ip := address.Addr().As4()
	return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(address.Port())
}

func decodeAddress(number uint64) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(number>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(number))
}

// encodeUpdate encodes an update as a datagram. The sender is still missing; completeUpdate adds it.
func encodeUpdate(now time.Time, update hwforward.PeerUpdate) *hwpeerpb.Datagram {
	datagram := &hwpeerpb.Datagram{
		Zone:          update.Zone,
		OutOfRotation: update.OutOfRotation,
		Overloaded:    update.Overloaded,
		KnowsCrashes:  update.KnowsCrashes,
		TableVersion:  update.TableVersion,
		StoreEra:      update.StoreEra,
	}
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
	for name, loads := range update.Loads {
		columns := pool(name)
		columns.Upstreams, columns.Tokens, columns.Running = make([]uint32, 0, len(loads)), make([]uint32, 0, len(loads)), make([]uint32, 0, len(loads))
		for _, l := range loads {
			columns.Upstreams = append(columns.Upstreams, uint32(l.Upstream))
			columns.Tokens = append(columns.Tokens, uint32(l.PendingTokens))
			columns.Running = append(columns.Running, uint32(l.Running))
		}
	}
	for name, observations := range update.Observations {
		columns := pool(name)
		for _, o := range observations {
			if o.SpeedWeight > 0 {
				columns.Speeds = append(columns.Speeds, uint32(o.Upstream))
				columns.SpeedPercents = append(columns.SpeedPercents, boundedUint32(o.SpeedFactor*100))
				columns.SpeedWeights = append(columns.SpeedWeights, boundedUint32(o.SpeedWeight*speedWeightScale))
				continue
			}
			if o.Unreachable {
				columns.Unreachable = append(columns.Unreachable, uint32(o.Upstream))
				columns.UnreachableAges = append(columns.UnreachableAges, ageMilliseconds(o.Age))
				continue
			}
			columns.Seen = append(columns.Seen, uint32(o.Upstream))
			columns.SeenRunning = append(columns.SeenRunning, uint32(o.Running))
			columns.SeenWaiting = append(columns.SeenWaiting, uint32(o.Waiting))
			columns.SeenAges = append(columns.SeenAges, ageMilliseconds(o.Age))
		}
	}
	for _, prefill := range update.Prefills {
		columns := pool(prefill.Pool)
		columns.Readers = append(columns.Readers, uint32(prefill.Upstream))
		columns.Chains = append(columns.Chains, prefill.Prefix.PrefixHash)
		columns.Lengths = append(columns.Lengths, uint32(prefill.Prefix.Tokens))
	}
	for account, usage := range update.AccountUsage {
		datagram.Uses = append(datagram.Uses, &hwpeerpb.AccountUse{
			Account: account,
			Asked:   uint32(usage.Demand),
			Given:   uint32(usage.Admitted),
		})
	}
	for _, r := range update.SegmentReports {
		datagram.Segments = append(datagram.Segments, &hwpeerpb.SegmentReport{
			Segment:        uint64(r.Segment),
			Kind:           uint32(r.Kind),
			AgeMs:          reportAge(now, r.At),
			Upstream:       uint32(r.Upstream),
			AnsweredBefore: r.AnsweredBefore,
			Trials:         uint32(r.Trials),
			CrashId:        uint32(r.ID),
		})
	}
	for _, hash := range update.Leaving {
		datagram.Leaving = append(datagram.Leaving, uint64(hash))
	}
	encodeVersions(datagram, update)
	return datagram
}

// reportAge returns the age of a report in milliseconds.
func reportAge(now, at time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at).Milliseconds()), math.MaxUint32))
}

// decodeUpdate decodes the update in a datagram. Columns of unequal length, which no router sends, are cut to the shortest of them.
func decodeUpdate(now time.Time, datagram *hwpeerpb.Datagram) hwforward.PeerUpdate {
	update := hwforward.PeerUpdate{
		Zone:          datagram.GetZone(),
		OutOfRotation: datagram.GetOutOfRotation(),
		Overloaded:    datagram.GetOverloaded(),
		KnowsCrashes:  datagram.GetKnowsCrashes(),
		TableVersion:  datagram.GetTableVersion(),
		StoreEra:      datagram.GetStoreEra(),
		Loads:         map[string][]hwplace.PeerLoad{},
		Observations:  map[string][]hwplace.Observation{},
	}
	for _, pool := range datagram.GetPools() {
		name, upstreams, tokens, running := pool.GetPool(), pool.GetUpstreams(), pool.GetTokens(), pool.GetRunning()
		if count := min(len(upstreams), len(tokens), len(running)); count > 0 {
			loads := slices.Grow(update.Loads[name], count)
			for i := range count {
				loads = append(loads, hwplace.PeerLoad{
					Upstream:      hwplace.IDHash(upstreams[i]),
					PendingTokens: float64(tokens[i]),
					Running:       int(running[i]),
				})
			}
			update.Loads[name] = loads
		}
		update.Observations[name] = decodeObservations(pool)
		readers, chains, lengths := pool.GetReaders(), pool.GetChains(), pool.GetLengths()
		prefills := min(len(readers), len(chains), len(lengths))
		update.Prefills = slices.Grow(update.Prefills, prefills)
		for i := range prefills {
			update.Prefills = append(update.Prefills, hwforward.Prefill{
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
		update.AccountUsage = make(map[string]hwadmit.Usage, len(uses))
		for _, use := range uses {
			update.AccountUsage[use.GetAccount()] = hwadmit.Usage{
				Demand:   float64(use.GetAsked()),
				Admitted: float64(use.GetGiven()),
			}
		}
	}
	for _, r := range datagram.GetSegments() {
		update.SegmentReports = append(update.SegmentReports, hwquarantine.SegmentReport{
			Segment:        hwquarantine.Segment(r.GetSegment()),
			Kind:           hwquarantine.SegmentReportKind(r.GetKind()),
			At:             now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
			Upstream:       hwquarantine.UpstreamHash(r.GetUpstream()),
			AnsweredBefore: r.GetAnsweredBefore(),
			Trials:         boundedCount(r.GetTrials()),
			ID:             hwquarantine.CrashID(r.GetCrashId()),
		})
	}
	decodeVersions(&update, datagram)
	for _, hash := range datagram.GetLeaving() {
		update.Leaving = append(update.Leaving, hwplace.LifetimeHash(hash))
	}
	return update
}

// decodeObservations returns what a peer observed of a pool's upstreams.
func decodeObservations(pool *hwpeerpb.PoolNews) []hwplace.Observation {
	upstreams, running, waiting, ages := pool.GetSeen(), pool.GetSeenRunning(), pool.GetSeenWaiting(), pool.GetSeenAges()
	unreachable, unreachableAges := pool.GetUnreachable(), pool.GetUnreachableAges()
	seenCount, unreachableCount := min(len(upstreams), len(running), len(waiting), len(ages)), min(len(unreachable), len(unreachableAges))
	observations := slices.Grow([]hwplace.Observation(nil), seenCount+unreachableCount)
	for i := range seenCount {
		observations = append(observations, hwplace.Observation{
			Upstream: hwplace.IDHash(upstreams[i]),
			Running:  boundedCount(running[i]),
			Waiting:  boundedCount(waiting[i]),
			Age:      time.Duration(ages[i]) * time.Millisecond,
		})
	}
	for i := range unreachableCount {
		observations = append(observations, hwplace.Observation{
			Upstream:    hwplace.IDHash(unreachable[i]),
			Unreachable: true,
			Age:         time.Duration(unreachableAges[i]) * time.Millisecond,
		})
	}
	speeds, percents, weights := pool.GetSpeeds(), pool.GetSpeedPercents(), pool.GetSpeedWeights()
	for i := range min(len(speeds), len(percents), len(weights)) {
		if percents[i] == 0 || weights[i] == 0 {
			continue
		}
		observations = append(observations, hwplace.Observation{
			Upstream:    hwplace.IDHash(speeds[i]),
			SpeedFactor: float64(percents[i]) / 100,
			SpeedWeight: float64(weights[i]) / speedWeightScale,
		})
	}
	return observations
}

// speedWeightScale is the weight of a sample in a datagram. Samples of short prompts count for a few hundredths.
const speedWeightScale = 1000

// boundedUint32 rounds a number and clamps it to the range of a uint32.
func boundedUint32(value float64) uint32 {
	return uint32(min(math.MaxUint32, max(0, math.Round(value))))
}

// maxRequestCount bounds the request counts from peers: no upstream has more requests.
const maxRequestCount = 100_000

func boundedCount(count uint32) int { return int(min(count, maxRequestCount)) }
