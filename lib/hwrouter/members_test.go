package hwrouter

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// One odd group in the list of instances made routers keep the last list for good.
func TestOneOddGroupDoesNotStopTheInstanceList(t *testing.T) {
	sound := `{"targets":["10.0.0.1:7000"],"labels":{"instance":"front-1"}}`
	for name, odd := range map[string]string{
		"deeply nested":     `{"targets":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
		"number as target":  `{"targets":[1e999]}`,
		"text as targets":   `{"targets":"10.0.0.2:7000"}`,
		"port out of range": `{"targets":["10.0.0.2:70000"]}`,
		"port zero":         `{"targets":["10.0.0.2:0"]}`,
		"no port":           `{"targets":["10.0.0.2"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "["+odd+","+sound+"]")
			}))
			defer server.Close()
			list, err := fetchInstanceList(context.Background(), server.Client(), server.URL)
			require.NoError(t, err)
			require.Len(t, list, 1)
			assert.Equal(t, "front-1", list[0].Instance)
		})
	}
}
