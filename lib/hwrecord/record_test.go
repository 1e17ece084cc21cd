package hwrecord_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwrecord"
)

func ExampleEncode() {
	encoded, err := hwrecord.Encode([]hwquarantine.SegmentReport{
		{
			Segment:  0x24bb08de,
			Kind:     hwquarantine.SegmentCrashed,
			At:       time.UnixMilli(1_700_000_000_000),
			Upstream: 9,
		},
	})
	fmt.Println(string(encoded), err)
	// Output: {"format":1,"reports":[{"segment":"24bb08de","kind":"crashed","at-ms":1700000000000,"upstream":9}]} <nil>
}

// One report that can't be read must not hide the others.
func TestUnreadableReportsAreLeftOut(t *testing.T) {
	reports, err := hwrecord.Decode([]byte(`{"format":1,"reports":[{"segment":"xyz","kind":"crashed"},{"segment":"7","kind":"sung"},{"segment":"7","kind":"tried","trials":-4,"at-ms":5},{"segment":"8","kind":"answered","at-ms":6}]}`))
	require.NoError(t, err)
	assert.Equal(t, []hwquarantine.SegmentReport{
		{Segment: 7, Kind: hwquarantine.SegmentTried, At: time.UnixMilli(5)},
		{Segment: 8, Kind: hwquarantine.SegmentAnswered, At: time.UnixMilli(6)},
	}, reports)
}

// Whatever the store holds, decoding ends with an error or with reports that can be encoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"format":1,"reports":[{"segment":"7","kind":"crashed","at-ms":1700000000000,"upstream":9,"answered-before":true}]}`))
	f.Add([]byte(`{"format":1,"reports":[{"segment":"ffffffffffffffffff","at-ms":9223372036854775807}]}`))
	f.Add([]byte(`{"format":1e9}`))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		reports, err := hwrecord.Decode(encoded)
		if err != nil {
			return
		}
		again, err := hwrecord.Encode(reports)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := hwrecord.Decode(again)
		if err != nil || len(decoded) != len(reports) {
			t.Fatalf("%d reports became %d: %v", len(reports), len(decoded), err)
		}
	})
}
