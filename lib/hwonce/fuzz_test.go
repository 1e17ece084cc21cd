package hwonce_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwonce"
)

// FuzzDecodePage decodes arbitrary data. A page that can be decoded must be the same after encoding and decoding it again.
func FuzzDecodePage(f *testing.F) {
	page, err := hwonce.Page{
		Sequence: 4,
	}.Union([]hwonce.Record{{
		Key:        hwonce.HashKey("brewer", "order-1"),
		AttemptID:  9,
		RecordedAt: time.UnixMilli(1_700_000_000_000),
		Outcome:    hwonce.OutcomeExecuted,
		StatusCode: 200,
	}}).Encode()
	require.NoError(f, err)
	f.Add(page)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		page, err := hwonce.DecodePage(data)
		if err != nil {
			return
		}
		encoded, err := page.Encode()
		require.NoError(t, err)
		decoded, err := hwonce.DecodePage(encoded)
		require.NoError(t, err)
		assert.Equal(t, page, decoded)
	})
}
