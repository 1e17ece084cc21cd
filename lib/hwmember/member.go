// Package hwmember implements a gossip-based membership table with a SWIM-style failure detector.
//
// The platform's instance list, which lags, provides the seeds. An instance that does not answer a direct probe is probed through other instances before it is suspected, and each message piggybacks a few rows about other instances. The table is a pure state machine: it does no I/O, the current time is passed in, and the probes to send are returned.
package hwmember

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// State is the liveness of an instance as another instance sees it.
type State int

// The states in order of precedence: at the same incarnation, a higher state overrides a lower one.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the state's name.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Row is the membership record of one instance.
type Row struct {
	Instance string
	Address  string
	Zone     string
	// Boot grows with each start of the instance's process.
	Boot uint64
	// Incarnation is incremented by an instance that refutes a suspicion about itself.
	Incarnation uint64
	State       State
}

// ListEntry is an entry of the platform's instance list.
type ListEntry struct {
	Instance string
	Address  string
	Zone     string
	Leaving  bool
}

// Settings configure the failure detector and the gossip.
type Settings struct {
	// ProbeInterval is the time between two direct probes sent by this instance.
	ProbeInterval time.Duration
	// SuspicionTimeout is how long a suspected instance has to refute the suspicion before it is declared dead.
	SuspicionTimeout time.Duration
	// IndirectProbes is the number of other instances through which a target is probed after a failed direct probe.
	IndirectProbes int
	// MaxPiggybackRows is the maximum number of rows about other instances in a message.
	MaxPiggybackRows int
	// TransmitLimit is the number of messages in which a changed row is sent.
	TransmitLimit int
}

// Probe is a probe for the caller to send: directly to the target or, if Via is set, indirectly through that instance. Rows are piggybacked on the message.
type Probe struct {
	Target Row
	Via    Row
	Rows   []Row
}

// Change is a state transition, an addition or a removal in the table. An added instance has the previous state Left.
type Change struct {
	Row      Row
	Previous State
}

// member is the table's entry for another instance.
type member struct {
	row           Row
	stateSince    time.Time
	inList        bool
	transmitsLeft int
	probesPending int
	probeReached  bool
}

// Table is an instance's view of the fleet.
type Table struct {
	settings   Settings
	self       Row
	random     *rand.Rand
	members    map[string]*member
	probeOrder []string
	nextProbe  time.Time
	changes    []Change
	// suspectCount is the number of members in state Suspect.
	suspectCount int
}

// New returns a table that contains only the instance itself.
func New(settings Settings, self Row, source rand.Source) *Table {
	return &Table{
		settings: settings,
		self:     self,
		random:   rand.New(source),
		members:  map[string]*member{},
	}
}

// ApplyList merges the platform's instance list. The list lags, so an entry adds an unknown instance but never revives one that probes found dead.
// An instance that is dead or has left is removed once the list no longer contains it.
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
			// Another address means that a replacement runs under the same instance name.
			m.row.Address = entry.Address
			t.setState(now, m, Alive, m.row.Incarnation+1)
		}
		if entry.Leaving && m.row.State != Left {
			t.setState(now, m, Left, m.row.Incarnation)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		m.inList = listed[name]
		if !m.inList && m.row.State >= Dead {
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
		row:           row,
		stateSince:    now,
		transmitsLeft: t.settings.TransmitLimit,
		inList:        true,
	}
	t.members[row.Instance] = m
	if row.State == Suspect {
		t.suspectCount++
	}
	at := 0
	if len(t.probeOrder) > 0 {
		at = t.random.IntN(len(t.probeOrder) + 1)
	}
	t.probeOrder = slices.Insert(t.probeOrder, at, row.Instance)
	t.changes = append(t.changes, Change{
		Row:      row,
		Previous: Left,
	})
	return m
}

func (t *Table) remove(name string) {
	if t.members[name].row.State == Suspect {
		t.suspectCount--
	}
	delete(t.members, name)
	t.probeOrder = slices.DeleteFunc(t.probeOrder, func(n string) bool { return n == name })
}

func (t *Table) setState(now time.Time, m *member, state State, incarnation uint64) {
	previous := m.row.State
	if previous == Suspect {
		t.suspectCount--
	}
	if state == Suspect {
		t.suspectCount++
	}
	m.row.State = state
	m.row.Incarnation = incarnation
	m.stateSince = now
	m.transmitsLeft = t.settings.TransmitLimit
	if previous != state {
		t.changes = append(t.changes, Change{
			Row:      m.row,
			Previous: previous,
		})
	}
}

// Tick expires suspicions and returns the probe that is due, if any.
func (t *Table) Tick(now time.Time) []Probe {
	t.expireSuspicions(now)
	if now.Before(t.nextProbe) || len(t.probeOrder) == 0 {
		return nil
	}
	t.nextProbe = now.Add(t.probeInterval())
	for range t.probeOrder {
		name := t.probeOrder[0]
		t.probeOrder = append(t.probeOrder[1:], name)
		if m := t.members[name]; m.row.State != Left && m.probesPending == 0 {
			return []Probe{t.directProbe(m)}
		}
	}
	return nil
}

