package hwshare

// Origin names one life of one instance. A restarted instance has another boot number and starts its totals at zero.
type Origin struct {
	Instance string
	Boot     uint64
}

// Ledger merges grow-only totals of service by origin and account.
// Merging is idempotent and independent of order, so lost, repeated and late messages do no harm.
type Ledger struct {
	totals map[Origin]map[string]float64
	sums   map[string]float64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		totals: map[Origin]map[string]float64{},
		sums:   map[string]float64{},
	}
}

// Merge takes an origin's total for an account and returns by how much the fleet's total grew, in cost units.
func (l *Ledger) Merge(origin Origin, account string, total float64) float64 {
	accounts, known := l.totals[origin]
	if !known {
		accounts = map[string]float64{}
		l.totals[origin] = accounts
	}
	growth := total - accounts[account]
	if growth <= 0 {
		return 0
	}
	accounts[account] = total
	l.sums[account] += growth
	return growth
}

// Total returns the fleet's service to an account in cost units.
func (l *Ledger) Total(account string) float64 { return l.sums[account] }

// Fold drops the rows of an origin that will not report again; its service stays in the fleet's totals.
func (l *Ledger) Fold(origin Origin) { delete(l.totals, origin) }

// Origins returns how many origins have rows of their own.
func (l *Ledger) Origins() int { return len(l.totals) }
