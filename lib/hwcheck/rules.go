package hwcheck

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Options are what a check knows besides the configuration.
type Options struct {
	// RetryRatio is the ratio of repeated requests to all that the deployment allows, or negative if it is not known.
	RetryRatio float64
}

// negligible is the part of requests below which an attempt counts as never made.
const negligible = 0.001

// Check returns the findings of a configuration, in the order of their lines.
func Check(c Configuration, options Options) []Finding {
	k := &checker{
		options: options,
		pools:   map[string]Pool{},
	}
	for _, p := range c.Pools {
		k.pools[p.Name] = p
	}
	k.checkPools(c)
	k.checkRoutes(c)
	k.checkAccounts(c)
	k.checkObjectives(c)
	SortFindings(k.findings)
	return k.findings
}

// SortFindings sorts findings by line and column; those of one place keep their order.
func SortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		if a.Place.Line != b.Place.Line {
			return a.Place.Line - b.Place.Line
		}
		return a.Place.Column - b.Place.Column
	})
}

// checker collects findings.
type checker struct {
	options  Options
	pools    map[string]Pool
	findings []Finding
}

func (k *checker) add(severity Severity, place Place, kind Kind, format string, values ...any) {
	k.findings = append(k.findings, Finding{
		Severity: severity,
		Place:    place,
		Kind:     kind,
		Text:     fmt.Sprintf(format, values...),
	})
}

// duplicate adds a finding if the name was seen before.
func (k *checker) duplicate(seen map[string]bool, severity Severity, what, name string, place Place, consequence string) {
	if seen[name] {
		k.add(severity, place, DuplicateName, "another %s has the name %q; %s", what, name, consequence)
	}
	seen[name] = true
}

func (k *checker) checkPools(c Configuration) {
	used := map[string]bool{}
	for _, r := range c.Routes {
		for _, t := range r.Targets {
			used[t.Pool] = true
		}
	}
	seen := map[string]bool{}
	for _, p := range c.Pools {
		k.duplicate(seen, Error, "pool", p.Name, p.Place, "only the last one is used")
		if !p.ServesModels && !used[p.Name] {
			k.add(Warning, p.Place, UnusedPool, "no route leads to pool %q", p.Name)
		}
		if p.HasNoCapacity {
			k.add(Warning, p.Place, PoolWithoutCapacity, "no upstream of pool %q takes requests", p.Name)
		}
		if p.TimeLimit > 0 && p.QueueLimit > p.TimeLimit {
			k.add(Warning, p.Place, QueueAboveTimeLimit, "requests to pool %q may wait %v in the queue, longer than the %v that an answer may take", p.Name, p.QueueLimit, p.TimeLimit)
		}
	}
}

func (k *checker) checkRoutes(c Configuration) {
	seen := map[string]bool{}
	for i, r := range c.Routes {
		k.duplicate(seen, Warning, "route", r.Name, r.Place, "logs and metrics can't tell them apart")
		k.checkMatch(c.Routes[:i], r)
		k.checkTargets(r)
		k.checkLimits(r)
	}
}

// checkMatch finds a route that no request can match. Of two routes with the same scope and prefix, the first is used; other prefixes don't shadow each other, because the longest one wins.
func (k *checker) checkMatch(earlier []Route, r Route) {
	if !strings.HasPrefix(r.Prefix, "/") {
		k.add(Warning, r.place("prefix"), RouteNeverMatches, "the prefix %q does not begin with /, so no path has it", r.Prefix)
	}
	if strings.Contains(r.Scope, ":") {
		k.add(Warning, r.place("host"), RouteNeverMatches, "the host %q has a port, but the port of a request's host is ignored", r.Scope)
	}
	covered := map[string]bool{}
	for _, e := range earlier {
		if e.Scope != r.Scope || e.Prefix != r.Prefix {
			continue
		}
		for _, method := range e.Methods {
			covered[method] = true
		}
		all := len(e.Methods) == 0 || len(r.Methods) > 0 && !slices.ContainsFunc(r.Methods, func(m string) bool { return !covered[m] })
		if all {
			k.add(Warning, r.Place, RouteShadowed, "route %q never gets a request: route %q before it has the same prefix%s", r.Name, e.Name, atPlace(e.Place))
			return
		}
	}
}

// atPlace returns the line of a place as an addition to a text.
func atPlace(p Place) string {
	if p.Line == 0 {
		return ""
	}
	return " (line " + strconv.Itoa(p.Line) + ")"
}

func (k *checker) checkTargets(r Route) {
	weighted := false
	for _, t := range r.Targets {
		weighted = weighted || t.Weight > 0
		if _, known := k.pools[t.Pool]; !known {
			k.add(Error, t.Place, MissingPool, "route %q leads to pool %q, which does not exist", r.Name, t.Pool)
		}
		if t.Weight <= 0 {
			severity := Warning
			if t.Weight < 0 {
				severity = Error
			}
			k.add(severity, t.Place, TargetWithoutWeight, "pool %q gets no request of route %q, because its weight is %s", t.Pool, r.Name, formatNumber(t.Weight))
		}
	}
	if !weighted {
		k.add(Error, r.Place, NoTargetWithWeight, "route %q has no target with a weight above 0", r.Name)
	}
}

