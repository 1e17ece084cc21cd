package hwfleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwpeerpb"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwversion"
)

const (
	// streamQueryTimeout is how long the answers to a query may take; peers answer from memory. streamQueryTries is how often one is sent, because datagrams get lost.
	streamQueryTimeout = 50 * time.Millisecond
	streamQueryTries   = 2
)

// StreamDirectory knows at which versions streams began.
type StreamDirectory interface {
	// TakeStreams returns the streams to tell to the peers, by the name of the peer.
	TakeStreams(now time.Time) map[string][]hwversion.Stream
	// AddStreams adds those that a peer has told.
	AddStreams(now time.Time, streams []hwversion.Stream)
	// FindStream returns where a stream began, or false if that is not known.
	FindStream(id hwversion.StreamID) (hwversion.Origin, bool)
}

// SetStreamDirectory sets what the streams of peers are added to. Without it, none are exchanged.
func (f *Fleet) SetStreamDirectory(directory StreamDirectory) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.streams = directory
}

func (f *Fleet) streamDirectory() StreamDirectory {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.streams
}

// sendStreams tells the peers of the streams that this router serves.
func (f *Fleet) sendStreams(now time.Time) {
	directory := f.streamDirectory()
	if directory == nil {
		return
	}
	for router, streams := range directory.TakeStreams(now) {
		if target, known := f.addressOf(router); known {
			f.sendDatagram(target, &hwpeerpb.Datagram{
				Streams: EncodeStreams(now, streams),
			})
		}
	}
}

// EncodeStreams encodes streams for other routers.
func EncodeStreams(now time.Time, streams []hwversion.Stream) *hwpeerpb.StreamOrigins {
	message := &hwpeerpb.StreamOrigins{}
	for _, s := range streams {
		message.Streams = append(message.Streams, uint64(s.ID))
		message.Versions = append(message.Versions, uint32(s.Origin.Version))
		message.Upstreams = append(message.Upstreams, uint32(s.Origin.Upstream))
		message.Ages = append(message.Ages, ageMilliseconds(now.Sub(s.Origin.BeganAt)))
	}
	return message
}

// DecodeStreams decodes streams from another router. Columns of unequal length are cut to the shortest of them.
func DecodeStreams(now time.Time, message *hwpeerpb.StreamOrigins) []hwversion.Stream {
	ids, versions, upstreams, ages := message.GetStreams(), message.GetVersions(), message.GetUpstreams(), message.GetAges()
	streams := make([]hwversion.Stream, min(len(ids), len(versions), len(upstreams), len(ages)))
	for i := range streams {
		streams[i] = hwversion.Stream{
			ID: hwversion.StreamID(ids[i]),
			Origin: hwversion.Origin{
				Version:  hwplace.VersionHash(versions[i]),
				Upstream: hwplace.IDHash(upstreams[i]),
				BeganAt:  now.Add(-time.Duration(ages[i]) * time.Millisecond),
			},
		}
	}
	return streams
}

// FindStream asks routers for the origin of a stream, all at the same time. It returns the first origin that one of them knows, or false if none does or they don't answer.
func (f *Fleet) FindStream(ctx context.Context, routers []string, id hwversion.StreamID) (hwversion.Origin, bool) {
	for range streamQueryTries {
		if origin, found, complete := f.findStreamOnce(ctx, routers, id); found || complete {
			return origin, found
		}
	}
	return hwversion.Origin{}, false
}

