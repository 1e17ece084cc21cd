// Package hwdocument defines the operators' configuration document: its types, strict decoding, validation, diffs, versions and delta transfer.
package hwdocument

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Kind is the protocol that a pool's upstreams serve.
type Kind string

const (
	// KindEngine is a model engine that speaks the OpenAI-compatible format.
	KindEngine Kind = "engine"
	// KindService is a plain HTTP service.
	KindService Kind = "service"
)

// Duration is a time.Duration that is written as "30s" in the document.
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Document is one environment's configuration. It is immutable once decoded.
type Document struct {
	Environment string      `yaml:"environment"`
	Accounts    []Account   `yaml:"accounts"`
	Pools       []Pool      `yaml:"pools"`
	Services    []Service   `yaml:"services"`
	Objectives  []Objective `yaml:"objectives"`
}

// Account is a client account with its weight in fair sharing and the SHA-256 digests of its API keys.
type Account struct {
	Name       string   `yaml:"name"`
	Share      float64  `yaml:"share"`
	KeySHA256  []string `yaml:"key-sha256"`
	QueueBound int      `yaml:"queue-bound"`
	Pools      []string `yaml:"pools"`
}

// Pool is a set of upstreams that serve the same models or services.
// Weights are cost units per token, or per millisecond for a plain service.
type Pool struct {
	Name              string     `yaml:"name"`
	Kind              Kind       `yaml:"kind"`
	Models            []string   `yaml:"models"`
	Slots             int        `yaml:"slots"`
	PromptWeight      float64    `yaml:"prompt-weight"`
	GeneratedWeight   float64    `yaml:"generated-weight"`
	MillisecondWeight float64    `yaml:"millisecond-weight"`
	LargestCost       float64    `yaml:"largest-cost"`
	QueueTimeout      Duration   `yaml:"queue-timeout"`
	ProgressTimeout   Duration   `yaml:"progress-timeout"`
	AnswerTimeout     Duration   `yaml:"answer-timeout"`
	ResumesStreams    bool       `yaml:"resumes-streams"`
	Upstreams         []Upstream `yaml:"upstreams"`
}

// Upstream is one replica of an engine or service.
type Upstream struct {
	Address       string `yaml:"address"`
	Zone          string `yaml:"zone"`
	Slots         int    `yaml:"slots"`
	ChecksFencing bool   `yaml:"checks-fencing"`
	Draining      bool   `yaml:"draining"`
}

// Service is a plain service and its routes.
type Service struct {
	Name   string  `yaml:"name"`
	Pool   string  `yaml:"pool"`
	Routes []Route `yaml:"routes"`
}

// Route defines how requests below a path are handled.
type Route struct {
	Path       string   `yaml:"path"`
	Methods    []string `yaml:"methods"`
	Idempotent bool     `yaml:"idempotent"`
	Deadline   Duration `yaml:"deadline"`
}

// Objective is a service-level objective: Target is the fraction of requests that must be answered within the given time and have a truthfully reported outcome.
type Objective struct {
	Account string   `yaml:"account"`
	Pool    string   `yaml:"pool"`
	Within  Duration `yaml:"within"`
	Target  float64  `yaml:"target"`
}

// SlotLimit returns the concurrency limit of an upstream in the pool.
func (p Pool) SlotLimit(u Upstream) int {
	if u.Slots > 0 {
		return u.Slots
	}
	return p.Slots
}

// Capacity returns the sum of the concurrency limits of the upstreams that are not draining.
func (p Pool) Capacity() int {
	total := 0
	for _, u := range p.Upstreams {
		if !u.Draining {
			total += p.SlotLimit(u)
		}
	}
	return total
}

// Pool returns the named pool.
func (d *Document) Pool(name string) (Pool, bool) {
	i := slices.IndexFunc(d.Pools, func(p Pool) bool { return p.Name == name })
	if i < 0 {
		return Pool{}, false
	}
	return d.Pools[i], true
}

// PoolForModel returns the pool that serves a model.
func (d *Document) PoolForModel(model string) (Pool, bool) {
	i := slices.IndexFunc(d.Pools, func(p Pool) bool { return slices.Contains(p.Models, model) })
	if i < 0 {
		return Pool{}, false
	}
	return d.Pools[i], true
}

// Service returns the named service.
func (d *Document) Service(name string) (Service, bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

// Account returns the named account.
func (d *Document) Account(name string) (Account, bool) {
	i := slices.IndexFunc(d.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return Account{}, false
	}
	return d.Accounts[i], true
}

// MayUsePool reports whether the account may use a pool. An account without a list of pools may use all.
func (a Account) MayUsePool(pool string) bool {
	return len(a.Pools) == 0 || slices.Contains(a.Pools, pool)
}

// Authenticate returns the account that owns an API key.
// It compares every digest, each in constant time, so that its duration does not reveal which account or digest nearly matched.
func (d *Document) Authenticate(key string) (Account, bool) {
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	found := -1
	for i, account := range d.Accounts {
		for _, known := range account.KeySHA256 {
			if subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(known))) == 1 {
				found = i
			}
		}
	}
	if found < 0 {
		return Account{}, false
	}
	return d.Accounts[found], true
}

// MatchRoute returns the route with the longest path prefix that matches the path and method.
// pathKnown reports whether any route matches the path, and methodKnown whether one matches both path and method.
func (s Service) MatchRoute(method, path string) (route Route, pathKnown, methodKnown bool) {
	longest := -1
	for _, r := range s.Routes {
		if !pathMatches(r.Path, path) {
			continue
		}
		pathKnown = true
		if !slices.Contains(r.Methods, method) || len(r.Path) <= longest {
			continue
		}
		longest = len(r.Path)
		route = r
		methodKnown = true
	}
	return route, pathKnown, methodKnown
}

func pathMatches(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// IsSafeMethod reports whether HTTP defines the method as safe, that is, read-only.
func IsSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}
