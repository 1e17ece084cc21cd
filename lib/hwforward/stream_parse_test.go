package hwforward

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// The single pass over a buffer must find the same end of an event as a search for each of the two blank lines.
func TestEventEndIsTheFirstBlankLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		buffer := []byte(rapid.StringOfN(rapid.RuneFrom([]rune("\n\ra")), 0, 12, -1).Draw(t, "buffer"))
		want := -1
		for _, blank := range []string{"\n\n", "\r\n\r\n"} {
			if i := bytes.Index(buffer, []byte(blank)); i >= 0 && (want < 0 || i+len(blank) < want) {
				want = i + len(blank)
			}
		}
		assert.Equal(t, want, eventEnd(buffer))
	})
}
