package hwcheck_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwcheck"
)

// sound returns a configuration without findings.
func sound() hwcheck.Configuration {
	first, second := 1.0, 1.0
	return hwcheck.Configuration{
		Version: 3,
		Routes: []hwcheck.Route{
			{Name: "orders", Scope: "h", Prefix: "/orders/", Targets: []hwcheck.Target{{Pool: "p", Weight: 1}}, TimeLimit: time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 2, Place: hwcheck.Place{Line: 3}},
			{Name: "all", Scope: "h", Prefix: "/", Targets: []hwcheck.Target{{Pool: "p", Weight: 3}, {Pool: "q", Weight: 1}}, TimeLimit: time.Second, Place: hwcheck.Place{Line: 4}},
		},
		Pools:    []hwcheck.Pool{{Name: "p", Fields: []hwcheck.Field{hwcheck.Number("slots", 64)}}, {Name: "q", TimeLimit: time.Minute, QueueLimit: time.Second}},
		Accounts: []hwcheck.Account{{Name: "a", Share: &first, Keys: []hwcheck.Key{{Hash: "k1"}}}, {Name: "b", Share: &second, Keys: []hwcheck.Key{{Hash: "k2"}}}},
		Objectives: []hwcheck.Objective{
			{Account: "a", Pool: "q", Within: time.Second, Target: 0.9},
		},
		Limits: []hwcheck.Field{hwcheck.Number("body-bytes", 1000)},
	}
}

var options = hwcheck.Options{RetryRatio: 0.2}

