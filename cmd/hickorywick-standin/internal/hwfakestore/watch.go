package hwfakestore

import (
	"encoding/json"
	"net/http"
)

type watchRequest struct {
	Create struct {
		Key           []byte    `json:"key"`
		StartRevision jsonInt64 `json:"start_revision"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type"`
	Kv   keyValue `json:"kv"`
}

type watchResult struct {
	Header responseHeader `json:"header"`
	Events []watchEvent   `json:"events,omitempty"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var in watchRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	watch := s.addWatcher(in)
	defer s.removeWatcher(watch)
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	_ = encoder.Encode(watchResponse{
		Result: watchResult{
			Header: watch.header,
		},
	})
	flusher.Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-watch.closed:
			abortConnection(w)
		case e := <-watch.events:
			if encoder.Encode(newWatchResponse(watch.header.ClusterID, e)) != nil {
				return
			}
			flusher.Flush()
		}
	}
}

// addWatcher registers a watcher and queues the past events of its key from the requested start revision on.
func (s *Store) addWatcher(in watchRequest) *watcher {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.counts.Watches++
	watch := &watcher{
		key:    string(in.Create.Key),
		events: make(chan event, watchBuffer),
		closed: make(chan struct{}),
		header: s.header(),
	}
	for _, e := range s.history {
		if e.key == watch.key && in.Create.StartRevision > 0 && e.revision >= int64(in.Create.StartRevision) {
			watch.events <- e
		}
	}
	s.watchers[watch] = true
	return watch
}

func (s *Store) removeWatcher(watch *watcher) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.watchers, watch)
}

// ReplayEvents sends every watcher all past events of its key again, as a store that serves stale data would.
func (s *Store) ReplayEvents() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for w := range s.watchers {
		for _, e := range s.history {
			if e.key == w.key && len(w.events) < watchBuffer {
				w.events <- e
			}
		}
	}
}

func newWatchResponse(cluster uint64, e event) watchResponse {
	kind := "PUT"
	if e.deleted {
		kind = "DELETE"
	}
	return watchResponse{
		Result: watchResult{
			Header: responseHeader{
				ClusterID: cluster,
				Revision:  jsonInt64(e.revision),
			},
			Events: []watchEvent{{
				Type: kind,
				Kv: keyValue{
					Key:         []byte(e.key),
					Value:       e.value,
					ModRevision: jsonInt64(e.revision),
				},
			}},
		},
	}
}
