// Package hwhead publishes configuration documents in the platform's store: immutable bodies, and one head per environment whose version only increases within an era of the store.
package hwhead

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwera"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// VersionConflictError reports that another operator published a version first. This write has had no effect on the head.
type VersionConflictError struct {
	Environment string
	Version     uint64
	Author      string
}

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("version %d of %s was published concurrently by %s; review it and try again", e.Version, e.Environment, e.Author)
}

// OutcomeUnknownError reports that the response to a write was lost and the head could not be read back, so that the write may have taken effect.
type OutcomeUnknownError struct {
	OperationID string
	Cause       error
}

// Error names the operation ID by which the write can later be found in the head or its history.
func (e *OutcomeUnknownError) Error() string {
	return "unknown whether the write took effect; look for operation " + e.OperationID + " in the head"
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Publisher reads and writes documents and heads in the store.
type Publisher struct {
	store hwstore.Store
	// readBackTimeout bounds a head write including its retries and read-backs; after it the outcome is reported as unknown.
	readBackTimeout time.Duration
}

// New returns a publisher. The timeout bounds a head write including its retries and read-backs.
func New(store hwstore.Store, timeout time.Duration) *Publisher {
	return &Publisher{
		store:           store,
		readBackTimeout: timeout,
	}
}

// StoredHead is a head with its store revision, which is needed to replace it.
type StoredHead struct {
	Head     hwdocument.Head
	Revision hwstore.Revision
}

// ReadHead returns the head of an environment. Version 0 means that it does not exist.
func (p *Publisher) ReadHead(ctx context.Context, environment string) (StoredHead, error) {
	value, err := p.store.Get(ctx, hwdocument.HeadKey(environment))
	if err != nil {
		return StoredHead{}, trace.Wrap(err)
	}
	current := StoredHead{
		Revision: value.Revision,
	}
	if !value.Revision.Exists() {
		return current, nil
	}
	if err := json.Unmarshal(value.Bytes, &current.Head); err != nil {
		return StoredHead{}, trace.BadParameter("cannot decode the head of %s: %v", environment, err)
	}
	return current, nil
}

// ReadBody returns the document body with the given digest.
func (p *Publisher) ReadBody(ctx context.Context, digest string) ([]byte, error) {
	value, err := p.store.Get(ctx, hwdocument.BodyKey(digest))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if hwdocument.Digest(value.Bytes) != digest {
		return nil, trace.NotFound("no document with digest %s in the store", digest)
	}
	return value.Bytes, nil
}

// HeadWrite is a write to the head of an environment.
type HeadWrite struct {
	Environment string
	Digest      string
	Author      string
	// OperationID is unique to this write.
	OperationID string
}

// Publish validates and stores a body and makes it the next version of the environment named in write.
func (p *Publisher) Publish(ctx context.Context, now time.Time, body []byte, write HeadWrite) (hwdocument.Head, error) {
	if _, err := hwdocument.Decode(body); err != nil {
		return hwdocument.Head{}, trace.Wrap(err)
	}
	write.Digest = hwdocument.Digest(body)
	current, err := p.ReadHead(ctx, write.Environment)
	if err != nil {
		return hwdocument.Head{}, trace.Wrap(err)
	}
	if err := p.PutBody(ctx, write.Digest, body); err != nil {
		return hwdocument.Head{}, trace.Wrap(err)
	}
	return p.SwapHead(ctx, now, current, write)
}

// PutBody stores a body under its digest. A conflict means that the same body is stored already.
func (p *Publisher) PutBody(ctx context.Context, digest string, body []byte) error {
	_, err := p.store.Put(ctx, hwdocument.BodyKey(digest), body, hwstore.Revision{}, hwstore.NoLease)
	var conflict *hwstore.ConflictError
	var ambiguous *hwstore.AmbiguousError
	switch {
	case errors.As(err, &conflict):
		return nil
	case errors.As(err, &ambiguous):
		_, err = p.ReadBody(ctx, digest)
	}
	return trace.Wrap(err)
}

// SwapHead replaces a head that was read before by compare-and-swap. Of several concurrent writers exactly one succeeds.
// It fails with a RestoredError if the store has been restored from a copy since the head was read: the body may be lost, and the head, if it was written, belongs to an earlier era. Publishing again mends both.
// After a lost response it reads the head back, looks for the operation ID, and retries the same write while the head is unchanged; the compare-and-swap ensures that the write takes effect only once.
func (p *Publisher) SwapHead(ctx context.Context, now time.Time, current StoredHead, write HeadWrite) (hwdocument.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, p.readBackTimeout)
	defer cancel()
	era, err := hwera.Current(ctx, p.store, now, write.Environment)
	if err != nil {
		return hwdocument.Head{}, trace.Wrap(err)
	}
	if current.Revision.IsOfOtherCluster(era.Cluster) {
		return hwdocument.Head{}, errRestored()
	}
	next := current.Head.Next(now, write.Digest, write.OperationID, write.Author).WithEra(max(era.Number, current.Head.Era))
	encoded, err := json.Marshal(next)
	if err != nil {
		return hwdocument.Head{}, trace.Wrap(err)
	}
	for attempt := 0; ; attempt++ {
		written, err := p.store.Put(ctx, hwdocument.HeadKey(write.Environment), encoded, current.Revision, hwstore.NoLease)
		var restored *hwstore.RestoredError
		switch {
		case err == nil && !written.IsOfOtherCluster(era.Cluster):
			return next, nil
		case err == nil, errors.As(err, &restored):
			return hwdocument.Head{}, errRestored()
		}
		if !mayHaveTakenEffect(err) && attempt == 0 {
			return hwdocument.Head{}, trace.Wrap(err)
		}
		// A conflict is read back too, because an earlier delivery of this same write may have caused it.
		found, err := p.readBack(ctx, write, next, era.Cluster, err)
		if found || err != nil {
			return next, err
		}
		if !pauseBeforeRetry(ctx, attempt) {
			return hwdocument.Head{}, trace.Wrap(&OutcomeUnknownError{
				OperationID: write.OperationID,
				Cause:       ctx.Err(),
			})
		}
	}
}

