package hwstore

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Memory is an in-process store without persistence, for tests and for trying out a single instance.
type Memory struct {
	lock     sync.Mutex
	revision int64
	values   map[string]Value
	leases   map[LeaseID]time.Duration
	changed  chan struct{}
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		values:  map[string]Value{},
		leases:  map[LeaseID]time.Duration{},
		changed: make(chan struct{}),
	}
}

// Get returns a value.
func (m *Memory) Get(_ context.Context, key string) (Value, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	value := m.values[key]
	value.Key = key
	return value, nil
}

// Put writes the value if the key still has the given revision. Leases have no effect on values.
func (m *Memory) Put(_ context.Context, key string, value []byte, revision Revision, _ LeaseID) (Revision, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.checkRevision(key, revision); err != nil {
		return Revision{}, trace.Wrap(err)
	}
	m.revision++
	written := Revision{
		Number: m.revision,
	}
	m.values[key] = Value{
		Key:      key,
		Bytes:    bytes.Clone(value),
		Revision: written,
	}
	m.notifyWatchers()
	return written, nil
}

func (m *Memory) checkRevision(key string, revision Revision) error {
	if current := m.values[key]; current.Revision.Number != revision.Number {
		return &ConflictError{
			Key:     key,
			Current: current,
		}
	}
	return nil
}

func (m *Memory) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Delete deletes the key if it still has the given revision.
func (m *Memory) Delete(_ context.Context, key string, revision Revision) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	if err := m.checkRevision(key, revision); err != nil {
		return trace.Wrap(err)
	}
	delete(m.values, key)
	m.revision++
	m.notifyWatchers()
	return nil
}

// Grant creates a lease. In this store leases do not expire; they end only when revoked.
func (m *Memory) Grant(_ context.Context, ttl time.Duration) (LeaseID, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.revision++
	id := LeaseID{
		Number: m.revision,
	}
	m.leases[id] = ttl
	return id, nil
}

// KeepAlive renews a lease.
func (m *Memory) KeepAlive(_ context.Context, lease LeaseID) (time.Duration, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	ttl, known := m.leases[lease]
	if !known {
		return 0, trace.Wrap(&LeaseNotFoundError{
			Lease: lease,
		})
	}
	return ttl, nil
}

// Revoke revokes a lease. Unlike etcd, it does not delete the keys of the lease.
func (m *Memory) Revoke(_ context.Context, lease LeaseID) error {
	m.lock.Lock()
	defer m.lock.Unlock()
	delete(m.leases, lease)
	return nil
}

// Watch calls changed for changes of a key after the given revision. It may skip intermediate changes and does not report deletions.
func (m *Memory) Watch(ctx context.Context, key string, after Revision, changed func(Change)) error {
	for {
		m.lock.Lock()
		value := m.values[key]
		next := m.changed
		m.lock.Unlock()
		if value.Revision.Number > after.Number {
			changed(Change{
				Value: value,
			})
			after = value.Revision
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-next:
		}
	}
}
