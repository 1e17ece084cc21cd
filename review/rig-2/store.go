package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// store is a stand-in of the platform's metadata store: kv-key and kv-range, linearizable, one revision counter.
type store struct {
	lock     sync.Mutex
	items    map[string]storeItem
	revision int64
	address  string
	// silent is set during an outage in which no call gets an answer.
	silent bool
}

// setSilent begins or ends an outage. Calls that arrive during one are never answered, and leases pause.
func (s *store) setSilent(silent bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.silent = silent
}

// isSilent reports whether an outage is under way.
func (s *store) isSilent() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.silent
}

type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision"`
	Lease          int64  `json:"lease"`
}

// pageItems is the number of items in one page of a range.
const pageItems = 500

func newStore(ip string) (*store, error) {
	s := &store{items: map[string]storeItem{}, revision: 10}
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes a key; its return is the acknowledgement.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	item := storeItem{Key: key, Value: encoded, Revision: s.revision, CreateRevision: s.revision}
	if old, found := s.items[key]; found {
		item.CreateRevision = old.CreateRevision
	}
	s.items[key] = item
}

func (s *store) remove(key string) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if _, found := s.items[key]; found {
		s.revision++
		delete(s.items, key)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilent() {
		// The caller gives up.
		<-r.Context().Done()
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	query := r.URL.Query()
	var answer any
	switch r.URL.Path {
	case "/hickorywick/kv-key":
		item, found := s.items[query.Get("key")]
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer = struct {
			storeItem
			CurrentRev int64 `json:"currentRev"`
		}{item, s.revision}
	case "/hickorywick/kv-range":
		items := []storeItem{}
		for key, item := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				items = append(items, item)
			}
		}
		slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
		truncated := len(items) > pageItems
		answer = map[string]any{"items": items[:min(len(items), pageItems)], "truncated": truncated, "currentRev": s.revision}
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