// Each fault that callers or operators would notice too late must be found, with its severity, and a sound configuration must have none.
func TestFaultsAreFound(t *testing.T) {
	assert.Empty(t, hwcheck.Check(sound(), options))
	for name, c := range map[string]struct {
		change   func(*hwcheck.Configuration)
		severity hwcheck.Severity
		kind     hwcheck.Kind
	}{
		"route after one of the same prefix":  {change: func(c *hwcheck.Configuration) { c.Routes[1].Prefix = "/orders/" }, severity: hwcheck.Warning, kind: hwcheck.RouteShadowed},
		"route without slash":                 {change: func(c *hwcheck.Configuration) { c.Routes[1].Prefix = "x" }, severity: hwcheck.Warning, kind: hwcheck.RouteNeverMatches},
		"host with port":                      {change: func(c *hwcheck.Configuration) { c.Routes[1].Scope = "h:80" }, severity: hwcheck.Warning, kind: hwcheck.RouteNeverMatches},
		"two routes of one name":              {change: func(c *hwcheck.Configuration) { c.Routes[1].Name = "orders" }, severity: hwcheck.Warning, kind: hwcheck.DuplicateName},
		"route to no pool":                    {change: func(c *hwcheck.Configuration) { c.Routes[0].Targets[0].Pool = "gone" }, severity: hwcheck.Error, kind: hwcheck.MissingPool},
		"target of weight 0":                  {change: func(c *hwcheck.Configuration) { c.Routes[1].Targets[1].Weight = 0 }, severity: hwcheck.Warning, kind: hwcheck.TargetWithoutWeight},
		"target of negative weight":           {change: func(c *hwcheck.Configuration) { c.Routes[1].Targets[1].Weight = -1 }, severity: hwcheck.Error, kind: hwcheck.TargetWithoutWeight},
		"no target":                           {change: func(c *hwcheck.Configuration) { c.Routes[0].Targets = nil }, severity: hwcheck.Error, kind: hwcheck.NoTargetWithWeight},
		"no time limit":                       {change: func(c *hwcheck.Configuration) { c.Routes[1].TimeLimit = 0 }, severity: hwcheck.Error, kind: hwcheck.LimitNotPositive},
		"negative objective":                  {change: func(c *hwcheck.Configuration) { c.Routes[1].Objective = -1 }, severity: hwcheck.Error, kind: hwcheck.LimitNotPositive},
		"objective above the time limit":      {change: func(c *hwcheck.Configuration) { c.Routes[0].Objective = time.Minute }, severity: hwcheck.Warning, kind: hwcheck.ObjectiveAboveLimit},
		"gap above the time limit":            {change: func(c *hwcheck.Configuration) { c.Routes[0].EventGap = time.Minute }, severity: hwcheck.Warning, kind: hwcheck.ObjectiveAboveLimit},
		"attempts that the ratio can't cover": {change: func(c *hwcheck.Configuration) { c.Routes[0].MaxAttempts = 5 }, severity: hwcheck.Warning, kind: hwcheck.AttemptsAboveRatio},
		"resumable without a stream":          {change: func(c *hwcheck.Configuration) { c.Routes[0].Resumable = true }, severity: hwcheck.Warning, kind: hwcheck.ResumableNotStreaming},
		"two pools of one name":               {change: func(c *hwcheck.Configuration) { c.Pools = append(c.Pools, hwcheck.Pool{Name: "q"}) }, severity: hwcheck.Error, kind: hwcheck.DuplicateName},
		"pool without a route":                {change: func(c *hwcheck.Configuration) { c.Pools = append(c.Pools, hwcheck.Pool{Name: "r"}) }, severity: hwcheck.Warning, kind: hwcheck.UnusedPool},
		"pool that only drains":               {change: func(c *hwcheck.Configuration) { c.Pools[0].HasNoCapacity = true }, severity: hwcheck.Warning, kind: hwcheck.PoolWithoutCapacity},
		"queue above the time limit":          {change: func(c *hwcheck.Configuration) { c.Pools[1].QueueLimit = time.Hour }, severity: hwcheck.Warning, kind: hwcheck.QueueAboveTimeLimit},
		"account without a key":               {change: func(c *hwcheck.Configuration) { c.Accounts[0].Keys = nil }, severity: hwcheck.Warning, kind: hwcheck.AccountWithoutKey},
		"two accounts of one name":            {change: func(c *hwcheck.Configuration) { c.Accounts[1].Name = "a" }, severity: hwcheck.Warning, kind: hwcheck.DuplicateName},
		"key of two accounts":                 {change: func(c *hwcheck.Configuration) { c.Accounts[1].Keys[0].Hash = "k1" }, severity: hwcheck.Error, kind: hwcheck.DuplicateKey},
		"key twice in an account": {change: func(c *hwcheck.Configuration) {
			c.Accounts[0].Keys = append(c.Accounts[0].Keys, hwcheck.Key{Hash: "k1"})
		}, severity: hwcheck.Warning, kind: hwcheck.DuplicateKey},
		"empty key":                    {change: func(c *hwcheck.Configuration) { c.Accounts[0].Keys[0].Empty = true }, severity: hwcheck.Error, kind: hwcheck.EmptyKey},
		"share of 0":                   {change: func(c *hwcheck.Configuration) { *c.Accounts[0].Share = 0 }, severity: hwcheck.Error, kind: hwcheck.ShareZero},
		"objective at a closed pool":   {change: func(c *hwcheck.Configuration) { c.Accounts[0].Pools = []string{"p"} }, severity: hwcheck.Warning, kind: hwcheck.ObjectiveNeverApplies},
		"objective above answer limit": {change: func(c *hwcheck.Configuration) { c.Objectives[0].Within = time.Hour }, severity: hwcheck.Warning, kind: hwcheck.ObjectiveAboveLimit},
	} {
		t.Run(name, func(t *testing.T) {
			configuration := sound()
			c.change(&configuration)
			findings := hwcheck.Check(configuration, options)
			found := false
			for _, f := range findings {
				found = found || f.Kind == c.kind && f.Severity == c.severity
			}
			assert.True(t, found, "%+v", findings)
		})
	}
}

