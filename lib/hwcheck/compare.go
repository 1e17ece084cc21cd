package hwcheck

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Compare returns the changes from one configuration to another, with the effects that callers will notice.
func Compare(before, after Configuration) []Change {
	c := &comparer{
		before: before,
		after:  after,
	}
	c.routes()
	c.accounts()
	c.keys()
	c.pools()
	c.objectives()
	c.fields(LimitSubject, "callers", before.Limits, after.Limits)
	return c.changes
}

// CheckVersions returns findings about the order of two configurations.
func CheckVersions(before, after Configuration) []Finding {
	var findings []Finding
	if before.Environment != after.Environment {
		findings = append(findings, Finding{
			Severity: Warning,
			Place:    after.Place,
			Kind:     EnvironmentsDiffer,
			Text:     fmt.Sprintf("the environment is %q, that of the other version is %q", after.Environment, before.Environment),
		})
	}
	if after.Version <= before.Version && before.Version > 0 && len(Compare(before, after)) > 0 {
		findings = append(findings, Finding{
			Severity: Warning,
			Place:    after.Place,
			Kind:     VersionNotRaised,
			Text:     fmt.Sprintf("the version is %d, and %d in the other one, so routers that have the other one ignore the changes", after.Version, before.Version),
		})
	}
	return findings
}

// comparer collects changes.
type comparer struct {
	before, after Configuration
	changes       []Change
}

func (c *comparer) add(change Change) { c.changes = append(c.changes, change) }

// pair is an entry of both configurations; one of them is nil if the entry is only in the other.
type pair[T any] struct {
	name          string
	before, after *T
}

// pairs matches entries by name, those of after first. The second entry with the same name is matched with the second one, and so on.
func pairs[T any](before, after []T, name func(T) string) []pair[T] {
	index := func(entries []T) ([]string, map[string]*T) {
		var order []string
		byName := map[string]*T{}
		count := map[string]int{}
		for i := range entries {
			key := name(entries[i])
			count[key]++
			if count[key] > 1 {
				key += " (entry " + strconv.Itoa(count[key]) + ")"
			}
			if byName[key] == nil {
				order = append(order, key)
			}
			byName[key] = &entries[i]
		}
		return order, byName
	}
	oldOrder, oldEntries := index(before)
	newOrder, newEntries := index(after)
	var all []pair[T]
	for _, key := range newOrder {
		all = append(all, pair[T]{
			name:   key,
			before: oldEntries[key],
			after:  newEntries[key],
		})
	}
	for _, key := range oldOrder {
		if newEntries[key] == nil {
			all = append(all, pair[T]{
				name:   key,
				before: oldEntries[key],
			})
		}
	}
	return all
}

// addition adds a change for an entry that is only in one of the configurations, and reports whether it is.
func addition[T any](c *comparer, subject Subject, p pair[T], added, removed func(T) string) bool {
	switch {
	case p.before == nil:
		c.add(Change{
			Subject: subject,
			Name:    p.name,
			Action:  Added,
			Effect:  added(*p.after),
		})
	case p.after == nil:
		c.add(Change{
			Subject: subject,
			Name:    p.name,
			Action:  Removed,
			Effect:  removed(*p.before),
		})
	default:
		return false
	}
	return true
}

// changed adds a change of a field if its texts differ.
func (c *comparer) changed(subject Subject, name, field, before, after, effect string) {
	if before == after {
		return
	}
	c.add(Change{
		Subject: subject,
		Name:    name,
		Action:  Changed,
		Field:   field,
		Before:  before,
		After:   after,
		Effect:  effect,
	})
}

// matched returns the name of the route that gets a path in a scope, by the longest prefix, or false.
func matched(routes []Route, scope, path string) (string, bool) {
	longest, name := -1, ""
	for _, r := range routes {
		if r.Scope == scope && strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > longest {
			longest, name = len(r.Prefix), r.Name
		}
	}
	return name, longest >= 0
}

func (c *comparer) routes() {
	for _, p := range pairs(c.before.Routes, c.after.Routes, func(r Route) string { return r.Name }) {
		if addition(c, RouteSubject, p,
			func(r Route) string {
				if other, _ := matched(c.after.Routes, r.Scope, r.Prefix); other != r.Name {
					return fmt.Sprintf("requests for %s%s are served by route %s", r.Scope, r.Prefix, other)
				}
				if old, was := matched(c.before.Routes, r.Scope, r.Prefix); was {
					return fmt.Sprintf("requests for %s%s were served by route %s", r.Scope, r.Prefix, old)
				}
				return fmt.Sprintf("requests for %s%s are served; they got 404", r.Scope, r.Prefix)
			},
			func(r Route) string {
				if other, is := matched(c.after.Routes, r.Scope, r.Prefix); is {
					return fmt.Sprintf("requests for %s%s are served by route %s", r.Scope, r.Prefix, other)
				}
				return fmt.Sprintf("requests for %s%s get 404", r.Scope, r.Prefix)
			}) {
			continue
		}
		c.route(p.name, *p.before, *p.after)
	}
}

