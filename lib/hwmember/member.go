// Package hwmember keeps an instance's view of the fleet.
//
// The platform's lagging list gives the seeds. Direct probes, confirmed through others before anybody is suspected, tell who answers, and each message carries a few rows about others. The table is a state machine: the present time is an argument, probes to send are effects.
package hwmember

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// State is what an instance thinks of another.
type State int

// The states, in the order in which one overrides another of the same incarnation.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Row is what is known about an instance.
type Row struct {
	Instance string
	Address  string
	Zone     string
	Boot     uint64
	// Incarnation rises when an instance refutes a suspicion about itself.
	Incarnation uint64
	State       State
}

// ListEntry is an entry of the platform's list.
type ListEntry struct {
	Instance string
	Address  string
	Zone     string
	Leaving  bool
}

// Settings are the times of the failure detector.
type Settings struct {
	// ProbeInterval is the time between two direct probes sent by this instance.
	ProbeInterval time.Duration
	// SuspicionTimeout is how long a suspected instance may refute before it counts as dead.
	SuspicionTimeout time.Duration
	// IndirectProbes is how many others are asked to confirm a failed probe.
	IndirectProbes int
	// MaxPiggybackRows is how many rows a message carries.
	MaxPiggybackRows int
	// TransmitLimit is how often a changed row is passed on.
	TransmitLimit int
}

// Probe asks the caller to probe a target, directly or, when Via is set, through another instance.
type Probe struct {
	Target Row
	Via    Row
	Rows   []Row
}

// Change is a state that changed in this view.
type Change struct {
	Row      Row
	Previous State
}

type member struct {
	row     Row
	since   time.Time
	listed  bool
	spread  int
	pending int
	reached bool
}

// Table is an instance's view of the fleet.
type Table struct {
	settings Settings
	self     Row
	random   *rand.Rand
	members  map[string]*member
	order    []string
	next     time.Time
	changes  []Change
	// suspects is how many members are suspected.
	suspects int
	// selfSpread is how often the own row is still to be passed on.
	selfSpread int
}

// New returns a table that knows only the instance itself.
func New(settings Settings, self Row, source rand.Source) *Table {
	return &Table{
		settings:   settings,
		self:       self,
		random:     rand.New(source),
		members:    map[string]*member{},
		selfSpread: settings.TransmitLimit,
	}
}

// ApplyList takes the platform's list. It lags, so an entry only seeds an unknown instance and never revives one that probes found dead.
// An instance that is no longer listed and does not answer is forgotten.
func (t *Table) ApplyList(now time.Time, list []ListEntry) {
	listed := map[string]bool{}
	for _, entry := range list {
		listed[entry.Instance] = true
		if entry.Instance == t.self.Instance {
			continue
		}
		m, known := t.members[entry.Instance]
		if !known {
			m = t.add(now, Row{
				Instance: entry.Instance,
				Address:  entry.Address,
				Zone:     entry.Zone,
			})
		}
		if m.row.State != Alive && m.row.Address != entry.Address {
			// The list shows a replacement under the same name.
			m.row.Address = entry.Address
			t.set(now, m, Alive, m.row.Incarnation+1)
		}
		if entry.Leaving && m.row.State != Left {
			t.set(now, m, Left, m.row.Incarnation)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		m.listed = listed[name]
		if !m.listed && m.row.State >= Dead {
			t.remove(name)
			t.changes = append(t.changes, Change{
				Row:      m.row,
				Previous: m.row.State,
			})
		}
	}
}

func (t *Table) add(now time.Time, row Row) *member {
	m := &member{
		row:    row,
		since:  now,
		spread: t.settings.TransmitLimit,
		listed: true,
	}
	t.members[row.Instance] = m
	if row.State == Suspect {
		t.suspects++
	}
	at := 0
	if len(t.order) > 0 {
		at = t.random.IntN(len(t.order) + 1)
	}
	t.order = slices.Insert(t.order, at, row.Instance)
	t.changes = append(t.changes, Change{
		Row:      row,
		Previous: Left,
	})
	return m
}

func (t *Table) remove(name string) {
	if t.members[name].row.State == Suspect {
		t.suspects--
	}
	delete(t.members, name)
	t.order = slices.DeleteFunc(t.order, func(n string) bool { return n == name })
}

func (t *Table) set(now time.Time, m *member, state State, incarnation uint64) {
	was := m.row.State
	if was == Suspect {
		t.suspects--
	}
	if state == Suspect {
		t.suspects++
	}
	m.row.State = state
	m.row.Incarnation = incarnation
	m.since = now
	m.spread = t.settings.TransmitLimit
	if was != state {
		t.changes = append(t.changes, Change{
			Row:      m.row,
			Previous: was,
		})
	}
}

// Tick lets suspicions run out and returns the probes that are due.
func (t *Table) Tick(now time.Time) []Probe {
	t.endSuspicions(now)
	if now.Before(t.next) || len(t.order) == 0 {
		return nil
	}
	t.next = now.Add(t.probeEvery())
	for range t.order {
		name := t.order[0]
		t.order = append(t.order[1:], name)
		if m := t.members[name]; m.row.State != Left && m.pending == 0 {
			return []Probe{t.direct(m)}
		}
	}
	return nil
}

// probedFleet is the fleet size up to which the probe interval stands. In a larger fleet each instance probes less often, since as many more probe each other: the time until somebody notices a loss stays the same and the traffic of an instance is bounded.
const probedFleet = 60

func (t *Table) probeEvery() time.Duration {
	return t.settings.ProbeInterval * time.Duration(max(1, len(t.members)/probedFleet))
}

// endSuspicions counts as dead who did not refute in time.
func (t *Table) endSuspicions(now time.Time) {
	if t.suspects == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		if m.row.State == Suspect && now.Sub(m.since) >= t.settings.SuspicionTimeout {
			t.set(now, m, Dead, m.row.Incarnation)
		}
	}
}

