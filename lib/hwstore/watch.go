package hwstore

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key            []byte    `json:"key"`
	StartRevision  jsonInt64 `json:"start_revision,omitempty"`
	ProgressNotify bool      `json:"progress_notify,omitempty"`
}

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

type watchResponse struct {
	Result struct {
		Header          header       `json:"header"`
		Canceled        bool         `json:"canceled"`
		CompactRevision jsonInt64    `json:"compact_revision"`
		Events          []watchEvent `json:"events"`
	} `json:"result"`
}

// Watch calls changed for each change of a key after the given revision, until the context ends or the watch fails.
func (e *Etcd) Watch(ctx context.Context, key string, after Revision, changed func(Change)) error {
	e.counters.Watches.Add(1)
	request := watchRequest{
		Create: watchCreate{
			Key:            []byte(key),
			StartRevision:  jsonInt64(after.Number + 1),
			ProgressNotify: true,
		},
	}
	reply, sent, err := e.post(ctx, "/v3/watch", request)
	if err != nil {
		return e.transportError("/v3/watch", sent, err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return e.statusError("/v3/watch", reply)
	}
	bounded := &limitedMessageReader{
		source: reply.Body,
	}
	decoder := json.NewDecoder(bounded)
	for {
		bounded.remaining = maxResponseBytes
		var response watchResponse
		if err := decoder.Decode(&response); err != nil {
			return e.transportError("/v3/watch", true, err)
		}
		if response.Result.CompactRevision > 0 {
			return &CompactedError{
				Revision: int64(response.Result.CompactRevision),
			}
		}
		cluster := uint64(response.Result.Header.ClusterID)
		if after.IsOfOtherCluster(cluster) {
			// A restored store reports no change below the start revision, which may be above its own.
			return trace.Wrap(&RestoredError{
				Call: "/v3/watch",
			})
		}
		for _, event := range response.Result.Events {
			if event.Kv.ModRevision <= 0 {
				return incompleteResponse("watch", "revision")
			}
			changed(Change{
				Value: Value{
					Key:   key,
					Bytes: event.Kv.Value,
					Revision: Revision{
						Cluster: cluster,
						Number:  int64(event.Kv.ModRevision),
					},
				},
				Deleted: event.Type == "DELETE",
			})
		}
	}
}

// Backoff is a capped exponential backoff with jitter. It has no state; Delay computes the delay of an attempt.
type Backoff struct {
	Initial time.Duration
	Max     time.Duration
}

// Delay returns the delay before a retry. The random number in [0, 1) adds jitter over half of the delay, so that the instances of a fleet do not retry at the same time.
func (b Backoff) Delay(attempt int, random float64) time.Duration {
	delay := b.Initial << min(attempt, 16)
	if delay > b.Max || delay <= 0 {
		delay = b.Max
	}
	return delay/2 + time.Duration(random*float64(delay)/2)
}

// FollowSettings are the timing settings of Follow.
type FollowSettings struct {
	Backoff Backoff
	// WatchIdleTimeout is the time without changes after which the watch is restarted and the key read again, because a connection can fail without an error.
	WatchIdleTimeout time.Duration
}

// Follow reports the value of a key until the context ends: it reads the key, watches it from the revision read, and starts over when the watch ends or fails.
// It may pass the same value to changed more than once, and older values after newer ones. It calls failed with each error.
func Follow(ctx context.Context, store Store, key string, settings FollowSettings, changed func(Value), failed func(error)) error {
	attempt := 0
	for ctx.Err() == nil {
		err := followOnce(ctx, store, key, settings.WatchIdleTimeout, func(v Value) {
			attempt = 0
			changed(v)
		})
		if err == nil || ctx.Err() != nil {
			continue
		}
		failed(err)
		attempt++
		hwtask.Sleep(ctx, settings.Backoff.Delay(attempt, rand.Float64()))
	}
	return nil
}

// followOnce reads the key and watches it until the watch fails or reports no change for the idle timeout.
func followOnce(ctx context.Context, store Store, key string, idleTimeout time.Duration, changed func(Value)) error {
	value, err := store.Get(ctx, key)
	if err != nil {
		return trace.Wrap(err)
	}
	changed(value)
	ctx, cancel := context.WithCancel(ctx)
	changes := make(chan Change)
	watch := hwtask.Start(ctx, func(ctx context.Context) error {
		return store.Watch(ctx, key, value.Revision, func(c Change) {
			select {
			case changes <- c:
			case <-ctx.Done():
			}
		})
	})
	defer func() {
		cancel()
		_ = hwtask.Join(watch)
	}()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case change := <-changes:
			changed(change.Value)
			idle.Reset(idleTimeout)
		case err := <-watch:
			var compacted *CompactedError
			if errors.As(err, &compacted) {
				// The caller reads the key again and watches from its current revision.
				return nil
			}
			return trace.Wrap(err)
		case <-idle.C:
			return nil
		}
	}
}

// limitedMessageReader limits the size of each message of a watch. The watch as a whole is unlimited.
type limitedMessageReader struct {
	source io.Reader
	// remaining is the number of bytes that the current message may still use.
	remaining int
}

// Read reads at most the remaining bytes and fails when none are left.
func (m *limitedMessageReader) Read(p []byte) (int, error) {
	if m.remaining == 0 {
		return 0, &http.MaxBytesError{
			Limit: maxResponseBytes,
		}
	}
	n, err := m.source.Read(p[:min(len(p), m.remaining)])
	m.remaining -= n
	return n, err
}
