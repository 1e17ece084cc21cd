package hwquery_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/hickorywick/hickorywick/cmd/hickorywickctl/internal/hwquery"
	"github.com/hickorywick/hickorywick/lib/hwrawserver"
)

// Broken answers of a router were printed as reports.
func TestABrokenAnswerIsNoReport(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		valid    bool
	}{
		"valid":                   {response: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}\n", valid: true},
		"status 000":              {response: "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}"},
		"blank in a name":         {response: "HTTP/1.1 200 OK\r\nX Note: 1\r\nContent-Length: 2\r\n\r\n{}"},
		"shorter than its length": {response: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}"},
		"without its last chunk":  {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			router := hwrawserver.Start(t, hwrawserver.RespondAndClose("", c.response))
			var report struct{}
			err := hwquery.OperatorClient{}.Get(t.Context(), router.Address(), "/status", &report)
			assert.Equal(t, c.valid, err == nil, "%v", err)
		})
	}
}
