package hwevent_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hickorywick/hickorywick/lib/hwevent"
)

// stalled blocks every write until it is released.
type stalled struct {
	release chan struct{}
	entered chan struct{}
	buffer  bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	<-s.release
	return s.buffer.Write(p)
}

// A reader that stalls never holds up the router. Refusals and failures keep room longer than other lines, and a line says how many were left out.
func TestAStalledReaderBlocksNothing(t *testing.T) {
	out := &stalled{
		release: make(chan struct{}),
		entered: make(chan struct{}, 1),
	}
	queue := hwevent.NewAsyncWriter(context.Background(), out, 10)
	logger := hwevent.New(queue, hwevent.Info)
	logger.Emit(hwevent.RequestFinished, hwevent.With("request-id", "held"))
	<-out.entered
	for range 100 {
		logger.Emit(hwevent.RequestFinished, hwevent.With("request-id", "good"))
	}
	for range 3 {
		logger.Emit(hwevent.RequestRefused, hwevent.With("request-id", "refused"))
		logger.Emit(hwevent.RequestFailed, hwevent.With("request-id", "failed"))
	}
	close(out.release)
	require.NoError(t, queue.Close())
	written := out.buffer.String()
	// Half of the room, and the line that makes it more than half.
	assert.Equal(t, 6, strings.Count(written, `"request-id":"good"`))
	assert.Equal(t, 2, strings.Count(written, `"request-id":"refused"`))
	assert.Equal(t, 2, strings.Count(written, `"request-id":"failed"`))
	assert.Contains(t, written, `"name":"lines-dropped","count":96`)
}
