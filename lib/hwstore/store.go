// Package hwstore is the client of the platform's key-value store: compare-and-swap on single keys, leases and watches.
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

// LeaseID identifies a lease.
type LeaseID int64

// NoLease is the lease ID for values that do not expire.
const NoLease LeaseID = 0

// Change is a change of a key reported by a watch.
type Change struct {
	Value   Value
	Deleted bool
}

// Store is the platform's key-value store. Its errors are typed; see UnavailableError, AmbiguousError and ConflictError.
type Store interface {
	// Get returns a value; a missing key has revision 0.
	Get(ctx context.Context, key string) (Value, error)
	// Put writes the value if the key still has the given revision; revision 0 means that the key must not exist. It returns the new revision.
	Put(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error)
	// Delete deletes the key if it still has the given revision.
	Delete(ctx context.Context, key string, revision int64) error
	// Grant creates a lease. The store may round the time to live to whole seconds.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time to live.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke revokes a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch calls changed for each change of a key from the given revision on, until the context ends or the watch fails.
	Watch(ctx context.Context, key string, fromRevision int64, changed func(Change)) error
}

// UnavailableError reports a call that failed and certainly had no effect, usually because the store could not be reached.
type UnavailableError struct {
	Call  string
	Cause error
}

func (e *UnavailableError) Error() string {
	return "store call " + e.Call + " failed without effect: " + e.Cause.Error()
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// AmbiguousError reports that a call was sent but its result is unknown: a write may have taken effect.
type AmbiguousError struct {
	Call  string
	Cause error
}

func (e *AmbiguousError) Error() string {
	return "result of store call " + e.Call + " unknown: " + e.Cause.Error()
}

func (e *AmbiguousError) Unwrap() error { return e.Cause }

// IncompleteResponseError reports that a response lacks a required field.
type IncompleteResponseError struct {
	Missing string
}

func (e *IncompleteResponseError) Error() string { return "response contains no " + e.Missing }

// ConflictError reports that the key had another revision than the expected one. Current is the value found, if the store returned it.
type ConflictError struct {
	Key     string
	Current Value
}

func (e *ConflictError) Error() string { return "key " + e.Key + " was changed by another writer" }

// LeaseNotFoundError reports that a lease has expired or was revoked.
type LeaseNotFoundError struct {
	Lease LeaseID
}

func (e *LeaseNotFoundError) Error() string { return "lease expired or revoked" }

// CompactedError reports that the start revision of a watch has been compacted. The caller must read the key and watch from its current revision.
type CompactedError struct {
	Revision int64
}

func (e *CompactedError) Error() string {
	return "start revision of the watch has been compacted"
}
