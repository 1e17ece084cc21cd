// Package hwmeasure measures the routers' decisions on real sockets: real routers, stand-in engines, one case and one policy a run.
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

// Size is one of today's installations.
type Size struct {
	Name        string
	Routers     int
	Zones       int
	Engines     int
	Services    int
	EngineSlots int
	// UpstreamDelay is the delay one way between routers and upstreams, Callers between callers and routers.
	UpstreamDelay time.Duration
	CallerDelay   time.Duration
	Shares        []float64
}

// Sizes are today's installations.
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

// Slots returns the slots of the model pool.
func (s Size) Slots() int { return s.Engines * s.EngineSlots }

// The speed of the stand-in engines: a token takes twice its lone time at a full batch.
const (
	tokenTime  = 10 * time.Millisecond
	firstToken = 20 * time.Millisecond
)

// TokensPerSecond is the pool's rate with every slot in use.
func (s Size) TokensPerSecond() float64 {
	return float64(s.Slots()) / (2 * tokenTime.Seconds())
}

// The answer lengths of all cases: rough hints, and 3 % stragglers 30 times as long.
var (
	mixedSizes = hwload.ResponseLengths{
		Median:            30,
		LogStdDev:         0.5,
		StragglerFraction: 0.03,
		StragglerFactor:   30,
	}
	shortSizes = hwload.ResponseLengths{
		Median:    20,
		LogStdDev: 0.4,
	}
	longSizes = hwload.ResponseLengths{
		Median:    600,
		LogStdDev: 0.3,
	}
)

// largestCost is the largest cost of a request that the documents allow, in cost units.
const largestCost = 4000

// AccountName returns the name of the i-th account.
func AccountName(i int) string { return fmt.Sprintf("account-%02d", i+1) }

// RouterName returns the name of the i-th router.
func RouterName(i int) string { return fmt.Sprintf("router-%d", i+1) }

// SharesByAccount returns the shares by account.
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

// Policy is a way of coordinating routers.
type Policy struct {
	Name         string
	Coordination hwrouter.Coordination
	// Central sends everything to one router, which is the ideal of one queue for all.
	Central bool
	Lanes   hwdispatch.LaneRule
}

// Policies are what is compared.
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

func (s Size) world(policy Policy, c Case) hwworld.Settings {
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
			InterTokenLatency: tokenTime,
			TimeToFirstToken:  firstToken,
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
