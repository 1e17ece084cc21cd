// Package hwcommand implements the operators' commands, which change the stored documents or the state of upstreams.
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

// readBackTimeout bounds how long a write whose answer was lost is read back from the store before its outcome counts as uncertain.
const readBackTimeout = 10 * time.Second

// Invocation holds the store, the output and the author of one command.
type Invocation struct {
	Store  hwstore.Store
	Out    io.Writer
	Author string
}

// Put stores a document file as the next version of the environment that it names.
func Put(ctx context.Context, now time.Time, inv Invocation, path string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(err)
	}
	document, err := hwdocument.Decode(body)
	if err != nil {
		return trace.Wrap(err)
	}
	head, err := hwhead.New(inv.Store, readBackTimeout).Publish(ctx, now, body, hwhead.HeadWrite{
		Environment: document.Environment,
		Author:      inv.Author,
		OperationID: hwintake.NewID(),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return printHead(inv.Out, document.Environment, head)
}

func printHead(out io.Writer, environment string, head hwdocument.Head) error {
	_, err := fmt.Fprintf(out, "%s is at version %d, digest %s\n", environment, head.Version, head.Digest)
	return trace.Wrap(err)
}

// Promote stores the document in force in one environment as the next version of another, and prints what changes there.
func Promote(ctx context.Context, now time.Time, inv Invocation, from, to string) error {
	publisher := hwhead.New(inv.Store, readBackTimeout)
	source, err := publisher.ReadHead(ctx, from)
	if err != nil {
		return trace.Wrap(err)
	}
	if source.Head.Version == 0 {
		return trace.NotFound("environment %s has no document", from)
	}
	return swapHead(ctx, now, inv, publisher, to, source.Head.Digest)
}

// RollbackForward stores an earlier version's document as the next version. The version number still rises, so no instance has to return to a lower version.
func RollbackForward(ctx context.Context, now time.Time, inv Invocation, environment string, version uint64) error {
	publisher := hwhead.New(inv.Store, readBackTimeout)
	current, err := publisher.ReadHead(ctx, environment)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, past := range current.Head.History {
		if past.Version == version {
			return swapHead(ctx, now, inv, publisher, environment, past.Digest)
		}
	}
	return trace.NotFound("version %d of %s is not in its history", version, environment)
}

// swapHead prints the changes from the document in force to the document with the digest, then puts the latter in force.
func swapHead(ctx context.Context, now time.Time, inv Invocation, publisher *hwhead.Publisher, environment, digest string) error {
	current, err := publisher.ReadHead(ctx, environment)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := printDiff(ctx, inv.Out, publisher, current.Head.Digest, digest); err != nil {
		return trace.Wrap(err)
	}
	head, err := publisher.SwapHead(ctx, now, current, hwhead.HeadWrite{
		Environment: environment,
		Digest:      digest,
		Author:      inv.Author,
		OperationID: hwintake.NewID(),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return printHead(inv.Out, environment, head)
}

// printDiff prints the differences between two stored documents, given by digest. An empty from stands for an empty document.
func printDiff(ctx context.Context, out io.Writer, publisher *hwhead.Publisher, from, to string) error {
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
