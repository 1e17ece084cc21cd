package hwversion

import (
	"maps"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwplace"
)

// recordFormat is the version of the encoding of a record.
const recordFormat = 1

// FormatError reports that a record has a format that this version does not know.
type FormatError struct {
	Format uint32
}

// Error returns the format.
func (e *FormatError) Error() string {
	return "record of streams has the unknown format " + strconv.FormatUint(uint64(e.Format), 10)
}

// Part is a router's part of the record.
type Part struct {
	// Streams are those that would be in doubt if all routers ended now. Decoded ones do not state the upstreams and the times.
	Streams []Stream
	// Settled are the pools of which one version alone has served for longer than a stream can last.
	Settled map[string]hwplace.VersionHash
	// Era is the store's era at the time of writing. Unlike streams, what is settled changes, so a restored store may hold what no longer holds.
	Era uint64
}

// Encode encodes a part of the record.
func Encode(part Part) ([]byte, error) {
	message := &hwpeerpb.StreamRecord{
		Format: recordFormat,
		Era:    part.Era,
	}
	for _, s := range part.Streams {
		if s.Origin.Conflicting {
			continue
		}
		message.Streams = append(message.Streams, uint64(s.ID))
		message.Versions = append(message.Versions, uint32(s.Origin.Version))
	}
	for _, pool := range slices.Sorted(maps.Keys(part.Settled)) {
		message.SettledPools = append(message.SettledPools, pool)
		message.SettledVersions = append(message.SettledVersions, uint32(part.Settled[pool]))
	}
	encoded, err := proto.Marshal(message)
	return encoded, trace.Wrap(err)
}

// Decode decodes a part of the record.
func Decode(encoded []byte) (Part, error) {
	message := &hwpeerpb.StreamRecord{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return Part{}, trace.Wrap(err)
	}
	if message.GetFormat() != recordFormat {
		return Part{}, &FormatError{
			Format: message.GetFormat(),
		}
	}
	part := Part{
		Settled: map[string]hwplace.VersionHash{},
		Era:     message.GetEra(),
	}
	versions := message.GetVersions()
	for i, id := range message.GetStreams()[:min(len(message.GetStreams()), len(versions))] {
		part.Streams = append(part.Streams, Stream{
			ID: StreamID(id),
			Origin: Origin{
				Version: hwplace.VersionHash(versions[i]),
			},
		})
	}
	settled := message.GetSettledVersions()
	for i, pool := range message.GetSettledPools()[:min(len(message.GetSettledPools()), len(settled))] {
		part.Settled[pool] = hwplace.VersionHash(settled[i])
	}
	return part, nil
}

// agreement collects what all parts of a record state to be settled. The zero value has no part.
type agreement struct {
	settled map[string]hwplace.VersionHash
	parts   int
}

// add adds a part. One of another era of the store, or one that can't be read, states nothing.
func (a *agreement) add(part Part, era uint64) {
	stated := part.Settled
	if part.Era != era {
		stated = nil
	}
	if a.parts == 0 {
		a.settled = maps.Clone(stated)
	}
	a.parts++
	maps.DeleteFunc(a.settled, func(pool string, version hwplace.VersionHash) bool { return stated[pool] != version })
}
