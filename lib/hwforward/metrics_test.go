package hwforward_test

import (
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwtable"
)

// metric finds the names of metrics, without their labels.
var metric = regexp.MustCompile(`hickorywick_[a-z_]+`)

// The operators' page names every metric that is served and no other.
func TestTheOperatorsPageNamesAllMetrics(t *testing.T) {
	w := newWorld(t, good)
	require.Equal(t, http.StatusOK, w.call(http.MethodGet, "/safe/1", "").status)
	w.router.ApplyPeerUpdate(w.clock.now(), "peer", newsOf(map[string]hwadmit.Usage{"account": {Demand: 1, Admitted: 1}}, nil))
	var served strings.Builder
	w.router.WriteMetrics(&served, w.clock.now())
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	names := func(text string) []string {
		found := metric.FindAllString(text, -1)
		slices.Sort(found)
		return slices.Compact(found)
	}
	assert.Equal(t, names(served.String()), names(string(page)))
}

// The estimate of a wait is compared with what followed, in the group of the estimate.
func TestEstimatesOfWaitsAreComparedWithWhatFollowed(t *testing.T) {
	w := newWorld(t, func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(250 * time.Millisecond)
		good(rw, r)
	})
	w.router.SetTable(w.clock.now(), hwtable.New(hwtable.Config{
		Version:  2,
		Routes:   routes(),
		Pools:    []hwtable.Pool{{Name: "ledger", Engine: &hwtable.Engine{Slots: 6, CacheTokens: 500_000}}},
		Accounts: []hwtable.Account{{Name: "harbour", APIKeys: []string{"key"}}},
	}))
	w.confirm()
	require.Equal(t, http.StatusOK, w.call(http.MethodGet, "/safe/1", "").status)
	var text strings.Builder
	w.router.WriteMetrics(&text, w.clock.now())
	assert.Contains(t, text.String(), `hickorywick_wait_estimates_total{from_milliseconds="0"} 1`)
	assert.Contains(t, text.String(), `hickorywick_wait_estimated_milliseconds_sum{from_milliseconds="0"} 0`)
	assert.Regexp(t, `hickorywick_wait_seen_milliseconds_sum\{from_milliseconds="0"\} 1[0-9]{2}\n`, text.String(), "250 ms less what no work ahead explains")
}
