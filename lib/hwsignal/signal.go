// Package hwsignal receives the signals that end a process from the start of its main function on, when the parts that stop gracefully don't exist yet.
package hwsignal

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/hickorywick/hickorywick/lib/hwtask"
)

// ending are the signals that end a process.
var ending = []os.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT}

// InterruptedError reports that a signal came before anything had to be stopped gracefully.
type InterruptedError struct {
	Signal os.Signal
}

// Error returns a message with the signal.
func (e *InterruptedError) Error() string { return "interrupted by signal: " + e.Signal.String() }

// ExitStatus returns the exit status by which shells report the signal.
func (e *InterruptedError) ExitStatus() int {
	const statusOfSignals = 128
	if number, ok := e.Signal.(syscall.Signal); ok {
		return statusOfSignals + int(number)
	}
	return statusOfSignals
}

// Receiver receives the signals that end the process: SIGTERM, SIGINT and SIGQUIT.
type Receiver struct {
	signals chan os.Signal

	lock sync.Mutex
	// stop stops gracefully what the process runs, or is nil.
	stop func()
	// interrupted is the signal that came before stop was set, or nil.
	interrupted os.Signal
}

// New returns a receiver. From now on, the signals don't end the process by themselves.
func New() *Receiver {
	r := &Receiver{
		signals: make(chan os.Signal, 1),
	}
	signal.Notify(r.signals, ending...)
	return r
}

// Run runs work until it returns, or until a signal comes before work has called StopWith. In that case work may still run, wherever it waits, and Run returns an *InterruptedError, after which the process should exit.
func (r *Receiver) Run(work func() error) error {
	done := hwtask.Start(context.Background(), func(context.Context) error { return work() })
	for {
		select {
		case err := <-done:
			return err
		case received := <-r.signals:
			stop := r.receive(received)
			if stop == nil {
				return &InterruptedError{
					Signal: received,
				}
			}
			stop()
		}
	}
}

// receive returns the function that stops the process gracefully, or nil.
func (r *Receiver) receive(received os.Signal) func() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.stop == nil {
		r.interrupted = received
	}
	return r.stop
}

// StopWith makes each later signal call stop, which must not block. If a signal has come before, it returns an *InterruptedError, and the caller must start nothing.
func (r *Receiver) StopWith(stop func()) error {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.interrupted != nil {
		return &InterruptedError{
			Signal: r.interrupted,
		}
	}
	r.stop = stop
	return nil
}
