package hwflags_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
	"unicode"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-router/internal/hwflags"
)

// flagName returns the flag that kong derives from a field name.
func flagName(field string) string {
	var b strings.Builder
	for i, c := range field {
		if unicode.IsUpper(c) && i > 0 {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(c))
	}
	return strings.ReplaceAll(b.String(), "s-h-a", "sha")
}

// TestFlagsMatchOperatorsPage guards against flags, defaults and help texts that differ from the table in docs/operators.md.
func TestFlagsMatchOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../../../docs/operators.md")
	require.NoError(t, err)
	var missing []string
	flags := reflect.TypeFor[hwflags.Flags]()
	for i := range flags.NumField() {
		field := flags.Field(i)
		row := fmt.Sprintf("| `--%s` | `%s` | %s | %s |", flagName(field.Name), field.Tag.Get("env"), field.Tag.Get("default"), field.Tag.Get("help"))
		if !strings.Contains(string(page), row) {
			missing = append(missing, row)
		}
	}
	assert.Empty(t, missing, "rows that docs/operators.md lacks:\n%s", strings.Join(missing, "\n"))
}

func validFlags() hwflags.Flags {
	return hwflags.Flags{
		Instance:         "router-1",
		Zone:             "zone-a",
		CallersAddress:   "127.0.0.1:1",
		PeersAddress:     "127.0.0.1:2",
		OperatorsAddress: "127.0.0.1:3",
		OperatorKey:      "key",
		Store:            "http://127.0.0.1:4",
		StoreTimeout:     time.Second,
		Coordination:     "leased",
		Lanes:            "split",
		Lease:            2 * time.Second,
		BodyBytes:        1,
	}
}

func TestRouterSettingsValidation(t *testing.T) {
	cases := []struct {
		name   string
		change func(*hwflags.Flags)
		want   string
	}{
		{
			name:   "valid",
			change: func(*hwflags.Flags) {},
			want:   "",
		},
		{
			name:   "empty zone",
			change: func(f *hwflags.Flags) { f.Zone = "" },
			want:   "zone must not be empty",
		},
		{
			name:   "both store and document",
			change: func(f *hwflags.Flags) { f.Document = "x" },
			want:   "either --store or --document",
		},
		{
			name:   "address without a port",
			change: func(f *hwflags.Flags) { f.CallersAddress = "nowhere" },
			want:   "callers-address",
		},
		{
			name:   "peers address off loopback without a shared key",
			change: func(f *hwflags.Flags) { f.PeersAddress = "10.0.0.1:2" },
			want:   "shared key or certificates",
		},
		{
			name:   "lease shorter than four heartbeats",
			change: func(f *hwflags.Flags) { f.Lease = time.Second },
			want:   "four heartbeats",
		},
		{
			name:   "body limit of 0",
			change: func(f *hwflags.Flags) { f.BodyBytes = 0 },
			want:   "body-bytes",
		},
		{
			name:   "missing certificate file",
			change: func(f *hwflags.Flags) { f.PeerCertificate = "missing" },
			want:   "peer-certificate",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := validFlags()
			c.change(&f)
			_, err := f.RouterSettings(time.Unix(1, 0))
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
			assert.Contains(t, err.Error(), c.want)
		})
	}
}