// Routes of one prefix share it by methods. A later one is only shadowed if the earlier ones take all of its methods.
func TestRoutesMaySharePrefixByMethod(t *testing.T) {
	configuration := sound()
	configuration.Routes = append(configuration.Routes, configuration.Routes[0], configuration.Routes[0])
	for i, methods := range [][]string{{"GET"}, nil, {"POST"}, {"GET", "POST"}} {
		configuration.Routes[i].Methods = methods
		configuration.Routes[i].Name = fmt.Sprint("r", i)
	}
	var shadowed []string
	for _, f := range hwcheck.Check(configuration, options) {
		if f.Kind == hwcheck.RouteShadowed {
			shadowed = append(shadowed, f.Text)
		}
	}
	require.Len(t, shadowed, 1)
	assert.Contains(t, shadowed[0], `"r3"`)
}

// A retry ratio that is not known must not be blamed for anything, and one of 0 allows no second attempt.
func TestAttemptsCoveredByTheRetryRatio(t *testing.T) {
	for _, c := range []struct {
		ratio    float64
		attempts int
		found    bool
	}{
		{ratio: -1, attempts: 100},
		{ratio: 0, attempts: 1},
		{ratio: 0, attempts: 2, found: true},
		{ratio: 0.2, attempts: 4},
		{ratio: 0.2, attempts: 5, found: true},
		{ratio: 1e300, attempts: 100},
	} {
		configuration := sound()
		configuration.Routes[0].MaxAttempts = c.attempts
		assert.Equal(t, c.found, len(hwcheck.Check(configuration, hwcheck.Options{RetryRatio: c.ratio})) > 0, "%+v", c)
	}
}

// Operators decide by the effects whether to put a version in force.
func TestChangesTellTheirEffects(t *testing.T) {
	assert.Empty(t, hwcheck.Compare(sound(), sound()))
	after := sound()
	after.Routes[0].TimeLimit = 500 * time.Millisecond
	after.Routes[1].Public = true
	after.Routes = append(after.Routes, hwcheck.Route{Name: "new", Scope: "h", Prefix: "/new/"}, hwcheck.Route{Name: "late", Scope: "h", Prefix: "/new/"})
	*after.Accounts[1].Share = 3
	after.Accounts[0].Keys = []hwcheck.Key{{Hash: "k3"}}
	after.Accounts[1].Keys = nil
	after.Pools[0].Fields = []hwcheck.Field{hwcheck.Number("slots", 32)}
	after.Objectives = nil
	after.Limits = []hwcheck.Field{hwcheck.Number("body-bytes", 4194304)}
	report := hwcheck.Report{File: "f", Compared: true, Changes: hwcheck.Compare(sound(), after)}
	var text strings.Builder
	require.NoError(t, report.WriteText(&text))
	assert.Equal(t, `route orders changed: time-limit from 1s to 500ms; longer requests are cut off with 504
route all changed: public from false to true; callers without a key are served
route new added; requests for h/new/ were served by route all
route late added; requests for h/new/ are served by route new
account b changed: share from 1 to 3; its part of a full pool goes from 50.0 % to 75.0 %
key k3 added; callers with it are served as account a
key k1 removed; callers with it, so far of account a, get 401
key k2 removed; callers with it, so far of account b, get 401
pool p changed: slots from 64 to 32; fewer requests run at the same time; others wait or are refused
objective a at q removed
limit callers changed: body-bytes from 1000 to 4194304; requests with larger bodies are served
f: errors: 0, warnings: 0, changes: 11
`, text.String())
	removed := hwcheck.Compare(sound(), hwcheck.Configuration{Routes: sound().Routes[1:]})
	text.Reset()
	require.NoError(t, hwcheck.Report{File: "f", Changes: removed}.WriteText(&text))
	assert.Contains(t, text.String(), "route orders removed; requests for h/orders/ are served by route all\n")
	assert.Contains(t, text.String(), "pool p removed; requests of its routes (all) are refused with 503\n")
	moved := sound()
	moved.Accounts[1].Keys = []hwcheck.Key{{Hash: "k1"}, {Hash: "k2"}}
	moved.Accounts[0].Keys = nil
	assert.Equal(t, []hwcheck.Change{{Subject: hwcheck.KeySubject, Name: "k1", Action: hwcheck.Changed, Field: "account", Before: "a", After: "b", Effect: "what its callers use counts for account b"}}, hwcheck.Compare(sound(), moved))
}

