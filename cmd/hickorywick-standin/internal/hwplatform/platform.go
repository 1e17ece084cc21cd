// Package hwplatform serves the stand-ins on fixed loopback ports, for trials by hand and for separate router processes.
package hwplatform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeengine"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakelist"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakeservice"
	"github.com/hickorywick/hickorywick/cmd/hickorywick-standin/internal/hwfakestore"
	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// Settings say what is served where.
type Settings struct {
	FirstPort int
	Engines   int
	Routers   int
}

const (
	engineSlots     = 8
	tokenTime       = 10 * time.Millisecond
	firstToken      = 20 * time.Millisecond
	firstPeersPort  = 18001
	shutdownTimeout = time.Second
)

// Run serves until the context ends.
func Run(ctx context.Context, out io.Writer, settings Settings) error {
	list := hwfakelist.New(0, time.Now)
	for i := range settings.Routers {
		list.Put(hwfakelist.Instance{
			Name:    fmt.Sprintf("router-%d", i+1),
			Address: fmt.Sprintf("127.0.0.1:%d", firstPeersPort+i),
			Zone:    "zone-a",
		})
	}
	port := settings.FirstPort
	var tasks []<-chan error
	add := func(name string, handler http.Handler) {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		port++
		_, _ = fmt.Fprintf(out, "%s http://%s\n", name, address)
		tasks = append(tasks, hwtask.Start(ctx, func(ctx context.Context) error { return serve(ctx, address, handler) }))
	}
	add("store", hwfakestore.New(time.Now))
	add("list", list)
	for i := range settings.Engines {
		name := fmt.Sprintf("engine-%d", i+1)
		add(name, hwfakeengine.New(hwfakeengine.Settings{
			Name:              name,
			Slots:             engineSlots,
			InterTokenLatency: tokenTime,
			TimeToFirstToken:  firstToken,
		}, func() {}))
	}
	add("service", hwfakeservice.New(0))
	return hwtask.Join(tasks...)
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{ //nolint:gosec // A stand-in on loopback needs no timeouts.
		Handler: handler,
	}
	closed := hwtask.Start(ctx, func(ctx context.Context) error {
		<-ctx.Done()
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(last); err != nil {
			return trace.Wrap(server.Close())
		}
		return nil
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return hwtask.Join(closed)
}
