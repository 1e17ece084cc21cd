// Package hwstore reaches the platform's key-value service: compare-and-swap on single keys, leases and watches.
package hwstore

import (
	"context"
	"time"
)

// Value is a key's value and the revision of its last change. Revision 0 means that the key does not exist.
type Value struct {
	Key      string
	Bytes    []byte
	Revision int64
}

// LeaseID names a lease of the store.
type LeaseID int64

// NoLease stores a value that does not expire.
const NoLease LeaseID = 0

// Change is one change seen by a watch.
type Change struct {
	Value   Value
	Deleted bool
}

// Store is the platform's service. Its failures are typed: see NotReachedError, AmbiguousError and ConflictError.
type Store interface {
	// Get returns a value; a missing key has revision 0.
	Get(ctx context.Context, key string) (Value, error)
	// Put writes if the key's revision is still the given one; revision 0 expects that the key does not exist. It returns the new revision.
	Put(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error)
	// Delete removes the key if its revision is still the given one.
	Delete(ctx context.Context, key string, revision int64) error
	// Grant opens a lease. The store may round the time to live to whole seconds.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time to live.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch calls changed for each change of a key from a revision on, until the context ends or the watch is cut.
	Watch(ctx context.Context, key string, fromRevision int64, changed func(Change)) error
}

// UnavailableError says that the store surely did not take the call.
type UnavailableError struct {
	Call  string
	Cause error
}

// Error names the call.
func (e *UnavailableError) Error() string {
	return "the store did not take the call " + e.Call + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// AmbiguousError says that the call was sent and its answer was lost: a write may have taken effect.
type AmbiguousError struct {
	Call  string
	Cause error
}

// Error names the call.
func (e *AmbiguousError) Error() string {
	return "the store's answer to " + e.Call + " was lost: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AmbiguousError) Unwrap() error { return e.Cause }

// IncompleteResponseError says that an answer lacks what every answer to its call states.
type IncompleteResponseError struct {
	Missing string
}

// Error names what is missing.
func (e *IncompleteResponseError) Error() string { return "the answer states no " + e.Missing }

// ConflictError says that the key had another revision; Current is the value found, when the store told it.
type ConflictError struct {
	Key     string
	Current Value
}

// Error names the key.
func (e *ConflictError) Error() string { return "the key " + e.Key + " was changed by somebody else" }

// LeaseNotFoundError says that the lease has lapsed or was revoked.
type LeaseNotFoundError struct {
	Lease LeaseID
}

// Error says what happened.
func (e *LeaseNotFoundError) Error() string { return "the lease has lapsed" }

// CompactedError says that the watch asked for a revision that the store no longer keeps; read the key and watch from there.
type CompactedError struct {
	Revision int64
}

// Error says what happened.
func (e *CompactedError) Error() string {
	return "the store no longer keeps the revision that the watch asked for"
}