// Guards against a comparison that announces 401 for keys that nobody needs any more, or says nothing when routes open or close for all.
func TestChangesTellWhetherKeysAreRequired(t *testing.T) {
	open := sound()
	open.Accounts = nil
	closed := open
	closed.RequiresKeys = true
	var text strings.Builder
	require.NoError(t, hwcheck.Report{File: "f", Changes: hwcheck.Compare(sound(), open)}.WriteText(&text))
	assert.Contains(t, text.String(), "key all changed: required from true to false; callers without a key are served on all routes\n")
	assert.Contains(t, text.String(), "key k1 removed; callers with it, so far of account a, are served without an account\n")
	text.Reset()
	require.NoError(t, hwcheck.Report{File: "f", Changes: hwcheck.Compare(sound(), closed)}.WriteText(&text))
	assert.NotContains(t, text.String(), "required")
	assert.Contains(t, text.String(), "key k1 removed; callers with it, so far of account a, get 401\n")
	text.Reset()
	require.NoError(t, hwcheck.Report{File: "f", Changes: hwcheck.Compare(open, closed)}.WriteText(&text))
	assert.Contains(t, text.String(), "key all changed: required from false to true; callers without a key get 401, except on public routes\n")
}

// decode decodes the format of these tests: the name of a configuration.
func decode(body []byte) (hwcheck.Configuration, []hwcheck.Finding, bool) {
	configuration := sound()
	switch text := string(body); text {
	case "broken":
		return hwcheck.Configuration{}, []hwcheck.Finding{{Severity: hwcheck.Error, Kind: hwcheck.Syntax}}, false
	case "error", "warning":
		return configuration, []hwcheck.Finding{{Severity: hwcheck.Severity(text), Kind: hwcheck.InvalidValue, Place: hwcheck.Place{Line: 2, Column: 5, Field: "x"}, Text: "bad\x1b[31m"}}, true
	case "later":
		configuration.Version = 4
		configuration.Routes = configuration.Routes[:1]
	case "same-version":
		configuration.Routes = configuration.Routes[:1]
	case "other-environment":
		configuration.Environment = "trial"
	}
	return configuration, nil, true
}

// Scripts act on the exit status: 2 for errors, 1 for warnings if strict.
func TestExitStatuses(t *testing.T) {
	input := func(body string) *hwcheck.Input { return &hwcheck.Input{Name: body, Body: []byte(body)} }
	for name, c := range map[string]struct {
		file            *hwcheck.Input
		against         *hwcheck.Input
		relaxed, strict int
	}{
		"sound":                      {file: input("sound")},
		"warning":                    {file: input("warning"), strict: 1},
		"error":                      {file: input("error"), relaxed: 2, strict: 2},
		"broken":                     {file: input("broken"), against: input("sound"), relaxed: 2, strict: 2},
		"unreadable":                 {file: &hwcheck.Input{Err: os.ErrNotExist}, relaxed: 2, strict: 2},
		"changes":                    {file: input("later"), against: input("sound")},
		"no other version yet":       {file: input("later"), against: &hwcheck.Input{Absent: true}},
		"version not raised":         {file: input("same-version"), against: input("sound"), strict: 1},
		"environments differ":        {file: input("sound"), against: input("other-environment"), strict: 1},
		"other version broken":       {file: input("sound"), against: input("broken"), relaxed: 2, strict: 2},
		"other version not readable": {file: input("sound"), against: &hwcheck.Input{Err: os.ErrNotExist}, relaxed: 2, strict: 2},
	} {
		report := hwcheck.NewReport(decode, *c.file, c.against)
		assert.Equal(t, c.relaxed, report.ExitStatus(false), name)
		assert.Equal(t, c.strict, report.ExitStatus(true), name)
		var status *hwcheck.StatusError
		err := report.Print(&bytes.Buffer{}, true, true)
		if c.strict == 0 {
			assert.NoError(t, err, name)
		} else if assert.ErrorAs(t, err, &status, name) {
			assert.Equal(t, c.strict, status.Status, name)
		}
	}
}

