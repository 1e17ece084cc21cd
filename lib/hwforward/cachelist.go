package hwforward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hickorywick/hickorywick/lib/hwevent"
	"github.com/hickorywick/hickorywick/lib/hwlink"
	"github.com/hickorywick/hickorywick/lib/hwplace"
	"github.com/hickorywick/hickorywick/lib/hwprompt"
	"github.com/hickorywick/hickorywick/lib/hwquarantine"
)

const (
	// cacheListTimeout limits one query. A later answer is of little use, because by then the router has sent prompts itself.
	cacheListTimeout = 500 * time.Millisecond
	// maxCacheListBytes limits an engine's answer: some 50 bytes for each of the segments that fit its memory.
	maxCacheListBytes = 4 << 20
)

// listCaches asks the engines of a pool what they have cached when the router gets its first list of them. A router that has just started would otherwise assume that every prompt has to be prefilled whole, choose engines without regard to their caches, and refuse requests that could be served in time. The lock must be held.
func (r *Router) listCaches(pool string, p *hwplace.Pool, upstreams []hwplace.Upstream) {
	if r.cacheLister == nil || !p.HasEngines() || len(upstreams) == 0 || r.cachesListed[pool] {
		return
	}
	r.cachesListed[pool] = true
	delete(r.cacheListsPending, pool)
	for _, u := range upstreams {
		r.startCacheList(pool, u)
	}
}

// startCacheList asks one engine in the background, or once its zone is restored. The lock must be held.
func (r *Router) startCacheList(pool string, u hwplace.Upstream) {
	if r.evacuations.IsEvacuated(u.Zone) {
		r.cacheListsPending[pool] = append(r.cacheListsPending[pool], u)
		return
	}
	// A query counts as a request, and the cache of a cold engine has just been emptied.
	if p := r.pools[pool]; p != nil && p.IsCold(r.clock.Now(), u.ID) {
		return
	}
	r.cacheLists.start(context.Background(), func(ctx context.Context) error {
		r.listCache(ctx, pool, u)
		return nil
	})
}

// listCache asks one engine what it has cached. Without an answer the router learns it from the prompts that it sends.
func (r *Router) listCache(ctx context.Context, pool string, u hwplace.Upstream) {
	segments, err := r.queryCache(ctx, pool, u)
	var withheld *hwlink.WithheldError
	if errors.As(err, &withheld) {
		r.lock.Lock()
		defer r.lock.Unlock()
		r.cacheListsPending[pool] = append(r.cacheListsPending[pool], u)
		return
	}
	if err != nil {
		r.logger.Emit(hwevent.CacheNotListed, hwevent.With("upstream", u.ID), hwevent.With("pool", pool), hwevent.With("cause", err.Error()))
		return
	}
	r.logger.Emit(hwevent.CacheListed, hwevent.With("upstream", u.ID), hwevent.With("pool", pool), hwevent.With("segments", len(segments)))
	r.lock.Lock()
	defer r.lock.Unlock()
	if p := r.pools[pool]; p != nil {
		p.RecordCacheList(u.ID, segments)
	}
	for _, segment := range segments {
		r.segments.RecordCached(hwquarantine.PromptSegment(segment.ContentHash()))
	}
}

func (r *Router) queryCache(ctx context.Context, pool string, u hwplace.Upstream) ([]hwprompt.CachedSegment, error) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	response, exchangeErr := r.transport.Do(ctx, r.clock.Now(), &hwlink.Request{
		Address: u.Address,
		Process: endpoint(u).Process,
		Method:  http.MethodGet,
		Target:  r.cacheLister.CacheListTarget(),
		Host:    u.Address,
		Header:  http.Header{},
		// The zone may have been evacuated, or the engine become cold, while the connection was opened.
		Withhold: func() bool { return r.isEvacuated(u) || r.isUpstreamCold(pool, u.ID) },
	})
	if exchangeErr != nil {
		return nil, exchangeErr
	}
	defer response.Close()
	if response.Status != http.StatusOK {
		return nil, &ResponseError{
			Reason: "to the query for cached segments has status " + http.StatusText(response.Status),
		}
	}
	var reserved int64
	defer func() { r.bodyMemory.reserved.Add(-reserved) }()
	body, err := readLimited(response.Body, response.Length, maxCacheListBytes, func(bytes int64) error {
		if !r.bodyMemory.reserve(bytes) {
			return &BodyMemoryError{
				Requested: bytes,
				Limit:     r.bodyMemory.limit,
			}
		}
		reserved += bytes
		return nil
	})
	if err != nil {
		return nil, err
	}
	response.ReleaseConnection(r.clock.Now())
	return r.cacheLister.ParseCacheList(body)
}
