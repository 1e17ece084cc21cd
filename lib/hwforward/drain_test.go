package hwforward_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// slowBody is a request body that ends only when the test says so.
type slowBody struct {
	io.Reader
	end <-chan struct{}
}

func (b *slowBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		<-b.end
	}
	return n, err
}

// A request whose head came before the end of the drain time, and its body after it, was sent on and cut when the process exited.
func TestABodyThatEndsAfterTheDrainTimeIsRefused(t *testing.T) {
	f := newFixture(t, respondOK)
	end := make(chan struct{})
	request, err := http.NewRequest(http.MethodPost, f.front.URL+"/order/1", &slowBody{
		Reader: strings.NewReader("x"),
		end:    end,
	})
	require.NoError(t, err)
	request.Host = host
	request.Header.Set("X-Id", "1")
	request.Header.Set("X-Key", "key")
	answered := make(chan *http.Response, 1)
	go func() {
		response, err := http.DefaultTransport.RoundTrip(request)
		assert.NoError(t, err)
		answered <- response
	}()
	require.Eventually(t, func() bool { return f.router.InFlight() == 1 }, 2*time.Second, time.Millisecond)
	f.router.StartDraining(f.clock.now())
	f.clock.monotonic.Add(int64(1100 * time.Millisecond))
	close(end)
	response := <-answered
	require.NotNil(t, response)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NoError(t, response.Body.Close())
	assert.Zero(t, f.totalRequests())
}

// An upstream refused the request late in the drain time, and the next one got it when the process was about to exit.
func TestARefusedRequestIsNotSentAgainAfterTheDrainTime(t *testing.T) {
	var f *fixture
	refuseLate := func(w http.ResponseWriter, r *http.Request) {
		f.clock.monotonic.Add(int64(1100 * time.Millisecond))
		respondStatus(http.StatusServiceUnavailable, "X-Not-Run", "1")(w, r)
	}
	f = newFixture(t, refuseLate, refuseLate)
	f.router.StartDraining(f.clock.now())
	got := f.call(http.MethodPost, "/order/1", "x")
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Contains(t, got.body, "shutting-down")
	assert.Equal(t, 1, f.totalRequests())
}