func (c *comparer) route(name string, b, a Route) {
	field := func(field, before, after, effect string) { c.changed(RouteSubject, name, field, before, after, effect) }
	if b.Scope+b.Prefix != a.Scope+a.Prefix {
		effect := "requests for " + b.Scope + b.Prefix + " get 404"
		if other, is := matched(c.after.Routes, b.Scope, b.Prefix); is {
			effect = "requests for " + b.Scope + b.Prefix + " are served by route " + other
		}
		field("path", b.Scope+b.Prefix, a.Scope+a.Prefix, effect)
	}
	field("methods", list(b.Methods), list(a.Methods), "requests with methods that were taken away are refused")
	field("targets", targets(b.Targets), targets(a.Targets), "requests are distributed differently; engines have not cached the prompts of those that move")
	field("time-limit", b.TimeLimit.String(), a.TimeLimit.String(), direction(b.TimeLimit, a.TimeLimit, "longer requests are cut off with 504", "requests may take longer"))
	field("objective", b.Objective.String(), a.Objective.String(), direction(b.Objective, a.Objective, "requests that would wait longer are refused", "requests wait longer before they are refused"))
	field("event-gap", b.EventGap.String(), a.EventGap.String(), "")
	field("attempts", strconv.Itoa(b.MaxAttempts), strconv.Itoa(a.MaxAttempts), direction(b.MaxAttempts, a.MaxAttempts, "more failures of upstreams reach callers", "fewer failures of upstreams reach callers"))
	field("repeatable", strconv.FormatBool(b.Repeatable), strconv.FormatBool(a.Repeatable), choose(a.Repeatable, "requests may run more than once", "requests that failed at an upstream are not repeated"))
	field("streaming", strconv.FormatBool(b.Streaming), strconv.FormatBool(a.Streaming), choose(a.Streaming, "answers are relayed as event streams", "answers are no longer relayed as event streams"))
	field("resumable", strconv.FormatBool(b.Resumable), strconv.FormatBool(a.Resumable), choose(a.Resumable, "streams go on after a failure of an upstream", "streams break off at a failure of an upstream"))
	field("public", strconv.FormatBool(b.Public), strconv.FormatBool(a.Public), choose(a.Public, "callers without a key are served", "callers without a key get 401"))
	field("priority", strconv.Itoa(b.Priority), strconv.Itoa(a.Priority), direction(b.Priority, a.Priority, "requests take precedence over more others", "more others take precedence"))
}

// targets returns the targets of a route with the part of its requests that each gets.
func targets(all []Target) string {
	total := 0.0
	for _, t := range all {
		total += max(0, t.Weight)
	}
	texts := make([]string, 0, len(all))
	for _, t := range all {
		part := 0.0
		if total > 0 {
			part = max(0, t.Weight) / total
		}
		texts = append(texts, fmt.Sprintf("%s %.1f %%", t.Pool, 100*part))
	}
	slices.Sort(texts)
	return list(texts)
}

// list joins texts.
func list(texts []string) string {
	if len(texts) == 0 {
		return "all"
	}
	return strings.Join(texts, ", ")
}

// choose returns one of two texts.
func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// direction returns the effect of a lower or of a higher value.
func direction[T int | float64 | time.Duration](before, after T, lower, higher string) string {
	return choose(after < before, lower, higher)
}

// allKeys is the name of changes that concern all keys.
const allKeys = "all"

func (c *comparer) accounts() {
	total := func(accounts []Account) float64 {
		sum := 0.0
		for _, a := range accounts {
			if a.Share != nil {
				sum += max(0, *a.Share)
			}
		}
		return sum
	}
	if oldRequired, newRequired := c.before.keysRequired(), c.after.keysRequired(); newRequired {
		c.changed(KeySubject, allKeys, "required", strconv.FormatBool(oldRequired), "true", "callers without a key get 401, except on public routes")
	} else {
		c.changed(KeySubject, allKeys, "required", strconv.FormatBool(oldRequired), "false", "callers without a key are served on all routes")
	}
	oldTotal, newTotal := total(c.before.Accounts), total(c.after.Accounts)
	for _, p := range pairs(c.before.Accounts, c.after.Accounts, func(a Account) string { return a.Name }) {
		if addition(c, AccountSubject, p,
			func(a Account) string { return fmt.Sprintf("callers with its keys (%d) are served", len(a.Keys)) },
			func(a Account) string {
				if !c.after.keysRequired() {
					return fmt.Sprintf("callers with its keys (%d) are served without an account", len(a.Keys))
				}
				return fmt.Sprintf("callers with its keys (%d) get 401, unless another account has them", len(a.Keys))
			}) {
			continue
		}
		b, a := *p.before, *p.after
		if b.Share != nil && a.Share != nil && *b.Share != *a.Share {
			c.changed(AccountSubject, p.name, "share", formatNumber(*b.Share), formatNumber(*a.Share),
				fmt.Sprintf("its part of a full pool goes from %s to %s", percent(*b.Share, oldTotal), percent(*a.Share, newTotal)))
		}
		c.changed(AccountSubject, p.name, "pools", list(b.Pools), list(a.Pools), "requests for pools that were taken away are refused")
		c.fields(AccountSubject, p.name, b.Fields, a.Fields)
	}
}

