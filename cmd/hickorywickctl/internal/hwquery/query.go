// Package hwquery implements the operators' read-only queries.
package hwquery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwdocument"
	"github.com/hickorywick/hickorywick/lib/hwhead"
	"github.com/hickorywick/hickorywick/lib/hwresponse"
	"github.com/hickorywick/hickorywick/lib/hwrouter"
	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// queryTimeout bounds one request to a router, and the read-back of a publisher that is used only to read.
const queryTimeout = 10 * time.Second

// Validate checks a document file and prints a summary of it.
func Validate(out io.Writer, path string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(err)
	}
	document, err := hwdocument.Decode(body)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Fprintf(out, "valid: environment %s, %d accounts, %d pools, %d services\n",
		document.Environment, len(document.Accounts), len(document.Pools), len(document.Services))
	return trace.Wrap(err)
}

// Diff prints what a document file would change in the document in force of its environment.
func Diff(ctx context.Context, out io.Writer, store hwstore.Store, path string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return trace.Wrap(err)
	}
	after, err := hwdocument.Decode(body)
	if err != nil {
		return trace.Wrap(err)
	}
	publisher := hwhead.New(store, queryTimeout)
	current, err := publisher.ReadHead(ctx, after.Environment)
	if err != nil {
		return trace.Wrap(err)
	}
	before := &hwdocument.Document{}
	if current.Head.Version > 0 {
		inForce, err := publisher.ReadBody(ctx, current.Head.Digest)
		if err != nil {
			return trace.Wrap(err)
		}
		if before, err = hwdocument.Decode(inForce); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, line := range hwdocument.Diff(before, after) {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// Show prints the document in force.
func Show(ctx context.Context, out io.Writer, store hwstore.Store, environment string) error {
	publisher := hwhead.New(store, queryTimeout)
	current, err := publisher.ReadHead(ctx, environment)
	if err != nil {
		return trace.Wrap(err)
	}
	if current.Head.Version == 0 {
		return trace.NotFound("environment %s has no document", environment)
	}
	body, err := publisher.ReadBody(ctx, current.Head.Digest)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = out.Write(body)
	return trace.Wrap(err)
}

// History prints the versions of an environment, the newest first.
func History(ctx context.Context, out io.Writer, store hwstore.Store, environment string) error {
	current, err := hwhead.New(store, queryTimeout).ReadHead(ctx, environment)
	if err != nil {
		return trace.Wrap(err)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(version uint64, digest, author string, written time.Time) {
		_, _ = fmt.Fprintf(w, "%d\t%.12s\t%s\t%s\n", version, digest, author, written.Format(time.RFC3339))
	}
	head := current.Head
	if head.Version > 0 {
		line(head.Version, head.Digest, head.Author, head.Written)
	}
	for _, past := range head.History {
		line(past.Version, past.Digest, past.Author, past.Written)
	}
	return trace.Wrap(w.Flush())
}

// maxReportBytes limits what is read of a router's answer, so that one without an end does not take all memory.
const maxReportBytes = 64 << 20

// OperatorClient queries the operators' listeners of several routers. Key is sent as a bearer token.
type OperatorClient struct {
	Addresses []string
	Key       string
}

// Get decodes the JSON answer of one router's operators' listener.
func (o OperatorClient) Get(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+o.Key)
	client := http.Client{
		Transport: hwresponse.NewTransport(nil),
	}
	response, err := client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return unexpectedStatusError(address, path, response.StatusCode)
	}
	return trace.Wrap(hwresponse.DecodeJSON(response.Body, maxReportBytes, into))
}

func (o OperatorClient) statuses(ctx context.Context) ([]hwrouter.Status, error) {
	var all []hwrouter.Status
	for _, address := range o.Addresses {
		var status hwrouter.Status
		if err := o.Get(ctx, address, "/status", &status); err != nil {
			return nil, trace.Wrap(err)
		}
		all = append(all, status)
	}
	return all, nil
}

// Status prints the instances with the version in force, and the slots of each pool.
func Status(ctx context.Context, out io.Writer, client OperatorClient) error {
	statuses, err := client.statuses(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "instance\tzone\tready\tversion\tmembers\tpool\tbroker\theld\tin use\tleased\tslow")
	for _, s := range statuses {
		for _, p := range s.Pools {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\t%s\t%s\t%d\t%d\t%v\t%v\n", s.Instance, s.Zone, s.Ready, s.DocumentVersion, len(s.Members),
				p.Pool, s.Brokers[p.Pool], p.Held, p.InUse, p.Leased, p.Slow)
		}
	}
	return trace.Wrap(w.Flush())
}

// Fairness prints the service that each account received by pool, summed over the queried routers, and each pool's present fairness gap as its broker computes it.
func Fairness(ctx context.Context, out io.Writer, client OperatorClient) error {
	statuses, err := client.statuses(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	type key struct {
		pool    string
		account string
	}
	type total struct {
		service float64
		waiting int
		running int
	}
	totals := map[key]total{}
	var order []key
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, s := range statuses {
		for _, p := range s.Pools {
			for _, a := range p.Accounts {
				k := key{
					pool:    p.Pool,
					account: a.Account,
				}
				if _, seen := totals[k]; !seen {
					order = append(order, k)
				}
				totals[k] = total{
					service: totals[k].service + a.Service,
					waiting: totals[k].waiting + a.Waiting,
					running: totals[k].running + a.Running,
				}
			}
		}
	}
	_, _ = fmt.Fprintln(w, "pool\taccount\tservice\twaiting\trunning")
	for _, k := range order {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.0f\t%d\t%d\n", k.pool, k.account, totals[k].service, totals[k].waiting, totals[k].running)
	}
	for _, s := range statuses {
		for pool, gap := range s.FairnessGaps {
			_, _ = fmt.Fprintf(w, "%s\tgap now\t%.1f\t\tbroker %s\n", pool, gap, s.Instance)
		}
	}
	return trace.Wrap(w.Flush())
}