func (t *Table) direct(m *member) Probe {
	m.pending = 1
	m.reached = false
	return Probe{
		Target: m.row,
		Rows:   t.GossipRows(),
	}
}

// ProbeNow returns a probe of an instance that is in doubt, unless one is under way.
func (t *Table) ProbeNow(instance string) []Probe {
	m, known := t.members[instance]
	if !known || m.pending > 0 || m.row.State == Left {
		return nil
	}
	return []Probe{t.direct(m)}
}

// HandleProbeResult takes the end of a probe and returns the indirect probes that it calls for.
func (t *Table) HandleProbeResult(now time.Time, probe Probe, reached bool) []Probe {
	m, known := t.members[probe.Target.Instance]
	if !known {
		return nil
	}
	m.pending = max(0, m.pending-1)
	m.reached = m.reached || reached
	if m.reached {
		if m.row.State == Suspect || m.row.State == Dead {
			t.set(now, m, Alive, m.row.Incarnation+1)
		}
		return nil
	}
	if probe.Via.Instance == "" {
		if probes := t.indirect(m); len(probes) > 0 {
			m.pending = len(probes)
			return probes
		}
	}
	if m.pending == 0 && m.row.State == Alive {
		t.set(now, m, Suspect, m.row.Incarnation)
	}
	return nil
}

func (t *Table) indirect(m *member) []Probe {
	var helpers []Row
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		if other := t.members[name]; other != m && other.row.State == Alive {
			helpers = append(helpers, other.row)
		}
	}
	t.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	probes := make([]Probe, 0, t.settings.IndirectProbes)
	for _, via := range helpers[:min(len(helpers), t.settings.IndirectProbes)] {
		probes = append(probes, Probe{
			Target: m.row,
			Via:    via,
			Rows:   t.GossipRows(),
		})
	}
	return probes
}

// Merge takes rows that another instance sent.
func (t *Table) Merge(now time.Time, rows []Row) {
	for _, row := range rows {
		if row.Instance == t.self.Instance {
			t.refute(row)
			continue
		}
		m, known := t.members[row.Instance]
		if !known {
			if row.State < Dead {
				m = t.add(now, row)
				m.listed = false
			}
			continue
		}
		newer := row.Boot > m.row.Boot || row.Incarnation > m.row.Incarnation
		overrides := row.Incarnation == m.row.Incarnation && row.State > m.row.State
		if row.Boot < m.row.Boot || (!newer && !overrides) {
			continue
		}
		m.row.Boot = row.Boot
		m.row.Address = cmp.Or(row.Address, m.row.Address)
		m.row.Zone = cmp.Or(row.Zone, m.row.Zone)
		t.set(now, m, row.State, row.Incarnation)
	}
}

// refute raises the own incarnation when somebody spreads doubts about this instance.
func (t *Table) refute(row Row) {
	if row.State == Alive || t.self.State == Left || row.Incarnation < t.self.Incarnation {
		return
	}
	t.self.Incarnation = row.Incarnation + 1
	t.selfSpread = t.settings.TransmitLimit
}

// Leave marks the instance itself as leaving.
func (t *Table) Leave() {
	t.self.State = Left
	t.selfSpread = t.settings.TransmitLimit
}

// GossipRows returns the rows to send along with a message: the own one and those that changed last.
func (t *Table) GossipRows() []Row {
	rows := []Row{t.self}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		if m.spread > 0 && len(rows) <= t.settings.MaxPiggybackRows {
			m.spread--
			rows = append(rows, m.row)
		}
	}
	return rows
}

// Alive returns the instances that answer, this one included, sorted. A broker is chosen among them.
func (t *Table) Alive() []string {
	return t.names(func(m *member) bool { return m.row.State == Alive })
}

// Members returns every instance that may still be using capacity: all but those that left or that the list dropped, sorted.
func (t *Table) Members() []string {
	return t.names(func(m *member) bool { return m.row.State != Left && (m.listed || m.row.State < Dead) })
}

func (t *Table) names(include func(*member) bool) []string {
	var names []string
	if t.self.State != Left {
		names = append(names, t.self.Instance)
	}
	for name, m := range t.members {
		if include(m) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Lookup returns the row of an instance.
func (t *Table) Lookup(instance string) (Row, bool) {
	if instance == t.self.Instance {
		return t.self, true
	}
	m, known := t.members[instance]
	if !known {
		return Row{}, false
	}
	return m.row, true
}

// All returns every known row, sorted by name.
func (t *Table) All() []Row {
	rows := []Row{t.self}
	for _, m := range t.members {
		rows = append(rows, m.row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Instance, b.Instance) })
	return rows
}

// TakeChanges returns the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
