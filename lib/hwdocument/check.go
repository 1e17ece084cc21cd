package hwdocument

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

var (
	kebabName = regexp.MustCompile(`^[a-z0-9]+([.-][a-z0-9]+)*$`)
	hexSHA256 = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
)

// checker collects faults and knows the line of each field.
type checker struct {
	lines  map[string]int
	faults ValidationErrors
}

func check(d *Document, lines map[string]int) ValidationErrors {
	c := &checker{
		lines: lines,
	}
	c.name("environment", d.Environment)
	c.accounts(d)
	c.pools(d)
	c.services(d)
	c.objectives(d)
	return c.faults
}

// expect adds a fault unless the condition holds. A field that is absent is reported at its parent's line.
func (c *checker) expect(holds bool, path, message string) {
	if holds {
		return
	}
	line := 0
	for at := path; line == 0 && at != ""; {
		line = c.lines[at]
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
	}
	c.faults = append(c.faults, fault(max(line, 1), path, message))
}

func (c *checker) name(path, name string) {
	c.expect(kebabName.MatchString(name), path, "must be a name in kebab case")
}

func (c *checker) unique(seen map[string]bool, path, name string) {
	c.expect(!seen[name], path, "repeats "+name)
	seen[name] = true
}

func (c *checker) accounts(d *Document) {
	c.expect(len(d.Accounts) > 0, "accounts", "must name at least one account")
	names := map[string]bool{}
	keys := map[string]bool{}
	for i, account := range d.Accounts {
		at := fmt.Sprintf("accounts[%d]", i)
		c.name(at+".name", account.Name)
		c.unique(names, at+".name", account.Name)
		c.expect(account.Share > 0 && account.Share <= 1e6, at+".share", "must be above 0 and at most 1000000")
		c.expect(account.QueueBound > 0, at+".queue-bound", "must be above 0")
		c.expect(len(account.KeySHA256) > 0, at+".key-sha256", "must hold at least one digest")
		for j, key := range account.KeySHA256 {
			c.expect(hexSHA256.MatchString(key), fmt.Sprintf("%s.key-sha256[%d]", at, j), "must be 64 hexadecimal digits")
			c.unique(keys, fmt.Sprintf("%s.key-sha256[%d]", at, j), strings.ToLower(key))
		}
		for j, pool := range account.Pools {
			_, known := d.Pool(pool)
			c.expect(known, fmt.Sprintf("%s.pools[%d]", at, j), "names no pool of this document")
		}
	}
}

func (c *checker) pools(d *Document) {
	c.expect(len(d.Pools) > 0, "pools", "must name at least one pool")
	names := map[string]bool{}
	models := map[string]bool{}
	addresses := map[string]bool{}
	for i, pool := range d.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		c.name(at+".name", pool.Name)
		c.unique(names, at+".name", pool.Name)
		c.expect(pool.Kind == KindEngine || pool.Kind == KindService, at+".kind", "must be engine or service")
		c.expect(pool.Slots > 0, at+".slots", "must be above 0")
		c.expect(pool.PromptWeight >= 0, at+".prompt-weight", "must not be negative")
		c.expect(pool.GeneratedWeight > 0, at+".generated-weight", "must be above 0")
		c.expect(pool.MillisecondWeight > 0, at+".millisecond-weight", "must be above 0")
		c.expect(pool.LargestCost > 0, at+".largest-cost", "must be above 0")
		c.expect(pool.Kind != KindEngine || len(pool.Models) > 0, at+".models", "must name at least one model for an engine")
		c.expect(pool.Kind != KindService || len(pool.Models) == 0, at+".models", "must be absent for a service")
		for j, model := range pool.Models {
			c.unique(models, fmt.Sprintf("%s.models[%d]", at, j), model)
		}
		c.upstreams(at, pool, addresses)
	}
}

func (c *checker) upstreams(at string, pool Pool, addresses map[string]bool) {
	c.expect(len(pool.Upstreams) > 0, at+".upstreams", "must name at least one upstream")
	for j, upstream := range pool.Upstreams {
		path := fmt.Sprintf("%s.upstreams[%d]", at, j)
		_, err := netip.ParseAddrPort(upstream.Address)
		c.expect(err == nil, path+".address", "must be an IP number and a port")
		c.unique(addresses, path+".address", upstream.Address)
		c.expect(upstream.Slots >= 0, path+".slots", "must not be negative")
		c.name(path+".zone", upstream.Zone)
	}
}

func (c *checker) services(d *Document) {
	names := map[string]bool{}
	for i, service := range d.Services {
		at := fmt.Sprintf("services[%d]", i)
		c.name(at+".name", service.Name)
		c.unique(names, at+".name", service.Name)
		pool, known := d.Pool(service.Pool)
		c.expect(known && pool.Kind == KindService, at+".pool", "must name a pool of kind service")
		c.expect(len(service.Routes) > 0, at+".routes", "must hold at least one route")
		for j, route := range service.Routes {
			path := fmt.Sprintf("%s.routes[%d]", at, j)
			c.expect(strings.HasPrefix(route.Path, "/"), path+".path", "must begin with /")
			c.expect(len(route.Methods) > 0, path+".methods", "must name at least one method")
			for k, method := range route.Methods {
				c.expect(method != "" && method == strings.ToUpper(method), fmt.Sprintf("%s.methods[%d]", path, k), "must be an HTTP method in capitals")
			}
		}
	}
}

func (c *checker) objectives(d *Document) {
	for i, objective := range d.Objectives {
		at := fmt.Sprintf("objectives[%d]", i)
		_, accountKnown := d.Account(objective.Account)
		c.expect(accountKnown, at+".account", "names no account of this document")
		_, poolKnown := d.Pool(objective.Pool)
		c.expect(poolKnown, at+".pool", "names no pool of this document")
		c.expect(objective.Within > 0, at+".within", "must be above 0")
		c.expect(objective.Target > 0 && objective.Target < 1, at+".target", "must lie between 0 and 1")
	}
}