// findStreamOnce sends one query to each of the routers. Complete means that all of them have answered.
func (f *Fleet) findStreamOnce(ctx context.Context, routers []string, id hwversion.StreamID) (origin hwversion.Origin, found, complete bool) {
	nonce := rand.Uint64()
	// Duplicates of a datagram are dropped once the channel is full.
	received := make(chan *hwpeerpb.StreamAnswer, len(routers))
	f.lock.Lock()
	f.pendingStreams[nonce] = received
	f.lock.Unlock()
	defer func() {
		f.lock.Lock()
		defer f.lock.Unlock()
		delete(f.pendingStreams, nonce)
	}()
	asked := 0
	for _, router := range routers {
		if target, known := f.addressOf(router); known {
			asked++
			f.sendDatagram(target, &hwpeerpb.Datagram{
				StreamQuery: &hwpeerpb.StreamQuery{
					Nonce:  nonce,
					Stream: uint64(id),
				},
			})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, streamQueryTimeout)
	defer cancel()
	for range asked {
		answer, answered := await(ctx, received)
		if !answered {
			return hwversion.Origin{}, false, false
		}
		if streams := DecodeStreams(f.now(), answer.GetOrigin()); len(streams) > 0 {
			origin = streams[0].Origin
			origin.Conflicting = answer.GetConflicting()
			return origin, true, true
		}
	}
	return hwversion.Origin{}, false, true
}

// handleStreams handles a datagram about streams.
func (f *Fleet) handleStreams(now time.Time, datagram *hwpeerpb.Datagram, respond func(*hwpeerpb.Datagram)) {
	directory := f.streamDirectory()
	if directory == nil {
		return
	}
	if streams := datagram.GetStreams(); streams != nil {
		directory.AddStreams(now, DecodeStreams(now, streams))
	}
	if query := datagram.GetStreamQuery(); query != nil {
		answer := &hwpeerpb.StreamAnswer{
			Nonce: query.GetNonce(),
		}
		id := hwversion.StreamID(query.GetStream())
		if origin, found := directory.FindStream(id); found {
			answer.Origin = EncodeStreams(now, []hwversion.Stream{{
				ID:     id,
				Origin: origin,
			}})
			answer.Conflicting = origin.Conflicting
		}
		respond(&hwpeerpb.Datagram{
			StreamAnswer: answer,
		})
	}
	if answer := datagram.GetStreamAnswer(); answer != nil {
		f.lock.Lock()
		defer f.lock.Unlock()
		select {
		case f.pendingStreams[answer.GetNonce()] <- answer:
		default:
		}
	}
}

// isAboutStreams reports whether a datagram has no update.
func isAboutStreams(datagram *hwpeerpb.Datagram) bool {
	return datagram.GetStreams() != nil || datagram.GetStreamQuery() != nil || datagram.GetStreamAnswer() != nil
}

// encodeVersions adds what an update states of versions to a datagram.
func encodeVersions(datagram *hwpeerpb.Datagram, update hwforward.PeerUpdate) {
	datagram.SeeksVersions = update.SeeksVersions
	for _, report := range update.Versions {
		news := &hwpeerpb.VersionNews{
			Pool: report.Pool,
			// The time is rounded down, because none may be claimed.
			ObservedMs: uint32(min(report.ObservedFor, time.Hour) / time.Millisecond),
		}
		for version, age := range report.Ages {
			news.Versions = append(news.Versions, uint32(version))
			news.Ages = append(news.Ages, uint32(min(max(0, age), time.Hour)/time.Millisecond))
		}
		datagram.Versions = append(datagram.Versions, news)
	}
}

// decodeVersions adds what a datagram states of versions to an update.
func decodeVersions(update *hwforward.PeerUpdate, datagram *hwpeerpb.Datagram) {
	update.SeeksVersions = datagram.GetSeeksVersions()
	for _, news := range datagram.GetVersions() {
		versions, ages := news.GetVersions(), news.GetAges()
		report := hwversion.Report{
			Pool:        news.GetPool(),
			ObservedFor: time.Duration(news.GetObservedMs()) * time.Millisecond,
			Ages:        map[hwplace.VersionHash]time.Duration{},
		}
		for i := range min(len(versions), len(ages)) {
			report.Ages[hwplace.VersionHash(versions[i])] = time.Duration(ages[i]) * time.Millisecond
		}
		update.Versions = append(update.Versions, report)
	}
}
