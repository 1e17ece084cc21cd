// Package hwcommand holds the operators' commands: they change what is stored.
package hwcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwhead"
	"github.com/hickorywick/hickorywick/lib/hwintake"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// patience is how long a lost answer of the store is read back.
const patience = 10 * time.Second

// Invocation is what every command works with.
type Invocation struct {
	Store  hwstore.Store
	Out    io.Writer
	Author string
}

// Put stores a document file as the next version of the environment that it names.
func Put(ctx context.Context, now time.Time, e Invocation, path string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(err)
	}
	document, err := hwdocument.Decode(body)
	if err != nil {
		return trace.Wrap(err)
	}
	head, err := hwhead.New(e.Store, patience).Publish(ctx, now, body, hwhead.HeadWrite{
		Environment: document.Environment,
		Author:      e.Author,
		OperationID: hwintake.NewID(),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return report(e.Out, document.Environment, head)
}

func report(out io.Writer, environment string, head hwdocument.Head) error {
	_, err := fmt.Fprintf(out, "%s is at version %d, digest %s\n", environment, head.Version, head.Digest)
	return trace.Wrap(err)
}

// Promote makes the document in force in one environment the next version of another, and says what changes there.
func Promote(ctx context.Context, now time.Time, e Invocation, from, to string) error {
	publisher := hwhead.New(e.Store, patience)
	source, err := publisher.ReadHead(ctx, from)
	if err != nil {
		return trace.Wrap(err)
	}
	if source.Head.Version == 0 {
		return trace.NotFound("environment %s has no document", from)
	}
	return write(ctx, now, e, publisher, to, source.Head.Digest)
}

// RollbackForward makes an earlier version's document the next version: the version number still rises, so no instance goes back.
func RollbackForward(ctx context.Context, now time.Time, e Invocation, environment string, version uint64) error {
	publisher := hwhead.New(e.Store, patience)
	current, err := publisher.ReadHead(ctx, environment)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, past := range current.Head.History {
		if past.Version == version {
			return write(ctx, now, e, publisher, environment, past.Digest)
		}
	}
	return trace.NotFound("version %d of %s is not in its history", version, environment)
}

func write(ctx context.Context, now time.Time, e Invocation, publisher *hwhead.Publisher, environment, digest string) error {
	current, err := publisher.ReadHead(ctx, environment)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := describe(ctx, e.Out, publisher, current.Head.Digest, digest); err != nil {
		return trace.Wrap(err)
	}
	head, err := publisher.SwapHead(ctx, now, current, hwhead.HeadWrite{
		Environment: environment,
		Digest:      digest,
		Author:      e.Author,
		OperationID: hwintake.NewID(),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return report(e.Out, environment, head)
}

// describe prints what changes from one stored document to another.
func describe(ctx context.Context, out io.Writer, publisher *hwhead.Publisher, from, to string) error {
	before := &hwdocument.Document{}
	if from != "" {
		body, err := publisher.ReadBody(ctx, from)
		if err != nil {
			return trace.Wrap(err)
		}
		if before, err = hwdocument.Decode(body); err != nil {
			return trace.Wrap(err)
		}
	}
	body, err := publisher.ReadBody(ctx, to)
	if err != nil {
		return trace.Wrap(err)
	}
	after, err := hwdocument.Decode(body)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, line := range hwdocument.Diff(before, after) {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
