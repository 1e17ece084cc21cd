package hwquery

import (
	"context"
	"io"
	"os"

	"github.com/hickorywick/hickorywick/lib/hwcheck"
	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwhead"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// CheckRequest states what to check a document file against, and how to report it.
type CheckRequest struct {
	File string
	// Against is the path of another version, or empty. InForce compares with the document in force.
	Against string
	InForce bool
	Strict  bool
	JSON    bool
}

// inForce is the name of the document in force in a report.
const inForce = "in-force"

// Check prints the findings of a document file and its differences from another version. It only reads from the store, and only if asked to compare with the document in force.
func Check(ctx context.Context, out io.Writer, store hwstore.Store, request CheckRequest) error {
	input := readInput(request.File)
	var against *hwcheck.Input
	switch document, err := hwdocument.Decode(input.Body); {
	case request.Against != "":
		other := readInput(request.Against)
		against = &other
	case request.InForce && input.Err == nil && err == nil:
		other := readInForce(ctx, store, document.Environment)
		against = &other
	}
	return hwcheck.NewReport(hwdocument.CheckBody, input, against).Print(out, request.JSON, request.Strict)
}

func readInput(path string) hwcheck.Input {
	body, err := os.ReadFile(path)
	return hwcheck.Input{
		Name: path,
		Body: body,
		Err:  err,
	}
}

// readInForce reads the document in force of an environment.
func readInForce(ctx context.Context, store hwstore.Store, environment string) hwcheck.Input {
	input := hwcheck.Input{
		Name: inForce,
	}
	publisher := hwhead.New(store, queryTimeout)
	current, err := publisher.ReadHead(ctx, environment)
	if err != nil || current.Head.Version == 0 {
		input.Err = err
		input.Absent = err == nil
		return input
	}
	input.Body, input.Err = publisher.ReadBody(ctx, current.Head.Digest)
	return input
}