// errRestored returns the error of a write to the head during which the store was restored from a copy.
func errRestored() error {
	return trace.Wrap(&hwstore.RestoredError{
		Call: "put",
	})
}

// mayHaveTakenEffect reports whether the write may have taken effect despite the error.
func mayHaveTakenEffect(err error) bool {
	var conflict *hwstore.ConflictError
	var ambiguous *hwstore.AmbiguousError
	return errors.As(err, &conflict) || errors.As(err, &ambiguous)
}

// readBack reads the head and reports whether the write took effect. It fails if another write has taken the version.
func (p *Publisher) readBack(ctx context.Context, write HeadWrite, next hwdocument.Head, cluster uint64, cause error) (bool, error) {
	for attempt := 0; ; attempt++ {
		current, err := p.ReadHead(ctx, write.Environment)
		switch {
		case err == nil && current.Revision.IsOfOtherCluster(cluster):
			return false, errRestored()
		case err == nil && includesWrite(current.Head, next):
			return true, nil
		case err == nil && current.Head.Version >= next.Version:
			return false, trace.Wrap(&VersionConflictError{
				Environment: write.Environment,
				Version:     current.Head.Version,
				Author:      current.Head.Author,
			})
		case err == nil:
			return false, nil
		}
		if !pauseBeforeRetry(ctx, attempt) {
			return false, trace.Wrap(&OutcomeUnknownError{
				OperationID: write.OperationID,
				Cause:       cause,
			})
		}
	}
}

var backoff = hwstore.Backoff{
	Initial: 20 * time.Millisecond,
	Max:     time.Second,
}

// pauseBeforeRetry waits for the backoff delay. It reports false if the context ends first.
func pauseBeforeRetry(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(backoff.Delay(attempt, rand.Float64()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// includesWrite reports whether the current head or its history contains the write of next.
func includesWrite(current, next hwdocument.Head) bool {
	if current.OperationID == next.OperationID {
		return true
	}
	for _, entry := range current.History {
		if entry.Version == next.Version && entry.OperationID == next.OperationID {
			return true
		}
	}
	return false
}
