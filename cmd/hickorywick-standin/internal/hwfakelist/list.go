// Package hwfakelist implements a fake of the platform's service discovery, which lists live and leaving instances. Changes become visible after a delay, as on the platform.
package hwfakelist

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Instance is an entry of the list. A leaving instance is shutting down.
type Instance struct {
	Name    string
	Address string
	Zone    string
	Leaving bool
}

type snapshot struct {
	takenAt   time.Time
	instances []Instance
}

// List is a fake instance list. It implements http.Handler and responds in the Prometheus HTTP service discovery format.
type List struct {
	propagationDelay time.Duration
	now              func() time.Time
	lock             sync.Mutex
	snapshots        []snapshot
	down             bool
}

// New returns an empty list whose changes become visible after propagationDelay.
func New(propagationDelay time.Duration, now func() time.Time) *List {
	return &List{
		propagationDelay: propagationDelay,
		now:              now,
	}
}

// SetDown sets whether the list responds with 503 Service Unavailable.
func (l *List) SetDown(down bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.down = down
}

// Put adds or replaces an instance.
func (l *List) Put(instance Instance) {
	l.update(func(instances []Instance) []Instance {
		instances = remove(instances, instance.Name)
		return append(instances, instance)
	})
}

// Remove removes an instance.
func (l *List) Remove(name string) {
	l.update(func(instances []Instance) []Instance { return remove(instances, name) })
}

func remove(instances []Instance, name string) []Instance {
	return slices.DeleteFunc(instances, func(i Instance) bool { return i.Name == name })
}

// update records a new snapshot, made by applying edit to a copy of the latest one.
func (l *List) update(edit func([]Instance) []Instance) {
	l.lock.Lock()
	defer l.lock.Unlock()
	var latest []Instance
	if len(l.snapshots) > 0 {
		latest = slices.Clone(l.snapshots[len(l.snapshots)-1].instances)
	}
	l.snapshots = append(l.snapshots, snapshot{
		takenAt:   l.now(),
		instances: edit(latest),
	})
}

// visibleInstances returns the latest snapshot that is at least propagationDelay old.
func (l *List) visibleInstances() []Instance {
	l.lock.Lock()
	defer l.lock.Unlock()
	var visible []Instance
	for _, s := range l.snapshots {
		if l.now().Sub(s.takenAt) >= l.propagationDelay {
			visible = s.instances
		}
	}
	return visible
}

type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// ServeHTTP responds with the currently visible instances.
func (l *List) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.lock.Lock()
	down := l.down
	l.lock.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	groups := []targetGroup{}
	for _, i := range l.visibleInstances() {
		state := "live"
		if i.Leaving {
			state = "leaving"
		}
		groups = append(groups, targetGroup{
			Targets: []string{i.Address},
			Labels: map[string]string{
				"instance": i.Name,
				"zone":     i.Zone,
				"state":    state,
			},
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(groups)
}