// percent returns a part of a total as text.
func percent(part, total float64) string {
	if total <= 0 {
		return "none"
	}
	return fmt.Sprintf("%.1f %%", 100*part/total)
}

// keys compares keys by their hashes. A key that several accounts name counts for the last one.
func (c *comparer) keys() {
	owners := func(accounts []Account) ([]string, map[string]string) {
		var order []string
		byHash := map[string]string{}
		for _, a := range accounts {
			for _, key := range a.Keys {
				if _, seen := byHash[key.Hash]; !seen {
					order = append(order, key.Hash)
				}
				byHash[key.Hash] = a.Name
			}
		}
		return order, byHash
	}
	oldOrder, oldOwners := owners(c.before.Accounts)
	newOrder, newOwners := owners(c.after.Accounts)
	for _, hash := range newOrder {
		old, was := oldOwners[hash]
		switch owner := newOwners[hash]; {
		case !was:
			c.add(Change{
				Subject: KeySubject,
				Name:    hash,
				Action:  Added,
				Effect:  "callers with it are served as account " + owner,
			})
		case old != owner:
			c.changed(KeySubject, hash, "account", old, owner, "what its callers use counts for account "+owner)
		}
	}
	for _, hash := range oldOrder {
		if _, is := newOwners[hash]; !is {
			effect := "get 401"
			if !c.after.keysRequired() {
				effect = "are served without an account"
			}
			c.add(Change{
				Subject: KeySubject,
				Name:    hash,
				Action:  Removed,
				Effect:  "callers with it, so far of account " + oldOwners[hash] + ", " + effect,
			})
		}
	}
}

func (c *comparer) pools() {
	users := func(routes []Route, pool string) []string {
		var names []string
		for _, r := range routes {
			if slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Pool == pool }) {
				names = append(names, r.Name)
			}
		}
		return names
	}
	for _, p := range pairs(c.before.Pools, c.after.Pools, func(p Pool) string { return p.Name }) {
		if addition(c, PoolSubject, p,
			func(Pool) string { return "" },
			func(pool Pool) string {
				if names := users(c.after.Routes, pool.Name); len(names) > 0 {
					return "requests of its routes (" + list(names) + ") are refused with 503"
				}
				return ""
			}) {
			continue
		}
		c.fields(PoolSubject, p.name, p.before.Fields, p.after.Fields)
	}
}

func (c *comparer) objectives() {
	for _, p := range pairs(c.before.Objectives, c.after.Objectives, func(o Objective) string { return o.Account + " at " + o.Pool }) {
		none := func(Objective) string { return "" }
		if addition(c, ObjectiveSubject, p, none, none) {
			continue
		}
		c.changed(ObjectiveSubject, p.name, "within", p.before.Within.String(), p.after.Within.String(), "")
		c.changed(ObjectiveSubject, p.name, "target", formatNumber(p.before.Target), formatNumber(p.after.Target), "")
	}
}

// fieldEffects are the effects of a lower and of a higher value by subject and field, for fields that the formats share or that only one of them has.
var fieldEffects = map[Subject]map[string][2]string{
	LimitSubject: {
		"header-bytes":      {"requests with larger headers are refused", "requests with larger headers are served"},
		"body-bytes":        {"requests with larger bodies get 413", "requests with larger bodies are served"},
		"header-timeout":    {"callers that send their headers more slowly are cut off", "callers may send their headers more slowly"},
		"idle-timeout":      {"idle connections are closed earlier", "idle connections are kept longer"},
		"tokens-per-second": {"accounts over their share are refused earlier", "accounts over their share are refused later"},
	},
	PoolSubject: {
		"slots":           {"fewer requests run at the same time; others wait or are refused", "more requests run at the same time"},
		"connections":     {"fewer requests run at the same time; others wait or are refused", "more requests run at the same time"},
		"cache-tokens":    {"fewer prompts are found in the cache", "more prompts are found in the cache"},
		"queue-timeout":   {"requests that wait longer are refused", "requests may wait longer"},
		"answer-timeout":  {"longer answers are cut off", "answers may take longer"},
		"progress-limit":  {"answers that pause longer are cut off", "answers may pause longer"},
		"resumes-streams": {"streams break off at a failure of an upstream", "streams go on after a failure of an upstream"},
	},
	AccountSubject: {
		"queue-bound": {"more of its requests are refused at once when it is busy", "more of its requests wait when it is busy"},
	},
}

// fields compares fields by name.
func (c *comparer) fields(subject Subject, name string, before, after []Field) {
	for _, p := range pairs(before, after, func(f Field) string { return f.Name }) {
		b, a := Field{Text: "none"}, Field{Text: "none"}
		if p.before != nil {
			b = *p.before
		}
		if p.after != nil {
			a = *p.after
		}
		effect := fieldEffects[subject][p.name]
		c.changed(subject, name, p.name, b.Text, a.Text, direction(b.Number, a.Number, effect[0], effect[1]))
	}
}
