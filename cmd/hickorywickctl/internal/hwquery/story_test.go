package hwquery_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/cmd/hickorywickctl/internal/hwquery"
)

// TestTimelineShowsCauseOfFailedRequest runs the three examples of docs/OPERATIONS.md on recorded logs. It guards against a timeline that lacks the cause of a failure, or that differs from the page.
func TestTimelineShowsCauseOfFailedRequest(t *testing.T) {
	files, err := filepath.Glob("testdata/logs/*.log")
	require.NoError(t, err)
	for request, want := range map[string][]string{
		"crest": {"store-unreachable", "request-refused", "wait-ms=412", "share-used=1.8", "retry-after-ms=330"},
		"cut":   {"upstream-failed", "broken=true", "request-failed", "execution=unknown", "upstream-gone"},
		"stale": {"keys can't be confirmed", "table-age-ms=4900"},
	} {
		var out bytes.Buffer
		require.NoError(t, hwquery.Timeline(&out, request, files), request)
		for _, text := range want {
			assert.Contains(t, out.String(), text, request)
		}
		assert.NotContains(t, out.String(), "front-2", "state changes of another process are left out")
		page, err := os.ReadFile("../../../../docs/OPERATIONS.md")
		require.NoError(t, err)
		for line := range strings.Lines(out.String()) {
			assert.Contains(t, string(page), strings.TrimRight(line, "\n"), "line of the command's output is on the page")
		}
	}
	var unknown *hwquery.RequestNotInLogsError
	require.ErrorAs(t, hwquery.Timeline(&bytes.Buffer{}, "nobody", files), &unknown)
	require.Error(t, hwquery.Timeline(&bytes.Buffer{}, "crest", []string{"testdata/none.log"}))
}
