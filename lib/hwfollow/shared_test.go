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
	state  hwfollow.State
	err    error
}

func (a *asker) Reader(time.Time) bool { return a.reader }

func (a *asker) Ask(_ context.Context, want hwfollow.Want) (hwfollow.State, error) {
	state := a.state
	if !want.List || want.Digest == state.Digest {
		state.List = nil
	}
	if a.err == nil && !want.Fresh(a.state) {
		return hwfollow.State{}, lostError{}
	}
	return state, a.err
}

func shared(own *source, a *asker) *hwfollow.Shared {
	return hwfollow.NewShared(own, a, time.Second, func() time.Time { return start })
}

func TestAReadersConfirmationIsAsOldAsTheReaderSays(t *testing.T) {
	own := &source{revision: 7}
	s := shared(own, &asker{state: hwfollow.State{Revision: 7, TableAge: 300 * time.Millisecond}})
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
		"reader":           {known: 7, asker: &asker{reader: true, state: hwfollow.State{Revision: 7}}},
		"nothing known":    {known: 0, asker: &asker{state: hwfollow.State{Revision: 0}}},
		"no answer":        {known: 7, asker: &asker{err: lostError{}, state: hwfollow.State{Revision: 7}}},
		"too old":          {known: 7, asker: &asker{state: hwfollow.State{Revision: 7, TableAge: 2 * time.Second}}},
		"another revision": {known: 7, asker: &asker{state: hwfollow.State{Revision: 8}}},
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
	a := &asker{state: hwfollow.State{Digest: hwfollow.Digest(all), List: all}}
	s := shared(&source{}, a)
	for range 3 {
		answer, err := s.Upstreams(context.Background())
		require.NoError(t, err)
		assert.Equal(t, []string{"x", "y"}, ids(answer.Upstreams))
		assert.True(t, answer.Settled)
	}
	a.state.ListAge = 2 * time.Second
	answer, err := s.Upstreams(context.Background())
	require.NoError(t, err)
	assert.Equal(t, []string{"a"}, ids(answer.Upstreams), "its own reading")
	assert.False(t, answer.Settled)
}

func TestDigestTellsListsApart(t *testing.T) {
	a, b := list("a", "b"), list("b", "a")
	assert.Equal(t, hwfollow.Digest(a), hwfollow.Digest(b), "the order does not matter")
	b[0].Leaving = true
	assert.NotEqual(t, hwfollow.Digest(a), hwfollow.Digest(b))
	assert.NotEqual(t, hwfollow.Digest(a), hwfollow.Digest(list("a")))
	assert.NotEqual(t, hwfollow.Digest(a), hwfollow.Digest(list("a", "b", "b")))
}
