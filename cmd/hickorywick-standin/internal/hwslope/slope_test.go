package hwslope_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwslope"
)

func TestRunFitsLinearRegression(t *testing.T) {
	input := `goos: linux
BenchmarkSlopeX/members=10-8   100   120 ns/op   7 B/op
BenchmarkSlopeX/members=20-8   100   220 ns/op   7 B/op
BenchmarkOther-8               100   220 ns/op
`
	var out bytes.Buffer
	require.NoError(t, hwslope.Run(strings.NewReader(input), &out))
	assert.Regexp(t, `X +ns/op +20 +10 +members +1\.00 +220 at 20`, out.String())
	require.Error(t, hwslope.Run(strings.NewReader("nothing"), &out))
}
