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

// The three walks of docs/OPERATIONS.md, on recorded logs: each leads from a request's id to its cause.
func TestStoryLeadsFromAnIDToItsCause(t *testing.T) {
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
		assert.NotContains(t, out.String(), "front-2", "another process's beliefs explain nothing")
		page, err := os.ReadFile("../../../../docs/OPERATIONS.md")
		require.NoError(t, err)
		for line := range strings.Lines(out.String()) {
			assert.Contains(t, string(page), strings.TrimRight(line, "\n"), "the page shows what the command prints")
		}
	}
	var unknown *hwquery.RequestNotInLogsError
	require.ErrorAs(t, hwquery.Timeline(&bytes.Buffer{}, "nobody", files), &unknown)
	require.Error(t, hwquery.Timeline(&bytes.Buffer{}, "crest", []string{"testdata/none.log"}))
}
