// Package hwstore is the client of the platform's key-value store: compare-and-swap on single keys, leases and watches.
package hwstore

import (
	"context"
	"time"
)

// Revision identifies a change of the store. A store that is restored from a copy loses its newest changes and assigns their numbers again, as another cluster, so that only the cluster and the number together identify a change.
type Revision struct {
	// Cluster is the ID of the store's cluster; IDs have no order. It is 0 if the store states none, which is compared with nothing.
	Cluster uint64
	// Number is the store's revision within the cluster. It is 0 for a key that does not exist.
	Number int64
}

// Exists reports whether r is the revision of a key that exists.
func (r Revision) Exists() bool { return r.Number > 0 }

// IsOfOtherCluster reports whether r is certainly not of the given cluster.
func (r Revision) IsOfOtherCluster(cluster uint64) bool {
	return isOtherCluster(r.Cluster, cluster)
}

func isOtherCluster(a, b uint64) bool { return a != 0 && b != 0 && a != b }

// Value is a key's value and the revision of its last change.
type Value struct {
	Key      string
	Bytes    []byte
	Revision Revision
}

// LeaseID identifies a lease. A cluster may assign the number of a lease that it lost when it was restored again.
type LeaseID struct {
	Cluster uint64
	Number  int64
}

// NoLease is the lease ID for values that do not expire.
var NoLease = LeaseID{}

// Change is a change of a key reported by a watch.
type Change struct {
	Value   Value
	Deleted bool
}

// Store is the platform's key-value store. Its errors are typed; see UnavailableError, AmbiguousError and ConflictError.
type Store interface {
	// Get returns a value. The revision of a missing key has the number 0 and the cluster that responded.
	Get(ctx context.Context, key string) (Value, error)
	// Put writes the value if the key still has the given revision; a revision that does not exist means that the key must not exist. It returns the new revision.
	// It fails with a RestoredError inside an AmbiguousError if another cluster than that of the revision responds that it has written the value.
	Put(ctx context.Context, key string, value []byte, revision Revision, lease LeaseID) (Revision, error)
	// Delete deletes the key if it still has the given revision. It fails like Put.
	Delete(ctx context.Context, key string, revision Revision) error
	// Grant creates a lease. The store may round the time to live to whole seconds.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time to live. A lease is lost if another cluster responds than that which granted it.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// Revoke revokes a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch calls changed for each change of a key after the given revision, until the context ends or the watch fails. It fails with a RestoredError if another cluster responds than that of the revision.
	Watch(ctx context.Context, key string, after Revision, changed func(Change)) error
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

// RestoredError reports that another cluster responded than the one that a revision belongs to: the store was restored from a copy in between.
type RestoredError struct {
	Call string
}

func (e *RestoredError) Error() string {
	return "another cluster responded to store call " + e.Call + " than before, so the store has been restored from a copy"
}

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
