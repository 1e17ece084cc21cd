package hwscenarios

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwscript"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwworld"
)

func newScenario(t *testing.T, words ...string) *hwscript.Scenario {
	scenario, err := hwscript.NewScenario(hwscript.Parse(words))
	require.NoError(t, err)
	t.Cleanup(scenario.Close)
	return scenario
}

// TestOpenAIClientCompatibility uses the model API through the official OpenAI client, as client applications do.
func TestOpenAIClientCompatibility(t *testing.T) {
	scenario := newScenario(t, "routers=1", "engines=2", "services=0")
	client := openai.NewClient(
		option.WithBaseURL("http://"+scenario.World.AllRouters()[0].ClientAddress+"/v1"),
		option.WithAPIKey(hwworld.AccountKey("account-1")),
	)
	ctx := context.Background()
	params := openai.ChatCompletionNewParams{
		Model:    hwworld.Model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("which ale is on?")},
	}
	completion, err := client.Chat.Completions.New(ctx, params)
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(completion.Choices[0].Message.Content, "t0 t1 "))

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	chunks := 0
	for stream.Next() {
		chunks++
	}
	require.NoError(t, stream.Err())
	assert.Equal(t, 16, chunks)

	models, err := client.Models.List(ctx)
	require.NoError(t, err)
	assert.Equal(t, hwworld.Model, models.Data[0].ID)

	params.Model = "unknown"
	_, err = client.Chat.Completions.New(ctx, params)
	var apiError *openai.Error
	require.ErrorAs(t, err, &apiError)
	assert.Equal(t, 404, apiError.StatusCode)
	assert.Equal(t, "unknown-model", apiError.Type)
}

func TestInvalidRequestsAreRejectedAsNotRun(t *testing.T) {
	scenario := newScenario(t, "routers=1", "engines=1", "services=1")
	router := scenario.World.AllRouters()[0]
	cases := []struct {
		name, method, path, key, body string
		status                        int
		kind                          string
	}{
		{
			name:   "no key",
			method: "POST",
			path:   "/v1/chat/completions",
			key:    "",
			body:   "{}",
			status: 401,
			kind:   "unknown-key",
		},
		{
			name:   "unknown key",
			method: "POST",
			path:   "/v1/chat/completions",
			key:    "nobody",
			body:   "{}",
			status: 401,
			kind:   "unknown-key",
		},
		{
			name:   "not JSON",
			method: "POST",
			path:   "/v1/chat/completions",
			key:    hwworld.AccountKey("account-1"),
			body:   "hello",
			status: 400,
			kind:   "malformed-request",
		},
		{
			name:   "no prompt",
			method: "POST",
			path:   "/v1/chat/completions",
			key:    hwworld.AccountKey("account-1"),
			body:   `{"model":"standin-model"}`,
			status: 400,
			kind:   "malformed-request",
		},
		{
			name:   "messages instead of a prompt",
			method: "POST",
			path:   "/v1/completions",
			key:    hwworld.AccountKey("account-1"),
			body:   `{"model":"standin-model","messages":[]}`,
			status: 400,
			kind:   "malformed-request",
		},
		{
			name:   "unknown model",
			method: "POST",
			path:   "/v1/completions",
			key:    hwworld.AccountKey("account-1"),
			body:   `{"model":"x","prompt":"y"}`,
			status: 404,
			kind:   "unknown-model",
		},
		{
			name:   "wrong method",
			method: "GET",
			path:   "/v1/completions",
			key:    hwworld.AccountKey("account-1"),
			body:   "",
			status: 405,
			kind:   "method-not-allowed",
		},
		{
			name:   "unknown path",
			method: "POST",
			path:   "/v2/completions",
			key:    hwworld.AccountKey("account-1"),
			body:   "{}",
			status: 404,
			kind:   "unknown-route",
		},
		{
			name:   "unknown service",
			method: "POST",
			path:   "/services/none/orders",
			key:    hwworld.AccountKey("account-1"),
			body:   "",
			status: 404,
			kind:   "unknown-route",
		},
		{
			name:   "unknown route",
			method: "POST",
			path:   "/services/desk/none",
			key:    hwworld.AccountKey("account-1"),
			body:   "",
			status: 404,
			kind:   "unknown-route",
		},
		{
			name:   "method not allowed by the route",
			method: "DELETE",
			path:   "/services/desk/orders",
			key:    hwworld.AccountKey("account-1"),
			body:   "",
			status: 405,
			kind:   "method-not-allowed",
		},
		{
			name:   "body too large",
			method: "POST",
			path:   "/v1/completions",
			key:    hwworld.AccountKey("account-1"),
			body:   strings.Repeat("x", 9<<20),
			status: 413,
			kind:   "body-too-large",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request, err := http.NewRequest(c.method, "http://"+router.ClientAddress+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+c.key)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			assert.Equal(t, c.status, response.StatusCode)
			assert.Contains(t, string(body), `"type":"`+c.kind+`"`)
			assert.Contains(t, string(body), `"execution":"not-run"`)
		})
	}
	assert.Zero(t, scenario.World.Engines[0].StartedRequests(), "no rejected request reached the engine")
}

func TestOperatorsListenerRequiresOperatorKey(t *testing.T) {
	scenario := newScenario(t, "routers=1", "engines=1", "services=0")
	for key, want := range map[string]int{
		"":                              401,
		"wrong":                         401,
		hwworld.AccountKey("account-1"): 401,
		hwworld.OperatorKey:             200,
	} {
		for _, path := range []string{"/status", "/debug/vars"} {
			request, err := http.NewRequest(http.MethodGet, "http://"+scenario.World.AllRouters()[0].OperatorAddress+path, nil)
			require.NoError(t, err)
			request.Header.Set("Authorization", "Bearer "+key)
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			assert.Equal(t, want, response.StatusCode, path+" with "+key)
		}
	}
}

func TestKeysAreNeverLogged(t *testing.T) {
	scenario := newScenario(t, "routers=2", "engines=1", "services=1")
	for i, words := range []string{
		"POST /services/desk/orders key=secret-order body=b",
		"POST /services/desk/orders body=b",
		"POST /v1/chat/completions body=b",
		"POST /nowhere body=b",
	} {
		name := string(rune('a' + i))
		require.NoError(t, scenario.StartRequest(hwscript.Parse(append([]string{name, "router-1"}, strings.Fields(words)...))))
		_, err := scenario.AwaitReply(name)
		require.NoError(t, err)
	}
	require.NotEmpty(t, scenario.Log())
	for _, secret := range []string{hwworld.AccountKey("account-1"), hwworld.OperatorKey, "peer-key", "secret-order"} {
		assert.NotContains(t, scenario.Log(), secret)
	}
}

// TestClientDisconnectReleasesSlot cancels a stream and waits until the engine is idle: a disconnected client must not keep an engine slot occupied.
func TestClientDisconnectReleasesSlot(t *testing.T) {
	scenario := newScenario(t, "routers=1", "engines=1", "services=0")
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+scenario.World.AllRouters()[0].ClientAddress+"/v1/chat/completions",
		strings.NewReader(`{"model":"standin-model","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+hwworld.AccountKey("account-1"))
	request.Header.Set("X-Standin-Tokens", "100000")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	cancel()
	require.NoError(t, hwscript.WaitUntil("engine to become idle", func() bool {
		running, _ := scenario.World.Engines[0].InFlight()
		return running == 0
	}))
	_ = response.Body.Close()
}
