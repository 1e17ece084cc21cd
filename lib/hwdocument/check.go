package hwdocument

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
)

var (
	kebabName = regexp.MustCompile(`^[a-z0-9]+([.-][a-z0-9]+)*$`)
	sha256Hex = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
)

// validator collects the errors of a document. lines maps field paths to lines.
type validator struct {
	lines map[string]int
	errs  ValidationErrors
}

func validate(d *Document, lines map[string]int) ValidationErrors {
	v := &validator{
		lines: lines,
	}
	v.name("environment", d.Environment)
	v.accounts(d)
	v.pools(d)
	v.services(d)
	v.objectives(d)
	return v.errs
}

// expect adds an error unless the condition holds. An error in an absent field is reported at the line of its parent.
func (v *validator) expect(holds bool, path, message string) {
	if holds {
		return
	}
	line := 0
	for at := path; line == 0 && at != ""; {
		line = v.lines[at]
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
	}
	v.errs = append(v.errs, validationError(max(line, 1), path, message))
}

func (v *validator) name(path, name string) {
	v.expect(kebabName.MatchString(name), path, "must be a kebab-case name")
}

func (v *validator) unique(seen map[string]bool, path, name string) {
	v.expect(!seen[name], path, "repeats "+name)
	seen[name] = true
}

func (v *validator) accounts(d *Document) {
	v.expect(len(d.Accounts) > 0, "accounts", "must name at least one account")
	names := map[string]bool{}
	keys := map[string]bool{}
	for i, account := range d.Accounts {
		at := fmt.Sprintf("accounts[%d]", i)
		v.name(at+".name", account.Name)
		v.unique(names, at+".name", account.Name)
		v.expect(account.Share > 0 && account.Share <= 1e6, at+".share", "must be above 0 and at most 1000000")
		v.expect(account.QueueBound > 0, at+".queue-bound", "must be above 0")
		v.expect(len(account.KeySHA256) > 0, at+".key-sha256", "must contain at least one digest")
		for j, key := range account.KeySHA256 {
			v.expect(sha256Hex.MatchString(key), fmt.Sprintf("%s.key-sha256[%d]", at, j), "must be 64 hexadecimal digits")
			v.unique(keys, fmt.Sprintf("%s.key-sha256[%d]", at, j), strings.ToLower(key))
		}
		for j, pool := range account.Pools {
			_, known := d.Pool(pool)
			v.expect(known, fmt.Sprintf("%s.pools[%d]", at, j), "names no pool of this document")
		}
	}
}

func (v *validator) pools(d *Document) {
	v.expect(len(d.Pools) > 0, "pools", "must name at least one pool")
	names := map[string]bool{}
	models := map[string]bool{}
	addresses := map[string]bool{}
	for i, pool := range d.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		v.name(at+".name", pool.Name)
		v.unique(names, at+".name", pool.Name)
		v.expect(pool.Kind == KindEngine || pool.Kind == KindService, at+".kind", "must be engine or service")
		v.expect(pool.Slots > 0, at+".slots", "must be above 0")
		v.expect(pool.PromptWeight >= 0, at+".prompt-weight", "must not be negative")
		v.expect(pool.GeneratedWeight > 0, at+".generated-weight", "must be above 0")
		v.expect(pool.MillisecondWeight > 0, at+".millisecond-weight", "must be above 0")
		v.expect(pool.LargestCost > 0, at+".largest-cost", "must be above 0")
		v.expect(pool.Kind != KindEngine || len(pool.Models) > 0, at+".models", "must name at least one model for an engine")
		v.expect(pool.Kind != KindService || len(pool.Models) == 0, at+".models", "must be absent for a service")
		for j, model := range pool.Models {
			v.unique(models, fmt.Sprintf("%s.models[%d]", at, j), model)
		}
		v.upstreams(at, pool, addresses)
	}
}

func (v *validator) upstreams(at string, pool Pool, addresses map[string]bool) {
	v.expect(len(pool.Upstreams) > 0, at+".upstreams", "must name at least one upstream")
	for j, upstream := range pool.Upstreams {
		path := fmt.Sprintf("%s.upstreams[%d]", at, j)
		_, err := netip.ParseAddrPort(upstream.Address)
		v.expect(err == nil, path+".address", "must be an IP address and a port")
		v.unique(addresses, path+".address", upstream.Address)
		v.expect(upstream.Slots >= 0, path+".slots", "must not be negative")
		v.name(path+".zone", upstream.Zone)
	}
}

func (v *validator) services(d *Document) {
	names := map[string]bool{}
	for i, service := range d.Services {
		at := fmt.Sprintf("services[%d]", i)
		v.name(at+".name", service.Name)
		v.unique(names, at+".name", service.Name)
		pool, known := d.Pool(service.Pool)
		v.expect(known && pool.Kind == KindService, at+".pool", "must name a pool of kind service")
		v.expect(len(service.Routes) > 0, at+".routes", "must contain at least one route")
		for j, route := range service.Routes {
			path := fmt.Sprintf("%s.routes[%d]", at, j)
			v.expect(strings.HasPrefix(route.Path, "/"), path+".path", "must begin with /")
			v.expect(len(route.Methods) > 0, path+".methods", "must name at least one method")
			for k, method := range route.Methods {
				v.expect(method != "" && method == strings.ToUpper(method), fmt.Sprintf("%s.methods[%d]", path, k), "must be an HTTP method in capitals")
			}
		}
	}
}

func (v *validator) objectives(d *Document) {
	for i, objective := range d.Objectives {
		at := fmt.Sprintf("objectives[%d]", i)
		_, accountKnown := d.Account(objective.Account)
		v.expect(accountKnown, at+".account", "names no account of this document")
		_, poolKnown := d.Pool(objective.Pool)
		v.expect(poolKnown, at+".pool", "names no pool of this document")
		v.expect(objective.Within > 0, at+".within", "must be above 0")
		v.expect(objective.Target > 0 && objective.Target < 1, at+".target", "must be above 0 and below 1")
	}
}
