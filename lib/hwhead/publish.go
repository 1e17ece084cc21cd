// Package hwhead writes documents to the platform's store: bodies that never change, and one head per environment whose version only rises.
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
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// VersionConflictError says that another operator's version came first; nothing of this one is in force.
type VersionConflictError struct {
	Environment string
	Version     uint64
	Author      string
}

// Error names the winner.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("version %d of %s was written by %s in the meantime; look at it and try again", e.Version, e.Environment, e.Author)
}

// OutcomeUnknownError says that the write's answer was lost and the store could not be read back, so the write may have taken effect.
type OutcomeUnknownError struct {
	OperationID string
	Cause       error
}

// Error names the operation id by which a later look at the head tells.
func (e *OutcomeUnknownError) Error() string {
	return "it is not known whether the write took effect; look for operation " + e.OperationID + " in the head"
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Publisher writes to the store.
type Publisher struct {
	store hwstore.Store
	// Patience is how long a lost answer is read back before the write is reported as uncertain.
	patience time.Duration
}

// New returns a publisher.
func New(store hwstore.Store, patience time.Duration) *Publisher {
	return &Publisher{
		store:    store,
		patience: patience,
	}
}

// StoredHead is a head with the revision by which it can be replaced.
type StoredHead struct {
	Head     hwdocument.Head
	Revision int64
}

// ReadHead returns the head of an environment; version 0 means that there is none.
func (p *Publisher) ReadHead(ctx context.Context, environment string) (StoredHead, error) {
	value, err := p.store.Get(ctx, hwdocument.HeadKey(environment))
	if err != nil {
		return StoredHead{}, trace.Wrap(err)
	}
	current := StoredHead{
		Revision: value.Revision,
	}
	if value.Revision == 0 {
		return current, nil
	}
	if err := json.Unmarshal(value.Bytes, &current.Head); err != nil {
		return StoredHead{}, trace.BadParameter("the head of %s cannot be read: %v", environment, err)
	}
	return current, nil
}

// ReadBody returns the document with a digest.
func (p *Publisher) ReadBody(ctx context.Context, digest string) ([]byte, error) {
	value, err := p.store.Get(ctx, hwdocument.BodyKey(digest))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if hwdocument.Digest(value.Bytes) != digest {
		return nil, trace.NotFound("the store holds no document with digest %s", digest)
	}
	return value.Bytes, nil
}

// HeadWrite is a change of an environment's head.
type HeadWrite struct {
	Environment string
	Digest      string
	Author      string
	// OperationID is unique to this write.
	OperationID string
}

// Publish stores a checked body and makes it the next version of the environment that it names.
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

// PutBody stores a body under its digest. A conflict means that the same bytes are there already.
func (p *Publisher) PutBody(ctx context.Context, digest string, body []byte) error {
	_, err := p.store.Put(ctx, hwdocument.BodyKey(digest), body, 0, hwstore.NoLease)
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

// SwapHead replaces a head that was read before. Of several racing writers exactly one succeeds.
// A lost answer is read back by the operation id, and the same write is sent again while the head is unchanged: the compare-and-swap lets it take effect only once.
func (p *Publisher) SwapHead(ctx context.Context, now time.Time, current StoredHead, write HeadWrite) (hwdocument.Head, error) {
	next := current.Head.Next(now, write.Digest, write.OperationID, write.Author)
	text, err := json.Marshal(next)
	if err != nil {
		return hwdocument.Head{}, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, p.patience)
	defer cancel()
	for attempt := 0; ; attempt++ {
		_, err := p.store.Put(ctx, hwdocument.HeadKey(write.Environment), text, current.Revision, hwstore.NoLease)
		if err == nil {
			return next, nil
		}
		if !uncertain(err) && attempt == 0 {
			return hwdocument.Head{}, trace.Wrap(err)
		}
		// Also a conflict is read back: it may be the echo of this very write, delivered twice.
		found, err := p.find(ctx, write, next, err)
		if found || err != nil {
			return next, err
		}
		if !wait(ctx, attempt) {
			return hwdocument.Head{}, trace.Wrap(&OutcomeUnknownError{
				OperationID: write.OperationID,
				Cause:       ctx.Err(),
			})
		}
	}
}

func uncertain(err error) bool {
	var conflict *hwstore.ConflictError
	var ambiguous *hwstore.AmbiguousError
	return errors.As(err, &conflict) || errors.As(err, &ambiguous)
}

// find reads the head back. It reports whether the write took effect, and fails when another one has taken its place.
func (p *Publisher) find(ctx context.Context, write HeadWrite, next hwdocument.Head, cause error) (bool, error) {
	for attempt := 0; ; attempt++ {
		current, err := p.ReadHead(ctx, write.Environment)
		switch {
		case err == nil && wrote(current.Head, next):
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
		if !wait(ctx, attempt) {
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

// wait pauses before a retry and reports whether there is time for one.
func wait(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(backoff.Delay(attempt, rand.Float64()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func wrote(current, next hwdocument.Head) bool {
	if current.OperationID == next.OperationID {
		return true
	}
	for _, past := range current.History {
		if past.Version == next.Version && past.OperationID == next.OperationID {
			return true
		}
	}
	return false
}
