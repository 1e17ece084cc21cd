package hwcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Configuration is what the formats of configurations have in common, with the place of each entry.
type Configuration struct {
	// Version is 0 if the format has none.
	Version     uint64
	Environment string
	Routes      []Route
	Pools       []Pool
	Accounts    []Account
	// RequiresKeys means that only public routes are served without an API key. AccountsPlace is the place of the list of accounts.
	RequiresKeys  bool
	AccountsPlace Place
	Objectives    []Objective
	// Limits apply to all callers.
	Limits []Field
	// Place is that of the whole.
	Place Place
}

// keysRequired reports whether requests for routes that are not public need a key. A configuration with accounts always requires keys.
func (c Configuration) keysRequired() bool { return c.RequiresKeys || len(c.Accounts) > 0 }

// Field is a value that is only compared. Number tells in which direction it changed; it is not used if Text is not a number with a unit.
type Field struct {
	Name   string
	Text   string
	Number float64
}

// Route is the handling of requests below a path. Scope is the host, or the service in a format whose routes belong to services.
type Route struct {
	Name   string
	Scope  string
	Prefix string
	// Methods are the HTTP methods, or none for all.
	Methods []string
	Targets []Target
	// TimeLimit bounds the time until the end of the answer. Objective and EventGap are the times within which answers and events are on time, or 0.
	TimeLimit time.Duration
	Objective time.Duration
	EventGap  time.Duration
	// MaxAttempts is the largest number of upstreams that may run one request, or 0 if the format does not bound it.
	MaxAttempts int
	// Repeatable means that requests may run more than once.
	Repeatable bool
	Streaming  bool
	Resumable  bool
	Public     bool
	Priority   int
	Place      Place
	// FieldPlaces are the places of fields by their names in the format's own spelling.
	FieldPlaces func(field string) Place
}

// place returns the place of a field, or that of the route.
func (r Route) place(field string) Place {
	if r.FieldPlaces == nil {
		return r.Place
	}
	return r.FieldPlaces(field)
}

// Target is a pool with its weight in the distribution of a route's requests.
type Target struct {
	Pool   string
	Weight float64
	Place  Place
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string
	// ServesModels means that requests reach the pool by the model that they name, without a route.
	ServesModels bool
	// HasNoCapacity means that the configuration lists its upstreams, and none of them takes requests.
	HasNoCapacity bool
	// QueueLimit and TimeLimit bound the wait in the queue and the answer, or are 0.
	QueueLimit time.Duration
	TimeLimit  time.Duration
	Fields     []Field
	Place      Place
}

// Account is a client account.
type Account struct {
	Name string
	// Share is the weight in fair sharing, or nil if the format has none.
	Share *float64
	// Pools are those that it may use, or none for all.
	Pools  []string
	Keys   []Key
	Fields []Field
	Place  Place
}

// mayUse reports whether an account may use a pool.
func (a Account) mayUse(pool string) bool {
	if len(a.Pools) == 0 {
		return true
	}
	for _, name := range a.Pools {
		if name == pool {
			return true
		}
	}
	return false
}

// Key is an API key, known by its hash only. Empty means that the key is the empty text.
type Key struct {
	Hash  string
	Empty bool
	Place Place
}

// hashDigits is the number of hexadecimal digits of a key's hash that are kept: enough to tell keys apart.
const hashDigits = 16

// HashKey returns the hash by which a report names a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return ShortHash(hex.EncodeToString(sum[:]))
}

// ShortHash returns the digits of a key's SHA-256 that a report names.
func ShortHash(digest string) string { return digest[:min(len(digest), hashDigits)] }

// Objective is a service-level objective of an account at a pool.
type Objective struct {
	Account string
	Pool    string
	Within  time.Duration
	Target  float64
	Place   Place
}

// Duration returns a field with a duration.
func Duration(name string, value time.Duration) Field {
	return Field{
		Name:   name,
		Text:   value.String(),
		Number: float64(value),
	}
}

// Number returns a field with a number.
func Number(name string, value float64) Field {
	return Field{
		Name:   name,
		Text:   formatNumber(value),
		Number: value,
	}
}

// Text returns a field without a direction.
func Text(name, value string) Field {
	return Field{
		Name: name,
		Text: value,
	}
}
