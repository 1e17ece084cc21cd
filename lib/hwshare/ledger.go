package hwshare

// InstanceBoot identifies one boot of an instance. A restarted instance has another boot number and starts its totals at zero.
type InstanceBoot struct {
	Instance string
	Boot     uint64
}

// ServiceTotals merges grow-only totals of service by instance boot and account, as a G-Counter CRDT does.
// Merging is idempotent and commutative, so that lost, repeated and late messages cause no error.
type ServiceTotals struct {
	byBoot      map[InstanceBoot]map[string]float64
	fleetTotals map[string]float64
}

// NewServiceTotals returns totals without any service.
func NewServiceTotals() *ServiceTotals {
	return &ServiceTotals{
		byBoot:      map[InstanceBoot]map[string]float64{},
		fleetTotals: map[string]float64{},
	}
}

// Merge merges the service that a boot has given to an account and returns by how much the fleet's total grew, in cost units.
func (t *ServiceTotals) Merge(boot InstanceBoot, account string, total float64) float64 {
	accounts, known := t.byBoot[boot]
	if !known {
		accounts = map[string]float64{}
		t.byBoot[boot] = accounts
	}
	growth := total - accounts[account]
	if growth <= 0 {
		return 0
	}
	accounts[account] = total
	t.fleetTotals[account] += growth
	return growth
}

// Total returns the fleet's service to an account in cost units.
func (t *ServiceTotals) Total(account string) float64 { return t.fleetTotals[account] }

// Forget deletes the totals of a boot that will not report again. Its service remains part of the fleet's totals.
func (t *ServiceTotals) Forget(boot InstanceBoot) { delete(t.byBoot, boot) }

// BootCount returns how many boots have totals that were not deleted.
func (t *ServiceTotals) BootCount() int { return len(t.byBoot) }
