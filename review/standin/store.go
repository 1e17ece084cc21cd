package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// store is a stand-in of the platform's metadata store. It holds items and answers reads; the system under test writes nothing.
type store struct {
	lock     sync.Mutex
	items    map[string]item
	revision int64
}

type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision"`
	Lease          int64  `json:"lease"`
}

func newStore() *store {
	return &store{
		items:    map[string]item{},
		revision: 100,
	}
}

// put writes a value in JSON and returns when it was acknowledged.
func (s *store) put(key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	created := s.revision
	if old, known := s.items[key]; known {
		created = old.CreateRevision
	}
	s.items[key] = item{
		Key:            key,
		Value:          encoded,
		Revision:       s.revision,
		CreateRevision: created,
	}
	return time.Now()
}

// remove deletes a key and returns when that was acknowledged.
func (s *store) remove(key string) time.Time {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.revision++
	delete(s.items, key)
	return time.Now()
}

// maxPageItems is the largest number of items in one page.
const maxPageItems = 500

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	query := r.URL.Query()
	s.lock.Lock()
	defer s.lock.Unlock()
	var answer any
	switch r.URL.Path {
	case "/hickorywick/kv-key":
		found, known := s.items[query.Get("key")]
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer = struct {
			item
			CurrentRev int64 `json:"currentRev"`
		}{item: found, CurrentRev: s.revision}
	case "/hickorywick/kv-range":
		items := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				items = append(items, i)
			}
		}
		slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		answer = map[string]any{"items": items[:min(len(items), maxPageItems)], "truncated": len(items) > maxPageItems, "currentRev": s.revision}
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// storeDoor is the address of the store for one machine, so that the store can turn that machine away.
type storeDoor struct {
	address string
	server  *http.Server
	// turnsAway makes the store answer 503 to this machine.
	turnsAway atomic.Bool
	// lists counts the reads of the list of replicas that were answered.
	lists atomic.Int64
}

func (s *store) open(ip string) (*storeDoor, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	door := &storeDoor{address: listener.Addr().String()}
	door.server = serveHTTP(listener, func(w http.ResponseWriter, r *http.Request) {
		if door.turnsAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if strings.HasSuffix(r.URL.Path, "/kv-range") {
			door.lists.Add(1)
		}
		s.serve(w, r)
	})
	return door, nil
}