// fullRateFleetSize is the fleet size up to which an instance probes at the configured interval. In a larger fleet the interval grows with the size: because more instances probe, the time until the first one detects a failure stays the same, and the probe traffic of each instance is bounded.
const fullRateFleetSize = 60

func (t *Table) probeInterval() time.Duration {
	return t.settings.ProbeInterval * time.Duration(max(1, len(t.members)/fullRateFleetSize))
}

// expireSuspicions declares dead every suspected member that did not refute within the suspicion timeout.
func (t *Table) expireSuspicions(now time.Time) {
	if t.suspectCount == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		if m.row.State == Suspect && now.Sub(m.stateSince) >= t.settings.SuspicionTimeout {
			t.setState(now, m, Dead, m.row.Incarnation)
		}
	}
}

func (t *Table) directProbe(m *member) Probe {
	m.probesPending = 1
	m.probeReached = false
	return Probe{
		Target: m.row,
		Rows:   t.GossipRows(),
	}
}

// ProbeNow returns a direct probe of an instance outside the regular schedule, or nothing if a probe of it is in flight.
func (t *Table) ProbeNow(instance string) []Probe {
	m, known := t.members[instance]
	if !known || m.probesPending > 0 || m.row.State == Left {
		return nil
	}
	return []Probe{t.directProbe(m)}
}

// HandleProbeResult records whether a probe reached its target. After a failed direct probe it returns the indirect probes to send; when the last of these fails too, the target becomes suspected.
func (t *Table) HandleProbeResult(now time.Time, probe Probe, reached bool) []Probe {
	m, known := t.members[probe.Target.Instance]
	if !known {
		return nil
	}
	m.probesPending = max(0, m.probesPending-1)
	m.probeReached = m.probeReached || reached
	if m.probeReached {
		if m.row.State == Suspect || m.row.State == Dead {
			t.setState(now, m, Alive, m.row.Incarnation+1)
		}
		return nil
	}
	if probe.Via.Instance == "" {
		if probes := t.indirectProbes(m); len(probes) > 0 {
			m.probesPending = len(probes)
			return probes
		}
	}
	if m.probesPending == 0 && m.row.State == Alive {
		t.setState(now, m, Suspect, m.row.Incarnation)
	}
	return nil
}

func (t *Table) indirectProbes(m *member) []Probe {
	var relays []Row
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		if other := t.members[name]; other != m && other.row.State == Alive {
			relays = append(relays, other.row)
		}
	}
	t.random.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	probes := make([]Probe, 0, t.settings.IndirectProbes)
	for _, via := range relays[:min(len(relays), t.settings.IndirectProbes)] {
		probes = append(probes, Probe{
			Target: m.row,
			Via:    via,
			Rows:   t.GossipRows(),
		})
	}
	return probes
}

// Merge applies rows received from another instance. A row wins with a higher boot or incarnation or, at the same incarnation, with a state of higher precedence; a row of an earlier boot is ignored.
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
				m.inList = false
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
		t.setState(now, m, row.State, row.Incarnation)
	}
}

// refute raises this instance's incarnation above that of a received row that reports it as suspected, dead or gone.
func (t *Table) refute(row Row) {
	if row.State == Alive || t.self.State == Left || row.Incarnation < t.self.Incarnation {
		return
	}
	t.self.Incarnation = row.Incarnation + 1
}

// Leave marks this instance as having left.
func (t *Table) Leave() {
	t.self.State = Left
}

// GossipRows returns the rows to piggyback on a message: this instance's own row and changed rows with transmissions left. Each call uses up one transmission of the rows it returns.
func (t *Table) GossipRows() []Row {
	rows := []Row{t.self}
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		m := t.members[name]
		if m.transmitsLeft > 0 && len(rows) <= t.settings.MaxPiggybackRows {
			m.transmitsLeft--
			rows = append(rows, m.row)
		}
	}
	return rows
}

// Alive returns the sorted names of the instances in state Alive, including this one. Brokers are elected among them.
func (t *Table) Alive() []string {
	return t.memberNames(func(m *member) bool { return m.row.State == Alive })
}

// Members returns the sorted names of all instances that may still be using capacity: all except those that have left and dead ones that the instance list no longer contains.
func (t *Table) Members() []string {
	return t.memberNames(func(m *member) bool { return m.row.State != Left && (m.inList || m.row.State < Dead) })
}

func (t *Table) memberNames(include func(*member) bool) []string {
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

// All returns all rows, including this instance's own, sorted by instance name.
func (t *Table) All() []Row {
	rows := []Row{t.self}
	for _, m := range t.members {
		rows = append(rows, m.row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Instance, b.Instance) })
	return rows
}

// TakeChanges returns and clears the changes since the last call.
func (t *Table) TakeChanges() []Change {
	changes := t.changes
	t.changes = nil
	return changes
}
