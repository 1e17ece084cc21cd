// Package hwera numbers the histories of a store that can be restored from a copy.
//
// The IDs of a restored store's clusters have no order. A record in the store names the present cluster and its era; whoever finds that another cluster has responded begins the next era before it relies on the order.
package hwera

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/hickorywick/hickorywick/lib/hwstore"
)

// Era is a numbered history of a store.
type Era struct {
	// Number is higher than that of each earlier era. It is at least the Unix time of its beginning in milliseconds, because a copy may lack the number of the era before.
	Number uint64 `json:"era"`
	// Cluster is the ID of the store's cluster.
	Cluster uint64 `json:"cluster,string"`
}

// next returns the era that begins now after e.
func (e Era) next(now time.Time, cluster uint64) Era {
	return Era{
		Number:  max(e.Number+1, uint64(max(now.UnixMilli(), 0))),
		Cluster: cluster,
	}
}

// Key returns the store key of an environment's era.
func Key(environment string) string {
	return "/hickorywick/environments/" + environment + "/era"
}

// maxAttempts is how often Current tries to begin an era before it reports the failure. Each failed attempt but the last means that another writer was first or that a response was lost.
const maxAttempts = 4

// Current returns the present era of the store, and begins it if the store has been restored since the last one.
func Current(ctx context.Context, store hwstore.Store, now time.Time, environment string) (Era, error) {
	var failure error
	for range maxAttempts {
		value, err := store.Get(ctx, Key(environment))
		if err != nil {
			return Era{}, trace.Wrap(err)
		}
		var known Era
		if value.Revision.Exists() {
			if err := json.Unmarshal(value.Bytes, &known); err != nil {
				return Era{}, trace.BadParameter("cannot decode the era of %s: %v", environment, err)
			}
			if known.Cluster == value.Revision.Cluster {
				return known, nil
			}
		}
		next := known.next(now, value.Revision.Cluster)
		encoded, err := json.Marshal(next)
		if err != nil {
			return Era{}, trace.Wrap(err)
		}
		written, err := store.Put(ctx, Key(environment), encoded, value.Revision, hwstore.NoLease)
		if err == nil && written.IsOfOtherCluster(next.Cluster) {
			err = &hwstore.AmbiguousError{
				Call: "put",
				Cause: &hwstore.RestoredError{
					Call: "put",
				},
			}
		}
		if err == nil {
			return next, nil
		}
		if !isRetryable(err) {
			return Era{}, trace.Wrap(err)
		}
		failure = err
	}
	return Era{}, trace.Wrap(failure)
}

// isRetryable reports whether the record may have been written, by this or by another writer, so that it has to be read again.
func isRetryable(err error) bool {
	var conflict *hwstore.ConflictError
	var ambiguous *hwstore.AmbiguousError
	return errors.As(err, &conflict) || errors.As(err, &ambiguous)
}
