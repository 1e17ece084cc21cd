package hwfleet_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwadmit"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwfleet"
	"github.com/hickorywick/hickorywick/lib/hwfollow"
	"github.com/hickorywick/hickorywick/lib/hwforward"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// teller tells the same news again and again and keeps what it hears.
type teller struct {
	news  hwforward.News
	lock  sync.Mutex
	heard map[string]hwforward.News
}

func (t *teller) Tell(time.Time) hwforward.News { return t.news }

func (t *teller) Hear(_ time.Time, peer string, news hwforward.News) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.heard == nil {
		t.heard = map[string]hwforward.News{}
	}
	t.heard[peer] = news
}

func (t *teller) from(peer string) (hwforward.News, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	news, heard := t.heard[peer]
	return news, heard
}

// join starts a router's fleet on a loopback socket.
func join(t *testing.T, name string, news hwforward.News, seeds ...netip.AddrPort) (*hwfleet.Fleet, *teller, netip.AddrPort) {
	t.Helper()
	socket, err := hwfleet.Listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	self := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	heard := &teller{news: news}
	fleet := hwfleet.New(hwfleet.Settings{
		Router: name,
		Boot:   1,
		Self:   self,
		Every:  5 * time.Millisecond,
		Forget: 400 * time.Millisecond,
	}, socket, heard, hwevent.New(io.Discard, hwevent.Info), time.Now)
	fleet.SetSeeds(seeds)
	ctx, cancel := context.WithCancel(context.Background())
	done := hwtask.Start(ctx, fleet.Run)
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, hwtask.Join(done))
	})
	return fleet, heard, self
}

// Routers find each other through one seed and then through each other, and everything told arrives as it was.
func TestNewsReachEveryRouter(t *testing.T) {
	news := hwforward.News{
		Loads:    map[string][]hwplace.PeerLoad{"pool": {{Upstream: "u", Tokens: 1234, Running: 5}}},
		Use:      map[string]hwadmit.Use{"account": {Asked: 100, Given: 50}},
		Readings: []hwforward.Reading{{Pool: "pool", Upstream: "u", Link: hwprompt.Link{Chain: 1 << 60, Tokens: 77}}},
		Strikes:  []hwquarantine.Strike{{Fingerprint: 1 << 61, Upstream: "u", At: time.Now(), Cleared: true}},
	}
	first, heardByFirst, seed := join(t, "first", news)
	_, _, _ = join(t, "second", news, seed)
	third, heardByThird, _ := join(t, "third", news, seed)
	require.Eventually(t, func() bool {
		_, direct := heardByThird.from("second")
		return direct && first.Peers(time.Now()) == 2 && third.Peers(time.Now()) == 2
	}, 5*time.Second, 5*time.Millisecond)
	got, _ := heardByFirst.from("third")
	assert.Equal(t, news.Loads, got.Loads)
	assert.Equal(t, news.Use, got.Use)
	assert.Equal(t, news.Readings, got.Readings)
	require.Len(t, got.Strikes, 1)
	assert.True(t, got.Strikes[0].Cleared)
	assert.WithinDuration(t, news.Strikes[0].At, got.Strikes[0].At, 2*time.Second)
}

// A router that ends is forgotten, and one that comes back is found again through the seeds.
func TestAPeerThatEndsIsForgotten(t *testing.T) {
	first, _, seed := join(t, "first", hwforward.News{})
	t.Run("while it lives", func(t *testing.T) {
		_, _, _ = join(t, "second", hwforward.News{}, seed)
		require.Eventually(t, func() bool { return first.Peers(time.Now()) == 1 }, 5*time.Second, 5*time.Millisecond)
	})
	require.Eventually(t, func() bool { return first.Peers(time.Now()) == 0 }, 5*time.Second, 5*time.Millisecond)
	_, _, _ = join(t, "second", hwforward.News{}, seed)
	require.Eventually(t, func() bool { return first.Peers(time.Now()) == 1 }, 5*time.Second, 5*time.Millisecond)
}

// Bytes that are no datagram of a router change nothing.
func TestStrangersAreIgnored(t *testing.T) {
	first, heard, seed := join(t, "first", hwforward.News{})
	stranger, err := net.Dial("udp4", seed.String())
	require.NoError(t, err)
	defer func() { _ = stranger.Close() }()
	for _, bytes := range [][]byte{{}, {0xff, 0xff}, []byte("GET / HTTP/1.1\r\n\r\n"), {0x0a, 0x00}} {
		_, err := stranger.Write(bytes)
		require.NoError(t, err)
	}
	_, _, _ = join(t, "second", hwforward.News{}, seed)
	require.Eventually(t, func() bool { return first.Peers(time.Now()) == 1 }, 5*time.Second, 5*time.Millisecond)
	heard.lock.Lock()
	defer heard.lock.Unlock()
	assert.Len(t, heard.heard, 1)
}

// Two of the routers read the store; any other one gets the state from them, with its list only if it differs, and keeps it when a reader ends.
func TestReadersAnswerForTheStore(t *testing.T) {
	list := []hwplace.Upstream{{ID: "u", Address: "10.0.0.1:80", Zone: "z", Pool: "p", Slots: 4, Started: 9, Leaving: true, Version: 3}}
	state := hwfollow.State{Revision: 12, TableAge: 250 * time.Millisecond, ListAge: 1500 * time.Microsecond, Digest: 77, List: list}
	var fleets []*hwfleet.Fleet
	var seeds []netip.AddrPort
	for _, name := range []string{"first", "second", "third", "fourth"} {
		fleet, _, address := join(t, name, hwforward.News{}, seeds...)
		fleet.SetState(func() (hwfollow.State, bool) { return state, true })
		fleets = append(fleets, fleet)
		seeds = append(seeds, address)
	}
	count := func() int {
		readers := 0
		for _, fleet := range fleets {
			if fleet.Reader(time.Now()) {
				readers++
			}
		}
		return readers
	}
	require.Eventually(t, func() bool { return count() == 2 && fleets[0].Peers(time.Now()) == 3 }, 5*time.Second, 5*time.Millisecond)
	for _, fleet := range fleets {
		if fleet.Reader(time.Now()) {
			continue
		}
		got, err := fleet.Ask(context.Background(), hwfollow.Want{List: true})
		require.NoError(t, err)
		assert.Equal(t, list, got.List)
		assert.EqualValues(t, 12, got.Revision)
		assert.Equal(t, 250*time.Millisecond, got.TableAge)
		assert.Equal(t, 2*time.Millisecond, got.ListAge, "ages are rounded up")
		got, err = fleet.Ask(context.Background(), hwfollow.Want{List: true, Digest: 77})
		require.NoError(t, err)
		assert.Nil(t, got.List)
	}
}

func TestAskingWithoutReadersFails(t *testing.T) {
	fleet, _, _ := join(t, "alone", hwforward.News{})
	assert.True(t, fleet.Reader(time.Now()))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := fleet.Ask(ctx, hwfollow.Want{})
	require.Error(t, err)
}
