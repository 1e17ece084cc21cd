package hwfleet

import (
	"net/netip"
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

// The reader fails. Its backup must know that it is the backup, so that its reads and pings are not held back, and only one router may be it.
func TestBackupIsTheSecondOfTheRanking(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	addresses := []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"),
	}
	readers, backups := 0, 0
	for _, self := range addresses {
		f := New(Settings{Self: self}, nil, nil, nil, nil)
		for _, address := range addresses {
			if address != self {
				f.peers[address] = &peer{name: address.String(), lastSeen: now}
			}
		}
		if f.IsReader(now) {
			readers++
			assert.False(t, f.IsBackup(now))
		}
		if f.IsBackup(now) {
			backups++
		}
	}
	assert.Equal(t, 1, readers)
	assert.Equal(t, 1, backups)
	alone := New(Settings{Self: addresses[0]}, nil, nil, nil, nil)
	assert.False(t, alone.IsBackup(now), "a router alone is its own reader and has no backup")
}

// In a fleet of 88 routers member lists were a quarter of the bytes between zones: each grows with the fleet, and every router sent one in every fifth update.
func TestMemberListsAreRarerInLargeFleets(t *testing.T) {
	for peers, interval := range map[int]uint64{0: 5, 4: 5, 23: 5, 31: 7, 87: 21, 359: 89} {
		assert.Equal(t, interval, memberListInterval(peers), "%d peers", peers)
	}
}
