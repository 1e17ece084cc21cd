// Package hwmeasure measures scheduling and failure handling of routers over real sockets, with simulated engines; each run covers one case under one policy.
package hwmeasure

import (
	"fmt"
	"time"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeengine"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwload"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
	"github.com/hickorywick/hickorywick/lib/hwdispatch"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
)

// Size describes the dimensions and network delays of a deployment.
type Size struct {
	Name        string
	Routers     int
	Zones       int
	Engines     int
	Services    int
	EngineSlots int
	// UpstreamDelay is the one-way network delay between routers and upstreams, CallerDelay that between callers and routers.
	UpstreamDelay time.Duration
	CallerDelay   time.Duration
	Shares        []float64
}

// Sizes returns the sizes of the existing deployments.
func Sizes() []Size {
	shares := []float64{8, 8, 4, 4, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	return []Size{
		{
			Name:          "tapkring",
			Routers:       4,
			Zones:         3,
			Engines:       9,
			EngineSlots:   16,
			UpstreamDelay: 500 * time.Microsecond,
			CallerDelay:   time.Millisecond,
			Shares:        shares,
		},
		{
			Name:          "derwent",
			Routers:       5,
			Zones:         4,
			Engines:       18,
			Services:      4,
			EngineSlots:   8,
			UpstreamDelay: time.Millisecond,
			CallerDelay:   3 * time.Millisecond,
			Shares:        shares,
		},
	}
}

// Slots returns the total number of slots in the model pool.
func (s Size) Slots() int { return s.Engines * s.EngineSlots }

// Latencies of the simulated engines with a single request; with a full batch, a token takes twice as long.
const (
	interTokenLatency = 10 * time.Millisecond
	timeToFirstToken  = 20 * time.Millisecond
)

// TokensPerSecond returns the token throughput of the pool with all slots in use.
func (s Size) TokensPerSecond() float64 {
	return float64(s.Slots()) / (2 * interTokenLatency.Seconds())
}

// Response lengths of all cases. max_tokens is only a rough hint of the length, and 3 % of the mixed requests are stragglers that are 30 times as long.
var (
	mixedLengths = hwload.ResponseLengths{
		Median:            30,
		LogStdDev:         0.5,
		StragglerFraction: 0.03,
		StragglerFactor:   30,
	}
	shortLengths = hwload.ResponseLengths{
		Median:    20,
		LogStdDev: 0.4,
	}
	longLengths = hwload.ResponseLengths{
		Median:    600,
		LogStdDev: 0.3,
	}
)

// largestCost is the largest request cost that the configuration documents allow, in cost units.
const largestCost = 4000

// AccountName returns the name of the i-th account.
func AccountName(i int) string { return fmt.Sprintf("account-%02d", i+1) }

// RouterName returns the name of the i-th router.
func RouterName(i int) string { return fmt.Sprintf("router-%d", i+1) }

// SharesByAccount returns the share of each account by account name.
func (s Size) SharesByAccount() map[string]float64 {
	shares := map[string]float64{}
	for i, share := range s.Shares {
		shares[AccountName(i)] = share
	}
	return shares
}

// TotalShares returns the sum of all shares.
func (s Size) TotalShares() float64 {
	total := 0.0
	for _, share := range s.Shares {
		total += share
	}
	return total
}

// Policy is a combination of router coordination and lane rule to compare.
type Policy struct {
	Name         string
	Coordination hwrouter.Coordination
	// Central sends all requests to one router. Its single queue is the ideal against which the other policies are compared.
	Central bool
	Lanes   hwdispatch.LaneRule
}

// Policies returns the policies to compare.
func Policies() []Policy {
	policies := []Policy{
		{
			Name:         "central",
			Coordination: hwrouter.CoordinationLeased,
			Central:      true,
		},
		{
			Name:         "leased",
			Coordination: hwrouter.CoordinationLeased,
		},
		{
			Name:         "static",
			Coordination: hwrouter.CoordinationStatic,
		},
		{
			Name:         "local",
			Coordination: hwrouter.CoordinationLocal,
		},
	}
	for i := range policies {
		policies[i].Lanes = hwdispatch.SplitLanes
	}
	return policies
}

func (s Size) worldSettings(policy Policy, c Case) hwworld.Settings {
	routers := s.Routers
	if policy.Central {
		routers = 1
	}
	settings := hwworld.Settings{
		Routers:     routers,
		Zones:       s.Zones,
		Engines:     s.Engines,
		EngineSlots: s.EngineSlots,
		Engine: hwfakeengine.Settings{
			InterTokenLatency: interTokenLatency,
			TimeToFirstToken:  timeToFirstToken,
			NetworkDelay:      s.UpstreamDelay,
			LoadReportLag:     5 * time.Second,
		},
		Services:            s.Services,
		ServiceSlots:        s.EngineSlots,
		ServiceNetworkDelay: s.UpstreamDelay,
		Coordination:        policy.Coordination,
		Gain:                hwrouter.DefaultGain,
		Lanes:               policy.Lanes,
		RouterTiming:        hwrouter.DefaultTiming(),
		InstanceListDelay:   2 * time.Second,
		StoreDelay:          3 * time.Millisecond,
		QueueTimeout:        c.QueueTimeout,
		EditDocument: func(document *hwdocument.Document) {
			document.Pools[0].LargestCost = largestCost
		},
	}
	for i, share := range s.Shares {
		settings.Accounts = append(settings.Accounts, hwdocument.Account{
			Name:       AccountName(i),
			Share:      share,
			KeySHA256:  []string{hwworld.AccountKeyDigest(AccountName(i))},
			QueueBound: 4096,
		})
	}
	return settings
}
