package hwdocument_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwcheck"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
)

// Documents that Decode refuses or that contradict themselves must be reported with their lines.
func TestDocumentFaultsAreReportedWithTheirLines(t *testing.T) {
	_, findings, decoded := hwdocument.CheckBody(exampleDocument(t))
	require.True(t, decoded)
	require.Empty(t, findings)
	for name, c := range map[string]struct {
		old, put string
		severity hwcheck.Severity
		kind     hwcheck.Kind
		line     int
	}{
		"not YAML":                     {old: "accounts:", put: "accounts: [", severity: hwcheck.Error, kind: hwcheck.Syntax, line: 3},
		"unknown field":                {old: "share: 2", put: "shares: 2", severity: hwcheck.Error, kind: hwcheck.Syntax, line: 5},
		"share of 0":                   {old: "share: 2", put: "share: 0", severity: hwcheck.Error, kind: hwcheck.ShareZero, line: 5},
		"key of two accounts":          {old: "a3dd31a59c493fcbb87c1b7acfa1770740de6a712e11337648f42d64420ff4bc", put: "0f98aed3a908732c8166e417032b818eb80283adafcb50bab8bdfc8c4cb6238b", severity: hwcheck.Error, kind: hwcheck.DuplicateKey, line: 10},
		"account without a key":        {old: "key-sha256: [0f98aed3a908732c8166e417032b818eb80283adafcb50bab8bdfc8c4cb6238b]", put: "key-sha256: []", severity: hwcheck.Error, kind: hwcheck.AccountWithoutKey, line: 7},
		"service at no pool":           {old: "pool: desk", put: "pool: nowhere", severity: hwcheck.Error, kind: hwcheck.MissingPool, line: 34},
		"two accounts of one name":     {old: "name: bar-staff", put: "name: cellar-stewards", severity: hwcheck.Error, kind: hwcheck.DuplicateName, line: 8},
		"slots of 0":                   {old: "slots: 8\n    generated", put: "slots: 0\n    generated", severity: hwcheck.Error, kind: hwcheck.InvalidValue, line: 15},
		"route shadowed":               {old: "path: /lookups\n        methods: [GET]", put: "path: /orders\n        methods: [POST]", severity: hwcheck.Warning, kind: hwcheck.RouteShadowed, line: 40},
		"queue above the answer limit": {old: "queue-timeout: 10s", put: "queue-timeout: 1h", severity: hwcheck.Warning, kind: hwcheck.QueueAboveTimeLimit, line: 12},
		"objective above answer limit": {old: "within: 1200ms", put: "within: 1h", severity: hwcheck.Warning, kind: hwcheck.ObjectiveAboveLimit, line: 45},
		"objective at a closed pool":   {old: "share: 2", put: "share: 2\n    pools: [desk]", severity: hwcheck.Warning, kind: hwcheck.ObjectiveNeverApplies, line: 46},
		"pool that only drains":        {old: "address: 127.0.0.1:17005", put: "draining: true\n        address: 127.0.0.1:17005", severity: hwcheck.Warning, kind: hwcheck.PoolWithoutCapacity, line: 26},
	} {
		t.Run(name, func(t *testing.T) {
			body := strings.Replace(string(exampleDocument(t)), c.old, c.put, 1)
			require.NotEqual(t, string(exampleDocument(t)), body)
			_, findings, _ := hwdocument.CheckBody([]byte(body))
			found := false
			for _, f := range findings {
				found = found || f.Kind == c.kind && f.Severity == c.severity && f.Place.Line == c.line
			}
			assert.True(t, found, "%+v", findings)
		})
	}
}

// An operator who changes a share, a deadline and a key must be told what callers notice, and keys only by a hash.
func TestDocumentChangesAreReported(t *testing.T) {
	before := hwcheck.Input{Name: "before", Body: exampleDocument(t)}
	body := strings.NewReplacer("share: 1", "share: 2", "deadline: 5s", "deadline: 2s", "a3dd31a59c49", "000000000000").Replace(string(before.Body))
	var text bytes.Buffer
	report := hwcheck.NewReport(hwdocument.CheckBody, hwcheck.Input{Name: "after", Body: []byte(body)}, &before)
	require.NoError(t, report.Print(&text, false, true))
	assert.Equal(t, `route desk /orders changed: time-limit from 5s to 2s; longer requests are cut off with 504
route desk /lookups changed: time-limit from 5s to 2s; longer requests are cut off with 504
account bar-staff changed: share from 1 to 2; its part of a full pool goes from 33.3 % to 50.0 %
key 0000000000003fcb added; callers with it are served as account bar-staff
key a3dd31a59c493fcb removed; callers with it, so far of account bar-staff, get 401
after: errors: 0, warnings: 0, changes: 5
`, text.String())
}

// Whatever a document contains, a check ends, its findings have a line of the document, and a document does not differ from itself.
func FuzzCheckBody(f *testing.F) {
	f.Add(exampleDocument(f))
	f.Add([]byte("environment: a\naccounts: [{name: a, share: .nan}]\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		configuration, findings, decoded := hwdocument.CheckBody(body)
		if !decoded && len(findings) == 0 {
			t.Fatal("a document that can't be decoded has no finding")
		}
		for _, finding := range findings {
			if finding.Place.Line < 0 || finding.Place.Line > bytes.Count(body, []byte("\n"))+1 || finding.Kind == "" {
				t.Fatalf("finding without a place or kind: %+v", finding)
			}
		}
		if changes := hwcheck.Compare(configuration, configuration); len(changes) > 0 {
			t.Fatalf("a document differs from itself: %+v", changes)
		}
	})
}
