package hwfleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Pattern: a fleet of hundreds. What a router sends does not grow beyond a bound, and even the largest fleet hears from everybody before they count as silent.
func TestLargeFleetsTellTheirNewsLessOften(t *testing.T) {
	settings := Settings{
		Interval:     100 * time.Millisecond,
		MaxPerSecond: 400,
	}
	assert.Equal(t, 100*time.Millisecond, settings.pace(3))
	assert.Equal(t, 100*time.Millisecond, settings.pace(34))
	assert.Equal(t, 300*time.Millisecond, settings.pace(120))
	assert.Less(t, settings.pace(360), readerSilence)
	settings.MaxPerSecond = 0
	assert.Equal(t, 100*time.Millisecond, settings.pace(360))
}
