package hwforward_test

import (
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
)

// metric finds the names of metrics, without their labels.
var metric = regexp.MustCompile(`hickorywick_[a-z_]+`)

// The operators' page names every metric that is served and no other.
func TestTheOperatorsPageNamesAllMetrics(t *testing.T) {
	w := newWorld(t, good)
	require.Equal(t, http.StatusOK, w.call(http.MethodGet, "/safe/1", "").status)
	w.router.Hear(w.clock.now(), "peer", newsOf(map[string]hwadmit.Use{"account": {Asked: 1, Given: 1}}, nil))
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
