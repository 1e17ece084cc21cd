package hwfleet_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
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
	news  hwforward.PeerUpdate
	lock  sync.Mutex
	heard map[string]hwforward.PeerUpdate
}

func (t *teller) TakePeerUpdate(time.Time) hwforward.PeerUpdate { return t.news }

func (t *teller) ApplyPeerUpdate(_ time.Time, peer string, news hwforward.PeerUpdate) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.heard == nil {
		t.heard = map[string]hwforward.PeerUpdate{}
	}
	t.heard[peer] = news
}

func (t *teller) from(peer string) (hwforward.PeerUpdate, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	news, heard := t.heard[peer]
	return news, heard
}

// join starts a router's fleet on a loopback socket.
func join(t *testing.T, name string, news hwforward.PeerUpdate, seeds ...netip.AddrPort) (*hwfleet.Fleet, *teller, netip.AddrPort) {
	t.Helper()
	socket, err := hwfleet.Listen(context.Background(), "127.0.0.1:0")
	require.NoError(t, err)
	self := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	heard := &teller{news: news}
	fleet := hwfleet.New(hwfleet.Settings{
		Router:      name,
		Boot:        1,
		Self:        self,
		Interval:    5 * time.Millisecond,
		PeerTimeout: 400 * time.Millisecond,
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
	news := hwforward.PeerUpdate{
		Loads:        map[string][]hwplace.PeerLoad{"pool": {{Upstream: hwplace.HashID("u"), PendingTokens: 1234, Running: 5}}},
		AccountUsage: map[string]hwadmit.Usage{"account": {Demand: 100, Admitted: 50}},
		Prefills:     []hwforward.Prefill{{Pool: "pool", Upstream: hwplace.HashID("u"), Prefix: hwprompt.ChainedSegment{PrefixHash: 1 << 60, Tokens: 77}}},
		Strikes:      []hwquarantine.CrashReport{{Fingerprint: 1 << 61, Upstream: "u", OccurredAt: time.Now(), Cleared: true}},
	}
	first, heardByFirst, seed := join(t, "first", news)
	_, _, _ = join(t, "second", news, seed)
	third, heardByThird, _ := join(t, "third", news, seed)
	require.Eventually(t, func() bool {
		_, direct := heardByThird.from("second")
		return direct && first.PeerCount(time.Now()) == 2 && third.PeerCount(time.Now()) == 2
	}, 5*time.Second, 5*time.Millisecond)
	got, _ := heardByFirst.from("third")
	assert.Equal(t, news.Loads, got.Loads)
	assert.Equal(t, news.AccountUsage, got.AccountUsage)
	assert.Equal(t, news.Prefills, got.Prefills)
	require.Len(t, got.Strikes, 1)
	assert.True(t, got.Strikes[0].Cleared)
	assert.WithinDuration(t, news.Strikes[0].OccurredAt, got.Strikes[0].OccurredAt, 2*time.Second)
}

// A router that ends is forgotten, and one that comes back is found again through the seeds.
func TestAPeerThatEndsIsForgotten(t *testing.T) {
	first, _, seed := join(t, "first", hwforward.PeerUpdate{})
	t.Run("while it lives", func(t *testing.T) {
		_, _, _ = join(t, "second", hwforward.PeerUpdate{}, seed)
		require.Eventually(t, func() bool { return first.PeerCount(time.Now()) == 1 }, 5*time.Second, 5*time.Millisecond)
	})
	require.Eventually(t, func() bool { return first.PeerCount(time.Now()) == 0 }, 5*time.Second, 5*time.Millisecond)
	_, _, _ = join(t, "second", hwforward.PeerUpdate{}, seed)
	require.Eventually(t, func() bool { return first.PeerCount(time.Now()) == 1 }, 5*time.Second, 5*time.Millisecond)
}

// Bytes that are no datagram of a router change nothing.
func TestStrangersAreIgnored(t *testing.T) {
	first, heard, seed := join(t, "first", hwforward.PeerUpdate{})
	stranger, err := net.Dial("udp4", seed.String())
	require.NoError(t, err)
	defer func() { _ = stranger.Close() }()
	for _, datagram := range [][]byte{{}, {0xff, 0xff}, []byte("GET / HTTP/1.1\r\n\r\n"), {0x0a, 0x00}} {
		_, err := stranger.Write(datagram)
		require.NoError(t, err)
	}
	_, _, _ = join(t, "second", hwforward.PeerUpdate{}, seed)
	require.Eventually(t, func() bool { return first.PeerCount(time.Now()) == 1 }, 5*time.Second, 5*time.Millisecond)
	heard.lock.Lock()
	defer heard.lock.Unlock()
	assert.Len(t, heard.heard, 1)
}

// One of the routers reads the store; any other one gets the state from it, with its list only if it differs.
func TestAReaderAnswersForTheStore(t *testing.T) {
	list := []hwplace.Upstream{{ID: "u", Address: "10.0.0.1:80", Zone: "z", Pool: "p", Slots: 4, Incarnation: 9, Draining: true, ModelVersion: 3}}
	table := bytes.Repeat([]byte("a table of several datagrams "), 2000)
	state := hwfollow.Snapshot{EncodedTable: table, Revision: 12, TableAge: 250 * time.Millisecond, ListAge: 1500 * time.Microsecond, ListDigest: 77, List: list}
	fleets := four(t, func(int) hwfollow.Snapshot { return state })
	for _, fleet := range fleets {
		if fleet.IsReader(time.Now()) {
			continue
		}
		got, err := fleet.QueryPeers(context.Background(), hwfollow.Query{WantList: true, MaxAge: time.Second})
		require.NoError(t, err)
		assert.Equal(t, list, got.List)
		assert.EqualValues(t, 12, got.Revision)
		assert.Equal(t, 250*time.Millisecond, got.TableAge)
		assert.Equal(t, 2*time.Millisecond, got.ListAge, "ages are rounded up")
		got, err = fleet.QueryPeers(context.Background(), hwfollow.Query{WantList: true, KnownListDigest: 77, MaxAge: time.Second})
		require.NoError(t, err)
		assert.Nil(t, got.List)
		assert.Empty(t, got.EncodedTable, "only whoever wants the table gets it")
		got, err = fleet.QueryPeers(context.Background(), hwfollow.Query{WantTable: true, KnownRevision: 11, MaxAge: time.Second})
		require.NoError(t, err)
		assert.Equal(t, table, got.EncodedTable)
		got, err = fleet.QueryPeers(context.Background(), hwfollow.Query{WantTable: true, KnownRevision: 12, MaxAge: time.Second})
		require.NoError(t, err)
		assert.Empty(t, got.EncodedTable, "it has this one")
	}
}

// Pattern: a fleet before thousands of upstreams, whose list fits no datagram. It comes in parts.
func TestALongListComesInParts(t *testing.T) {
	var list []hwplace.Upstream
	for i := range 3500 {
		list = append(list, hwplace.Upstream{ID: "upstream-" + strconv.Itoa(i), Address: "10.0.0.1:80", Zone: "zone-a", Pool: "pool", Slots: 16, Incarnation: int64(i)})
	}
	fleets := four(t, func(int) hwfollow.Snapshot {
		return hwfollow.Snapshot{Revision: 1, ListDigest: hwfollow.ListDigest(list), List: list}
	})
	for _, fleet := range fleets {
		if fleet.IsReader(time.Now()) {
			continue
		}
		got, err := fleet.QueryPeers(context.Background(), hwfollow.Query{WantList: true, MaxAge: time.Second})
		require.NoError(t, err)
		assert.Equal(t, list, got.List)
	}
}

// Pattern: the store turns away a third of the routers, the reader and its stand-in among them. All routers agree on another reader that the store serves.
func TestRoutersThatAreCutOffFromTheStoreAreNotAsked(t *testing.T) {
	fleets := four(t, func(int) hwfollow.Snapshot { return hwfollow.Snapshot{Revision: 1} })
	var away []*hwfleet.Fleet
	for range 3 {
		for _, fleet := range fleets {
			fleet.SetStoreReachable(!slices.Contains(away, fleet))
		}
		var reader *hwfleet.Fleet
		require.Eventually(t, func() bool {
			reader = nil
			for _, fleet := range fleets {
				if reaching, cutOff := fleet.PeerReachability(time.Now()); reaching+cutOff != 3 || cutOff > len(away) {
					return false
				}
				if fleet.IsReader(time.Now()) {
					if reader != nil {
						return false
					}
					reader = fleet
				}
			}
			return reader != nil && !slices.Contains(away, reader)
		}, 5*time.Second, 5*time.Millisecond)
		away = append(away, reader)
	}
}

// four joins four routers and waits until they agree on one reader.
func four(t *testing.T, state func(router int) hwfollow.Snapshot) []*hwfleet.Fleet {
	t.Helper()
	var fleets []*hwfleet.Fleet
	var seeds []netip.AddrPort
	for i, name := range []string{"first", "second", "third", "fourth"} {
		fleet, _, address := join(t, name, hwforward.PeerUpdate{}, seeds...)
		fleet.SetSnapshotFunc(func() (hwfollow.Snapshot, bool) { return state(i), true })
		fleets = append(fleets, fleet)
		seeds = append(seeds, address)
	}
	require.Eventually(t, func() bool {
		readers, complete := 0, true
		for _, fleet := range fleets {
			if fleet.IsReader(time.Now()) {
				readers++
			}
			complete = complete && fleet.PeerCount(time.Now()) == len(fleets)-1
		}
		return readers == 1 && complete
	}, 5*time.Second, 5*time.Millisecond)
	return fleets
}

// Pattern: the reader alone is cut off from the store, so what it knows is old. The others get the state from the router that stands in for it, not each from the store.
func TestAReaderThatIsCutOffIsStoodInFor(t *testing.T) {
	var reader atomic.Int64
	reader.Store(-1)
	fleets := four(t, func(router int) hwfollow.Snapshot {
		age := 10 * time.Millisecond
		if int64(router) == reader.Load() {
			age = time.Minute
		}
		return hwfollow.Snapshot{Revision: int64(router) + 1, TableAge: age, ListAge: age}
	})
	for i, fleet := range fleets {
		if fleet.IsReader(time.Now()) {
			reader.Store(int64(i))
		}
	}
	answers, alone := map[int64]int{}, 0
	for i, fleet := range fleets {
		if int64(i) == reader.Load() {
			continue
		}
		got, err := fleet.QueryPeers(context.Background(), hwfollow.Query{MaxAge: time.Second})
		if err != nil {
			alone++
			continue
		}
		answers[got.Revision]++
	}
	assert.Equal(t, 1, alone, "the one that stands in has nobody to ask")
	assert.Len(t, answers, 1)
	assert.NotContains(t, answers, reader.Load()+1)
}

func TestAskingWithoutReadersFails(t *testing.T) {
	fleet, _, _ := join(t, "alone", hwforward.PeerUpdate{})
	assert.True(t, fleet.IsReader(time.Now()))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := fleet.QueryPeers(ctx, hwfollow.Query{})
	require.Error(t, err)
}