// Programs read the JSON, people the text, in which a configuration must not control their terminal.
func TestReportIsWrittenAsTextAndJSON(t *testing.T) {
	report := hwcheck.NewReport(decode, hwcheck.Input{Name: "f.json", Body: []byte("warning")}, nil)
	var out bytes.Buffer
	require.NoError(t, report.WriteText(&out))
	assert.Equal(t, "f.json:2:5: x: warning: bad\ufffd[31m (invalid-value)\nf.json: errors: 0, warnings: 1\n", out.String())
	out.Reset()
	require.NoError(t, report.WriteJSON(&out))
	var decoded map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &decoded))
	assert.Equal(t, []any{map[string]any{
		"severity": "warning", "kind": "invalid-value", "text": "bad\x1b[31m",
		"place": map[string]any{"file": "f.json", "line": 2.0, "column": 5.0, "field": "x"},
	}}, decoded["findings"])
	assert.Equal(t, []any{}, decoded["changes"])
}

func TestPlacesOfJSON(t *testing.T) {
	text := []byte("{\n  \"a\": [1, {\"b\": true}],\n  \"a\" : null\n}")
	places, findings := hwcheck.JSONPlaces(text)
	assert.Equal(t, hwcheck.Place{Line: 2, Column: 18, Field: "a[1].b"}, places.Find("a[1].b"))
	assert.Equal(t, hwcheck.Place{Line: 2, Column: 12, Field: "a[1].c"}, places.Find("a[1].c"), "an absent field has the place of its parent")
	assert.Equal(t, hwcheck.Place{Line: 3, Column: 9, Field: "a"}, places.Find("a"))
	assert.Equal(t, hwcheck.Place{Line: 1, Column: 1, Field: "z"}, places.Find("z"))
	require.Len(t, findings, 1)
	assert.Equal(t, hwcheck.RepeatedField, findings[0].Kind)
	assert.Equal(t, hwcheck.Place{Line: 3, Column: 3, Field: "a"}, findings[0].Place)
	for _, broken := range []string{"", "{", "{\"a\":}", "[1] 2", strings.Repeat("[", 20_000)} {
		places, findings = hwcheck.JSONPlaces([]byte(broken))
		assert.Nil(t, places)
		require.Len(t, findings, 1)
		assert.Equal(t, hwcheck.Syntax, findings[0].Kind)
	}
	deep := strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	places, findings = hwcheck.JSONPlaces([]byte(deep))
	assert.Empty(t, findings)
	assert.Less(t, len(places), 50, "the paths of a text that is nothing but brackets are not kept")
}

// Programs tell findings apart by their kind.
func TestKindsAreInKebabCase(t *testing.T) {
	source, err := os.ReadFile("finding.go")
	require.NoError(t, err)
	kinds := regexp.MustCompile(`Kind = "([^"]*)"`).FindAllStringSubmatch(string(source), -1)
	assert.Greater(t, len(kinds), 20)
	seen := map[string]bool{}
	for _, kind := range kinds {
		assert.Regexp(t, `^[a-z]+(-[a-z]+)*$`, kind[1])
		assert.False(t, seen[kind[1]], kind[1])
		seen[kind[1]] = true
	}
}

func ExampleCheck() {
	findings := hwcheck.Check(hwcheck.Configuration{
		Accounts: []hwcheck.Account{
			{
				Name: "harbour",
			},
		},
	}, hwcheck.Options{
		RetryRatio: 0.2,
	})
	fmt.Println(findings[0].Severity, findings[0].Kind)
	// Output: warning account-without-key
}
