package hwshare

// InstanceBoot names one life of one instance. A restarted instance has another boot number and starts its totals at zero.
type InstanceBoot struct {
	Instance string
	Boot     uint64
}

// ServiceTotals merges grow-only totals of service by origin and account.
// Merging is idempotent and independent of order, so lost, repeated and late messages do no harm.
type ServiceTotals struct {
	totals map[InstanceBoot]map[string]float64
	sums   map[string]float64
}

// NewServiceTotals returns an empty ledger.
func NewServiceTotals() *ServiceTotals {
	return &ServiceTotals{
		totals: map[InstanceBoot]map[string]float64{},
		sums:   map[string]float64{},
	}
}

// Merge takes an origin's total for an account and returns by how much the fleet's total grew, in cost units.
func (l *ServiceTotals) Merge(origin InstanceBoot, account string, total float64) float64 {
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
func (l *ServiceTotals) Total(account string) float64 { return l.sums[account] }

// Forget drops the rows of an origin that will not report again; its service stays in the fleet's totals.
func (l *ServiceTotals) Forget(origin InstanceBoot) { delete(l.totals, origin) }

// BootCount returns how many origins have rows of their own.
func (l *ServiceTotals) BootCount() int { return len(l.totals) }
