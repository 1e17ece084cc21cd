// Package hwtable holds the routing table: the routes and the pools that serve them, the client accounts, and the limits for callers.
//
// A Table is immutable. A newer version replaces it as a whole, so all decisions about a request are based on the same version.
package hwtable

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route describes how requests for a host and a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent means that requests may run more than once.
	Idempotent bool
	// Streaming means that answers are event streams.
	Streaming bool
	// Resumable means that a stream may continue at another upstream after the last event that was relayed.
	Resumable bool
	// Timeout bounds the time until the end of the answer.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or the first event of a stream, is on time.
	LatencyObjective time.Duration
	// EventGapObjective is the time after an event of a stream within which the next one is on time.
	EventGapObjective time.Duration
	// MaxAttempts is the largest number of upstreams that may run one request.
	MaxAttempts int
	// Public means that requests need no API key.
	Public bool
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Targets are the pools among which requests are distributed.
	Targets []Target
}

// Target is a pool with its weight in the distribution of a route's requests.
type Target struct {
	Pool   string
	Weight float64
}

// Pool is the configuration of a set of interchangeable upstreams.
type Pool struct {
	Name       string
	HealthPath string
	// MaxConnections is how many connections an upstream accepts from all routers together.
	MaxConnections int
	// ColdPerSecond is the number of requests a second that a cold upstream handles; 0 means no limit. ColdStart is how long an upstream is cold after it starts.
	ColdPerSecond float64
	ColdStart     time.Duration
	// Engine is nil for a plain service, whose upstreams are not inference engines.
	Engine *Engine
}

// Engine describes the inference engines of a pool.
type Engine struct {
	// Slots is how many requests an engine runs at the same time.
	Slots int
	// CacheTokens is the size of an engine's KV cache for prompts and running requests, in tokens.
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
	// FleetTokensPerSecond is the throughput of all engines together. A prompt token counts once, a generated token twice.
	FleetTokensPerSecond float64
}

// Config is the configuration from which a table is built.
type Config struct {
	Version  uint64
	Routes   []Route
	Pools    []Pool
	Accounts []Account
	// RequiresKeys means that only public routes are served without an API key. It states what the length of Accounts can't: without an account, either nobody needs a key or nobody has one. A configuration with accounts always requires keys.
	RequiresKeys bool
	Limits       Limits
}

// Table is one version of the routing table, indexed for lookups.
type Table struct {
	version       uint64
	limits        Limits
	routesByHost  map[string][]Route
	pools         map[string]Pool
	accountsByKey map[string]Account
	// requiresKeys is false for a table that serves all routes without a key.
	requiresKeys  bool
	longestStream time.Duration
}

// New builds a table.
func New(c Config) *Table {
	t := &Table{
		version:       c.Version,
		limits:        c.Limits,
		routesByHost:  map[string][]Route{},
		pools:         map[string]Pool{},
		accountsByKey: map[string]Account{},
		requiresKeys:  c.RequiresKeys || len(c.Accounts) > 0,
	}
	for _, r := range c.Routes {
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
		if r.Streaming && r.Resumable {
			t.longestStream = max(t.longestStream, r.Timeout)
		}
	}
	// The longest prefix comes first, so that the first match is the longest.
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, p := range c.Pools {
		t.pools[p.Name] = p
	}
	for _, a := range c.Accounts {
		for _, key := range a.APIKeys {
			// A request without a key must not count as one with an empty key.
			if key != "" {
				t.accountsByKey[key] = a
			}
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// LongestStream returns the longest timeout of the routes whose streams can be taken up, or 0 without one.
func (t *Table) LongestStream() time.Duration { return t.longestStream }

// Pool returns the named pool.
func (t *Table) Pool(name string) (Pool, bool) {
	p, known := t.pools[name]
	return p, known
}

// Match returns the route of the host with the longest prefix that matches the path. A port in the host is ignored.
func (t *Table) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// RequiresKey reports whether requests for a route need an API key.
func (t *Table) RequiresKey(r Route) bool { return t.requiresKeys && !r.Public }

// Authenticate returns the account that an API key belongs to.
func (t *Table) Authenticate(key string) (Account, bool) {
	a, known := t.accountsByKey[key]
	return a, known
}

// PickPool returns the pool for a request, in proportion to the weights of the targets. Random is a random number in [0, 1).
func (r Route) PickPool(random float64) string {
	total := 0.0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	random *= total
	for _, target := range r.Targets {
		if random -= max(0, target.Weight); random < 0 {
			return target.Pool
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Pool
}
