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
	Key            []byte `json:"key"`
	StartRevision  number `json:"start_revision,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

type watchEvent struct {
	Type string `json:"type"`
	Kv   pair   `json:"kv"`
}

type watchResponse struct {
	Result struct {
		Header          header       `json:"header"`
		Canceled        bool         `json:"canceled"`
		CompactRevision number       `json:"compact_revision"`
		Events          []watchEvent `json:"events"`
	} `json:"result"`
}

// Watch follows a key until the context ends or the watch is cut.
func (e *Etcd) Watch(ctx context.Context, key string, fromRevision int64, changed func(Change)) error {
	e.calls.Watches.Add(1)
	request := watchRequest{
		Create: watchCreate{
			Key:            []byte(key),
			StartRevision:  number(fromRevision),
			ProgressNotify: true,
		},
	}
	answer, sent, err := e.post(ctx, "/v3/watch", request)
	if err != nil {
		return e.lost("/v3/watch", sent, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return e.refusal("/v3/watch", answer)
	}
	bounded := &messageReader{
		source: answer.Body,
	}
	lines := json.NewDecoder(bounded)
	for {
		bounded.left = answerBytes
		var response watchResponse
		if err := lines.Decode(&response); err != nil {
			return e.lost("/v3/watch", true, err)
		}
		if response.Result.CompactRevision > 0 {
			return &CompactedError{
				Revision: int64(response.Result.CompactRevision),
			}
		}
		for _, event := range response.Result.Events {
			if event.Kv.ModRevision <= 0 {
				return unstated("watch", "revision")
			}
			changed(Change{
				Value: Value{
					Key:      key,
					Bytes:    event.Kv.Value,
					Revision: int64(event.Kv.ModRevision),
				},
				Deleted: event.Type == "DELETE",
			})
		}
	}
}

// Backoff is a capped exponential delay. It is immutable: After returns the delay of an attempt.
type Backoff struct {
	Initial time.Duration
	Max     time.Duration
}

// Delay returns the delay before a retry, spread by a random number in [0, 1) so that a fleet does not come back as one.
func (b Backoff) Delay(attempt int, random float64) time.Duration {
	delay := b.Initial << min(attempt, 16)
	if delay > b.Max || delay <= 0 {
		delay = b.Max
	}
	return delay/2 + time.Duration(random*float64(delay)/2)
}

// FollowSettings are the times of Follow.
type FollowSettings struct {
	Backoff Backoff
	// WatchIdleTimeout is how long a watch may stay silent before the key is read once on another connection, because a connection can die without a sign.
	WatchIdleTimeout time.Duration
}

// Follow keeps the caller informed of a key's value through outages: it reads, watches from there, and starts over when the watch is cut.
// The callback sees each value at least once and may see older ones; failed is called for each failure.
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

// followOnce reads the key and watches it until the watch is cut or was silent for the recheck time.
func followOnce(ctx context.Context, store Store, key string, recheck time.Duration, changed func(Value)) error {
	value, err := store.Get(ctx, key)
	if err != nil {
		return trace.Wrap(err)
	}
	changed(value)
	ctx, cancel := context.WithCancel(ctx)
	changes := make(chan Change)
	watch := hwtask.Start(ctx, func(ctx context.Context) error {
		return store.Watch(ctx, key, value.Revision+1, func(c Change) {
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
	silent := time.NewTimer(recheck)
	defer silent.Stop()
	for {
		select {
		case change := <-changes:
			changed(change.Value)
			silent.Reset(recheck)
		case err := <-watch:
			var compacted *CompactedError
			if errors.As(err, &compacted) {
				// The key is read again and watched from its present revision.
				return nil
			}
			return trace.Wrap(err)
		case <-silent.C:
			return nil
		}
	}
}

// messageReader bounds what one message of a watch may take; the watch itself has no end.
type messageReader struct {
	source io.Reader
	// left is what the present message may still take, in bytes.
	left int
}

// Read reads within the bound.
func (m *messageReader) Read(p []byte) (int, error) {
	if m.left == 0 {
		return 0, &http.MaxBytesError{
			Limit: answerBytes,
		}
	}
	n, err := m.source.Read(p[:min(len(p), m.left)])
	m.left -= n
	return n, err
}