func (k *checker) checkLimits(r Route) {
	if r.TimeLimit <= 0 {
		k.add(Error, r.place("time-limit"), LimitNotPositive, "the time limit of route %q is %v, so every request is late", r.Name, r.TimeLimit)
	}
	if r.Objective < 0 || r.EventGap < 0 || r.MaxAttempts < 0 {
		k.add(Error, r.Place, LimitNotPositive, "route %q has a negative limit", r.Name)
	}
	if r.TimeLimit > 0 && r.Objective > r.TimeLimit {
		k.add(Warning, r.place("objective"), ObjectiveAboveLimit, "the objective of route %q is %v, but requests end after %v", r.Name, r.Objective, r.TimeLimit)
	}
	if r.TimeLimit > 0 && r.EventGap > r.TimeLimit {
		k.add(Warning, r.place("event-gap"), ObjectiveAboveLimit, "the objective between events of route %q is %v, but requests end after %v", r.Name, r.EventGap, r.TimeLimit)
	}
	if r.Resumable && !r.Streaming {
		k.add(Warning, r.place("resumable"), ResumableNotStreaming, "route %q is resumable, but only streams are resumed", r.Name)
	}
	if attempts := coveredAttempts(k.options.RetryRatio); k.options.RetryRatio >= 0 && r.MaxAttempts > attempts {
		k.add(Warning, r.place("attempts"), AttemptsAboveRatio, "route %q allows %d attempts, but a retry ratio of %s covers %d: it is used up before one in %d requests needs another one", r.Name, r.MaxAttempts, formatNumber(k.options.RetryRatio), attempts, int(1/negligible))
	}
}

// coveredAttempts returns how many attempts of a request a retry ratio covers. Let each attempt fail with the same probability p. The ratio covers p + p² + ... = p/(1-p), so p is at most ratio/(1+ratio); attempt n is needed by p^(n-1) of the requests.
func coveredAttempts(ratio float64) int {
	if ratio <= 0 {
		return 1
	}
	p := ratio / (1 + ratio)
	if p >= 1 {
		return math.MaxInt
	}
	return 1 + int(math.Log(negligible)/math.Log(p))
}

func (k *checker) checkAccounts(c Configuration) {
	if c.RequiresKeys && len(c.Accounts) == 0 {
		k.add(Warning, c.AccountsPlace, NoAccount, "the list of accounts is empty, so all requests for routes that are not public get 401")
	}
	names := map[string]bool{}
	owners := map[string]string{}
	for _, a := range c.Accounts {
		k.duplicate(names, Warning, "account", a.Name, a.Place, "their keys count for one account")
		if len(a.Keys) == 0 {
			k.add(Warning, a.Place, AccountWithoutKey, "account %q has no key, so nobody can use it", a.Name)
		}
		if a.Share != nil && *a.Share <= 0 {
			k.add(Error, a.Place, ShareZero, "the share of account %q is %s", a.Name, formatNumber(*a.Share))
		}
		for _, key := range a.Keys {
			owner, taken := owners[key.Hash]
			switch {
			case key.Empty:
				k.add(Error, key.Place, EmptyKey, "account %q has an empty key", a.Name)
			case taken && owner == a.Name:
				k.add(Warning, key.Place, DuplicateKey, "account %q names the key %s twice", a.Name, key.Hash)
			case taken:
				k.add(Error, key.Place, DuplicateKey, "the key %s belongs to account %q and to account %q; only the last one gets its requests", key.Hash, owner, a.Name)
			}
			owners[key.Hash] = a.Name
		}
	}
}

func (k *checker) checkObjectives(c Configuration) {
	accounts := map[string]Account{}
	for _, a := range c.Accounts {
		accounts[a.Name] = a
	}
	for _, o := range c.Objectives {
		if a, known := accounts[o.Account]; known && !a.mayUse(o.Pool) {
			k.add(Warning, o.Place, ObjectiveNeverApplies, "account %q may not use pool %q", o.Account, o.Pool)
		}
		if p, known := k.pools[o.Pool]; known && p.TimeLimit > 0 && o.Within > p.TimeLimit {
			k.add(Warning, o.Place, ObjectiveAboveLimit, "the objective of account %q at pool %q is %v, but answers end after %v", o.Account, o.Pool, o.Within, p.TimeLimit)
		}
	}
}

// maxPlainNumber is the number from which on exponents are easier to read.
const maxPlainNumber = 1e15

// formatNumber returns a number without needless digits.
func formatNumber(value float64) string {
	if math.Abs(value) < maxPlainNumber {
		return strconv.FormatFloat(value, 'f', -1, 64)
	}
	return strconv.FormatFloat(value, 'g', -1, 64)
}
