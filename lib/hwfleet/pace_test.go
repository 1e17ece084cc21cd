package hwfleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// In a fleet of hundreds of routers, the datagrams that each router sends must stay within the limit, and updates must still arrive before their sender counts as silent.
func TestUpdateIntervalGrowsWithTheFleet(t *testing.T) {
	settings := Settings{
		Interval:     100 * time.Millisecond,
		MaxPerSecond: 400,
	}
	assert.Equal(t, 100*time.Millisecond, settings.updateInterval(3))
	assert.Equal(t, 100*time.Millisecond, settings.updateInterval(34))
	assert.Equal(t, 300*time.Millisecond, settings.updateInterval(120))
	assert.Less(t, settings.updateInterval(360), readerTimeout)
	settings.MaxPerSecond = 0
	assert.Equal(t, 100*time.Millisecond, settings.updateInterval(360))
}
