package hwtable_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hickorywick/hickorywick/lib/hwtable"
)

func Example() {
	table := hwtable.New(hwtable.Config{
		Version: 7,
		Routes: []hwtable.Route{
			{
				Name:    "orders",
				Host:    "yard.example",
				Prefix:  "/orders/",
				Timeout: time.Second,
				Targets: []hwtable.Target{
					{
						Pool:   "ledger",
						Weight: 1,
					},
				},
			},
		},
		Accounts: []hwtable.Account{
			{
				Name:    "harbour",
				APIKeys: []string{"secret"},
			},
		},
	})
	route, _ := table.Match("yard.example:8080", "/orders/12")
	account, _ := table.Authenticate("secret")
	fmt.Println(route.Name, route.PickPool(0.5), account.Name, table.RequiresKey(route))
	// Output: orders ledger harbour true
}

func TestLongestPrefixWins(t *testing.T) {
	table := hwtable.New(hwtable.Config{
		Routes: []hwtable.Route{
			{Name: "all", Host: "a.example", Prefix: "/"},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
			{Name: "x", Host: "a.example", Prefix: "/x/"},
			{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
		},
	})
	for path, want := range map[string]string{
		"/":        "all",
		"/x":       "all",
		"/x/":      "x",
		"/x/yy":    "x",
		"/x/y/z/1": "deep",
	} {
		route, found := table.Match("a.example", path)
		assert.True(t, found, path)
		assert.Equal(t, want, route.Name, path)
	}
	_, found := table.Match("c.example", "/")
	assert.False(t, found)
}

func TestPublicRoutesAndTablesWithoutAccountsRequireNoKey(t *testing.T) {
	accounts := []hwtable.Account{{Name: "a", APIKeys: []string{"k"}}}
	assert.False(t, hwtable.New(hwtable.Config{Accounts: accounts}).RequiresKey(hwtable.Route{Public: true}))
	assert.True(t, hwtable.New(hwtable.Config{Accounts: accounts}).RequiresKey(hwtable.Route{}))
	assert.False(t, hwtable.New(hwtable.Config{}).RequiresKey(hwtable.Route{}))
}

// Guards against a table without accounts that serves everybody although it requires keys.
func TestTableThatRequiresKeysNeedsNoAccountForIt(t *testing.T) {
	table := hwtable.New(hwtable.Config{RequiresKeys: true})
	assert.True(t, table.RequiresKey(hwtable.Route{}))
	assert.False(t, table.RequiresKey(hwtable.Route{Public: true}))
}

// Guards against requests without a key that count as those of an account with an empty one.
func TestAnEmptyKeyBelongsToNoAccount(t *testing.T) {
	table := hwtable.New(hwtable.Config{Accounts: []hwtable.Account{{Name: "a", APIKeys: []string{"", "k"}}}})
	_, known := table.Authenticate("")
	assert.False(t, known)
	_, known = table.Authenticate("k")
	assert.True(t, known)
}

// Requests are distributed over a route's pools in proportion to the weights, and a pool with weight 0 gets none.
func TestPickPoolFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.Float64Range(0, 100).Draw(t, "first")
		second := rapid.Float64Range(0.1, 100).Draw(t, "second")
		route := hwtable.Route{
			Targets: []hwtable.Target{
				{Pool: "first", Weight: first},
				{Pool: "second", Weight: second},
			},
		}
		const picks = 1000
		count := 0
		for i := range picks {
			if route.PickPool(float64(i)/picks) == "first" {
				count++
			}
		}
		// The random numbers are evenly spaced, so the count is off by one at most.
		if want := picks * first / (first + second); float64(count) < want-1 || float64(count) > want+1 {
			t.Fatalf("picked the first pool %d times of %d, want %.1f", count, picks, want)
		}
	})
}
