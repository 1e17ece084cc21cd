// Package hwfakelist stands in for the platform's list of live and leaving instances. It shows changes late, as the platform does.
package hwfakelist

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Instance is one entry of the list.
type Instance struct {
	Name    string
	Address string
	Zone    string
	Leaving bool
}

type state struct {
	since     time.Time
	instances []Instance
}

// List is the stand-in. It implements http.Handler in the published HTTP service-discovery format.
type List struct {
	lag    time.Duration
	now    func() time.Time
	lock   sync.Mutex
	states []state
	down   bool
}

// New returns an empty list that shows changes after the lag.
func New(lag time.Duration, now func() time.Time) *List {
	return &List{
		lag: lag,
		now: now,
	}
}

// SetDown makes the list refuse to answer.
func (l *List) SetDown(down bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.down = down
}

// Put adds or replaces an instance.
func (l *List) Put(instance Instance) {
	l.change(func(instances []Instance) []Instance {
		instances = remove(instances, instance.Name)
		return append(instances, instance)
	})
}

// Remove takes an instance off the list.
func (l *List) Remove(name string) {
	l.change(func(instances []Instance) []Instance { return remove(instances, name) })
}

func remove(instances []Instance, name string) []Instance {
	return slices.DeleteFunc(instances, func(i Instance) bool { return i.Name == name })
}

func (l *List) change(edit func([]Instance) []Instance) {
	l.lock.Lock()
	defer l.lock.Unlock()
	var latest []Instance
	if len(l.states) > 0 {
		latest = slices.Clone(l.states[len(l.states)-1].instances)
	}
	l.states = append(l.states, state{
		since:     l.now(),
		instances: edit(latest),
	})
}

func (l *List) visible() []Instance {
	l.lock.Lock()
	defer l.lock.Unlock()
	var seen []Instance
	for _, s := range l.states {
		if l.now().Sub(s.since) >= l.lag {
			seen = s.instances
		}
	}
	return seen
}

type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// ServeHTTP answers with the list as it was a lag ago.
func (l *List) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.lock.Lock()
	down := l.down
	l.lock.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	groups := []group{}
	for _, i := range l.visible() {
		state := "live"
		if i.Leaving {
			state = "leaving"
		}
		groups = append(groups, group{
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
