// Command hickorywick-router runs one router instance of the fleet.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/cmd/hickorywick-router/internal/hwflags"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwkratos"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwsignal"
)

const (
	// stopTimeout bounds how long a stopping router waits for its requests in flight.
	stopTimeout = 10 * time.Minute
	// maxQueuedLogLines limits the log lines that wait to be written.
	maxQueuedLogLines = 4096
	// logFlushTimeout is how long an ending process waits for its last log lines to be read.
	logFlushTimeout = 500 * time.Millisecond
)

func main() {
	signals := hwsignal.New()
	var flags hwflags.Flags
	kong.Parse(&flags,
		kong.Name("hickorywick-router"),
		kong.Description("Routes requests of client accounts to upstreams and shares capacity fairly with the other routers of the fleet."))
	err := signals.Run(func() error { return run(flags, signals) })
	var interrupted *hwsignal.InterruptedError
	if errors.As(err, &interrupted) {
		if flags.Check {
			os.Exit(interrupted.ExitStatus())
		}
		// A router that has served nobody has ended as it was told.
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hickorywick-router:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func run(flags hwflags.Flags, signals *hwsignal.Receiver) error {
	settings, err := flags.RouterSettings(time.Now())
	if err != nil {
		return trace.Wrap(err)
	}
	body, err := readDocument(flags.Document)
	if err != nil || flags.Check {
		return trace.Wrap(err)
	}
	output := hwevent.NewAsyncWriter(context.Background(), os.Stderr, maxQueuedLogLines)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
		defer cancel()
		// Without a reader of the log there is nowhere to report that lines are lost.
		_ = output.Close(ctx)
	}()
	logger := hwevent.New(output, flags.Level())
	klog.SetLogger(hwkratos.New(logger))
	listeners, err := flags.Listen()
	if err != nil {
		return trace.Wrap(err)
	}
	dependencies := hwrouter.Dependencies{
		Listeners: listeners,
		Logger:    logger,
	}
	if store := flags.NewStore(); store != nil {
		dependencies.Store = store
		dependencies.StoreCalls = store.Counters()
	}
	router, err := hwrouter.New(settings, dependencies)
	if err != nil {
		return trace.Wrap(err)
	}
	if body != nil {
		router.InstallDocument(hwdocument.Version{
			Number: 1,
			Digest: hwdocument.Digest(body),
		}, body)
	}
	app := kratos.New(
		kratos.Name("hickorywick-router"),
		kratos.ID(flags.Instance),
		kratos.Context(context.Background()),
		kratos.Server(router),
		kratos.StopTimeout(stopTimeout),
	)
	// Kratos receives signals only once its servers have begun to start.
	if err := signals.StopWith(func() { _ = app.Stop() }); err != nil {
		return err
	}
	return trace.Wrap(app.Run())
}

// readDocument reads and validates the document file of a trial without a store. An empty path gives no document.
func readDocument(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := hwdocument.Decode(body); err != nil {
		return nil, trace.Wrap(err)
	}
	return body, nil
}
