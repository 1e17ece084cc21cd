// Package hwtable holds the routing table in force: which route a request takes, which pools serve it, who may call, and within which limits.
//
// A Table is immutable. A newer version replaces it as a whole, so a request sees one version from its first decision to its last.
package hwtable

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route says how the requests of a host and a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Streaming answers are event streams.
	Streaming bool
	// Resumable streams may continue at another upstream after the last event that was relayed.
	Resumable bool
	// Timeout is the longest time that a caller may be kept waiting for the end of the answer.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or the first event of a stream, is on time.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between two events of a stream that is on time.
	EventGapObjective time.Duration
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
	// Public routes take requests without a key.
	Public bool
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Targets are the pools that serve the route.
	Targets []Target
}

// Target is a pool and its part of a route's requests.
type Target struct {
	Pool   string
	Weight float64
}

// Pool is what is known in advance about a set of interchangeable upstreams.
type Pool struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections an upstream takes from all routers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the upstreams of a model pool.
type Engine struct {
	Slots int
	// CacheTokens is the memory for prompts and running requests, in tokens.
	CacheTokens int
}

// Account is a client account.
type Account struct {
	Name     string
	APIKeys  []string
	Priority int
}

// Limits bound what callers may send and how long their connections may stay idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// FleetTokensPerSecond is what all engines produce together, in tokens read plus twice the tokens generated.
	FleetTokensPerSecond float64
}

// Config are the parts from which a table is made.
type Config struct {
	Version  uint64
	Routes   []Route
	Pools    []Pool
	Accounts []Account
	Limits   Limits
}

// Table answers lookups about one version.
type Table struct {
	version uint64
	limits  Limits
	hosts   map[string][]Route
	pools   map[string]Pool
	keys    map[string]Account
	// names are those of all routes.
	names map[string]bool
	// guarded tells that routes which are not public ask for a key.
	guarded bool
}

// New returns a table of the given contents.
func New(c Config) *Table {
	t := &Table{
		version: c.Version,
		limits:  c.Limits,
		hosts:   map[string][]Route{},
		pools:   map[string]Pool{},
		keys:    map[string]Account{},
		names:   map[string]bool{},
		guarded: len(c.Accounts) > 0,
	}
	for _, r := range c.Routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
		t.names[r.Name] = true
	}
	// The longest prefix comes first, so that the first match is the right one.
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range c.Pools {
		t.pools[p.Name] = p
	}
	for _, a := range c.Accounts {
		for _, key := range a.APIKeys {
			t.keys[key] = a
		}
	}
	return t
}

// Version returns the number of the version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// Pool returns the named pool.
func (t *Table) Pool(name string) (Pool, bool) {
	p, known := t.pools[name]
	return p, known
}

// Match returns the route with the longest prefix that begins the path. A port in the host does not matter.
func (t *Table) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// HasRoute reports whether a route of that name exists.
func (t *Table) HasRoute(route string) bool { return t.names[route] }

// RequiresKey reports whether a route asks for a key.
func (t *Table) RequiresKey(r Route) bool { return t.guarded && !r.Public }

// Authenticate returns the account that holds a key.
func (t *Table) Authenticate(key string) (Account, bool) {
	a, known := t.keys[key]
	return a, known
}

// PickPool returns the pool for a request; draw lies in [0, 1) and spreads requests by weight.
func (r Route) PickPool(draw float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	draw *= total
	for _, target := range r.Targets {
		if draw -= max(0, target.Weight); draw < 0 {
			return target.Pool
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Pool
}
