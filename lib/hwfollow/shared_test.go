package hwfollow_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwfollow"
)

// asker answers with a state, or not at all.
type asker struct {
	reader bool
	state  hwfollow.Snapshot
	err    error
}

func (a *asker) IsReader(time.Time) bool { return a.reader }

func (a *asker) QueryPeers(_ context.Context, want hwfollow.Query) (hwfollow.Snapshot, error) {
	state := a.state
	if !want.WantList || want.KnownListDigest == state.ListDigest {
		state.List = nil
	}
	if a.err == nil && !want.Accepts(a.state) {
		return hwfollow.Snapshot{}, lostError{}
	}
	return state, a.err
}

func shared(own *source, a *asker) *hwfollow.SharedSource {
	return hwfollow.NewSharedSource(own, a, time.Second, func() time.Time { return start })
}

func TestAReadersConfirmationIsAsOldAsTheReaderSays(t *testing.T) {
	own := &source{revision: 7}
	s := shared(own, &asker{state: hwfollow.Snapshot{Revision: 7, TableAge: 300 * time.Millisecond}})
	answer, err := s.Table(context.Background(), 7)
	require.NoError(t, err)
	assert.Equal(t, 300*time.Millisecond, answer.Age)
	assert.Zero(t, own.asked.Load())
}

// A router reads for itself when it is a reader, when it knows nothing, and when readers don't answer, are too old or know another revision.
func TestARouterReadsForItselfWhenNoReaderWillDo(t *testing.T) {
	for name, c := range map[string]struct {
		known int64
		asker *asker
	}{
		"reader":           {known: 7, asker: &asker{reader: true, state: hwfollow.Snapshot{Revision: 7}}},
		"known to nobody":  {known: 0, asker: &asker{err: lostError{}}},
		"only known here":  {known: 7, asker: &asker{err: &hwfollow.NoSnapshotError{}}},
		"no answer":        {known: 7, asker: &asker{err: lostError{}, state: hwfollow.Snapshot{Revision: 7}}},
		"too old":          {known: 7, asker: &asker{state: hwfollow.Snapshot{Revision: 7, TableAge: 2 * time.Second}}},
		"another revision": {known: 7, asker: &asker{state: hwfollow.Snapshot{Revision: 8}}},
	} {
		t.Run(name, func(t *testing.T) {
			own := &source{revision: 8}
			answer, err := shared(own, c.asker).Table(context.Background(), c.known)
			require.NoError(t, err)
			assert.NotNil(t, answer.Table)
			assert.Zero(t, answer.Age)
		})
	}
}

func TestAReadersListIsTakenOnceAndKept(t *testing.T) {
	all := list("x", "y")
	a := &asker{state: hwfollow.Snapshot{Revision: 1, ListDigest: hwfollow.ListDigest(all), List: all}}
	s := shared(&source{}, a)
	for range 3 {
		answer, err := s.Upstreams(context.Background())
		require.NoError(t, err)
		assert.Equal(t, []string{"x", "y"}, ids(answer.Upstreams))
		assert.True(t, answer.Reconciled)
	}
	a.state.ListAge = 2 * time.Second
	answer, err := s.Upstreams(context.Background())
	require.NoError(t, err)
	assert.Equal(t, []string{"a"}, ids(answer.Upstreams), "its own reading")
	assert.False(t, answer.Reconciled)
}

func TestDigestTellsListsApart(t *testing.T) {
	a, b := list("a", "b"), list("b", "a")
	assert.Equal(t, hwfollow.ListDigest(a), hwfollow.ListDigest(b), "the order does not matter")
	b[0].Draining = true
	assert.NotEqual(t, hwfollow.ListDigest(a), hwfollow.ListDigest(b))
	assert.NotEqual(t, hwfollow.ListDigest(a), hwfollow.ListDigest(list("a")))
	assert.NotEqual(t, hwfollow.ListDigest(a), hwfollow.ListDigest(list("a", "b", "b")))
}

// encoded is a reader's state with a table that others may fetch.
func encoded(table string) hwfollow.Snapshot {
	return hwfollow.Snapshot{Revision: 8, TableAge: 300 * time.Millisecond, EncodedTable: []byte(table)}
}

// Pattern: routers that are cut off from the store while the configuration changes, some of them just started. They get it from the reader.
func TestANewerTableIsFetchedFromTheReader(t *testing.T) {
	for _, known := range []int64{0, 7} {
		own := &source{}
		own.failing.Store(true)
		answer, err := shared(own, &asker{state: encoded("the table")}).Table(context.Background(), known)
		require.NoError(t, err)
		assert.EqualValues(t, 8, answer.Table.Version())
		assert.EqualValues(t, 8, answer.Revision)
		assert.Equal(t, "the table", string(answer.Encoded), "and can be passed on again")
		assert.Equal(t, 300*time.Millisecond, answer.Age)
		assert.Zero(t, own.asked.Load())
	}
}

// A table that can't be fetched whole, or that the reader does not have, is read from the store.
func TestATableThatCannotBeFetchedIsReadFromTheStore(t *testing.T) {
	older := encoded("the table")
	older.Revision = 6
	for name, a := range map[string]*asker{
		"another table": {state: encoded("nonsense!")},
		"no table":      {state: encoded("")},
		"a lost part":   {err: lostError{}},
		"an older one":  {state: older},
	} {
		t.Run(name, func(t *testing.T) {
			own := &source{revision: 9}
			answer, err := shared(own, a).Table(context.Background(), 7)
			require.NoError(t, err)
			assert.EqualValues(t, 9, answer.Revision)
			assert.EqualValues(t, 1, own.asked.Load())
		})
	}
}

// Pattern: a whole fleet starts before its configuration is written. Only the reader asks the store for it, the others ask the reader.
func TestAFleetThatStartsDoesNotAskTheStoreAllAtOnce(t *testing.T) {
	own := &source{revision: 8}
	s := shared(own, &asker{err: &hwfollow.NoSnapshotError{}})
	_, err := s.Table(context.Background(), 0)
	require.Error(t, err)
	_, err = s.Upstreams(context.Background())
	require.Error(t, err)
	assert.Zero(t, own.asked.Load())
	reader := shared(own, &asker{reader: true, err: &hwfollow.NoSnapshotError{}})
	_, err = reader.Table(context.Background(), 0)
	require.NoError(t, err)
	assert.EqualValues(t, 1, own.asked.Load())
}
