// Package hwplatform serves the fake store, instance list, engines and service on fixed loopback ports, for manual testing and for routers in separate processes.
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

// Settings configures which fakes are served. They take consecutive ports from FirstPort on.
type Settings struct {
	FirstPort int
	Engines   int
	Routers   int
}

const (
	engineSlots       = 8
	interTokenLatency = 10 * time.Millisecond
	timeToFirstToken  = 20 * time.Millisecond
	firstPeerPort     = 18001
	shutdownTimeout   = time.Second
)

// Run serves the fakes until the context is cancelled and prints the URL of each to out.
func Run(ctx context.Context, out io.Writer, settings Settings) error {
	instances := hwfakelist.New(0, time.Now)
	for i := range settings.Routers {
		instances.Put(hwfakelist.Instance{
			Name:    fmt.Sprintf("router-%d", i+1),
			Address: fmt.Sprintf("127.0.0.1:%d", firstPeerPort+i),
			Zone:    "zone-a",
		})
	}
	port := settings.FirstPort
	var tasks []<-chan error
	startServer := func(name string, handler http.Handler) {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		port++
		_, _ = fmt.Fprintf(out, "%s http://%s\n", name, address)
		tasks = append(tasks, hwtask.Start(ctx, func(ctx context.Context) error { return serve(ctx, address, handler) }))
	}
	startServer("store", hwfakestore.New(time.Now))
	startServer("list", instances)
	for i := range settings.Engines {
		name := fmt.Sprintf("engine-%d", i+1)
		startServer(name, hwfakeengine.New(hwfakeengine.Settings{
			Name:              name,
			Slots:             engineSlots,
			InterTokenLatency: interTokenLatency,
			TimeToFirstToken:  timeToFirstToken,
		}, func() {}))
	}
	startServer("service", hwfakeservice.New(0))
	return hwtask.Join(tasks...)
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{ //nolint:gosec // A fake that listens only on loopback needs no timeouts.
		Handler: handler,
	}
	shutdown := hwtask.Start(ctx, func(ctx context.Context) error {
		<-ctx.Done()
		shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownContext); err != nil {
			return trace.Wrap(server.Close())
		}
		return nil
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return hwtask.Join(shutdown)
}
