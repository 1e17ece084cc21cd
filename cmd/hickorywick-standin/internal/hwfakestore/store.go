// Package hwfakestore implements an in-memory fake of the platform's key-value store. It serves the subset of the etcd v3 JSON API that the routers use and can inject faults.
package hwfakestore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults selects the failures that the store injects.
type Faults struct {
	// Down closes the connection of every request without a response.
	Down bool
	// Delay is added before every request is handled.
	Delay time.Duration
	// DropResponses is the number of coming transactions that are applied but whose response is lost.
	DropResponses int
	// DropRequests is the number of coming transactions that are neither applied nor answered.
	DropRequests int
}

// RequestCounts holds the number of requests handled so far, by kind.
type RequestCounts struct {
	Reads   int
	Writes  int
	Leases  int
	Watches int
}

type entry struct {
	value    []byte
	revision int64
	lease    int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type event struct {
	deleted  bool
	key      string
	value    []byte
	revision int64
}

type watcher struct {
	key    string
	events chan event
	closed chan struct{}
	// header is the store's at the start of the watch, which a change of the cluster ends.
	header responseHeader
}

// Store is an in-memory fake of the etcd store. It implements http.Handler.
type Store struct {
	lock sync.Mutex
	// cluster identifies the cluster. Like that of etcd, it is replaced when the store is restored from a copy.
	cluster  uint64
	revision int64
	entries  map[string]entry
	history  []event
	leases   map[int64]lease
	watchers map[*watcher]bool
	faults   Faults
	counts   RequestCounts
	now      func() time.Time
}

// New returns an empty store whose leases expire by the given clock.
func New(now func() time.Time) *Store {
	return &Store{
		cluster:  newClusterID(),
		revision: 1,
		entries:  map[string]entry{},
		leases:   map[int64]lease{},
		watchers: map[*watcher]bool{},
		now:      now,
	}
}

// SetFaults replaces the injected faults. Setting Down also closes all watches.
func (s *Store) SetFaults(faults Faults) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = faults
	if faults.Down {
		s.closeWatchesLocked()
	}
}

// CloseWatches closes every watch, as a restart of the store would.
func (s *Store) CloseWatches() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.closeWatchesLocked()
}

// closeWatchesLocked closes every watch. The caller holds s.lock.
func (s *Store) closeWatchesLocked() {
	for w := range s.watchers {
		close(w.closed)
		delete(s.watchers, w)
	}
}

// ExpireLeases expires every lease, as if its holder had been paused for longer than the lease's time to live.
func (s *Store) ExpireLeases() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for id := range s.leases {
		s.removeLease(id)
	}
}

// RequestCounts returns the number of requests handled so far.
func (s *Store) RequestCounts() RequestCounts {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.counts
}

// Value returns a key's value directly, regardless of injected faults.
func (s *Store) Value(key string) []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.entries[key].value
}

// jsonInt64 is a 64-bit integer that protobuf's JSON mapping encodes as a string.
type jsonInt64 int64

// MarshalJSON encodes the number as a string.
func (n jsonInt64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON accepts a string or a JSON number.
func (n *jsonInt64) UnmarshalJSON(data []byte) error {
	text := string(data)
	if len(text) >= 2 && text[0] == '"' {
		text = text[1 : len(text)-1]
	}
	value, err := strconv.ParseInt(text, 10, 64)
	*n = jsonInt64(value)
	return err
}

type keyValue struct {
	Key         []byte    `json:"key"`
	Value       []byte    `json:"value,omitempty"`
	ModRevision jsonInt64 `json:"mod_revision"`
}

type responseHeader struct {
	ClusterID uint64    `json:"cluster_id,string"`
	Revision  jsonInt64 `json:"revision"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	Header responseHeader `json:"header"`
	Kvs    []keyValue     `json:"kvs,omitempty"`
}

type putRequest struct {
	Key   []byte    `json:"key"`
	Value []byte    `json:"value"`
	Lease jsonInt64 `json:"lease"`
}

type txnOperation struct {
	Put    *putRequest   `json:"request_put"`
	Delete *rangeRequest `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []struct {
		Key         []byte    `json:"key"`
		ModRevision jsonInt64 `json:"mod_revision"`
	} `json:"compare"`
	Success []txnOperation `json:"success"`
}

type txnResult struct {
	Range *rangeResponse `json:"response_range,omitempty"`
}

type txnResponse struct {
	Header    responseHeader `json:"header"`
	Succeeded bool           `json:"succeeded"`
	Responses []txnResult    `json:"responses,omitempty"`
}

type leaseMessage struct {
	Header responseHeader `json:"header"`
	ID     jsonInt64      `json:"ID"`
	TTL    jsonInt64      `json:"TTL"`
}

type keepAliveResult struct {
	Result leaseMessage `json:"result"`
}

type rpcError struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// codeNotFound is the gRPC status code NOT_FOUND.
const codeNotFound = 5

// ServeHTTP serves the supported paths of the etcd JSON API.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	faults := s.faults
	s.lock.Unlock()
	if faults.Down {
		abortConnection(w)
		return
	}
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	switch r.URL.Path {
	case "/v3/kv/range":
		handleJSON(w, r, s.rangeKey)
	case "/v3/kv/txn":
		s.serveTxn(w, r)
	case "/v3/lease/grant":
		handleJSON(w, r, s.grantLease)
	case "/v3/lease/keepalive":
		handleJSON(w, r, s.keepLeaseAlive)
	case "/v3/lease/revoke":
		handleJSON(w, r, s.revokeLease)
	case "/v3/watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// abortConnection closes the connection without sending a response.
func abortConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// handleJSON decodes the request, runs call and encodes its result or error.
func handleJSON[In, Out any](w http.ResponseWriter, r *http.Request, call func(In) (Out, *rpcError)) {
	var in In
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out, rpcErr := call(in)
	w.Header().Set("Content-Type", "application/json")
	if rpcErr != nil {
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(rpcErr)
		return
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Store) rangeKey(in rangeRequest) (rangeResponse, *rpcError) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.removeExpiredLeases()
	s.counts.Reads++
	return s.lookup(string(in.Key)), nil
}

// header returns the header of a response. The caller holds s.lock.
func (s *Store) header() responseHeader {
	return responseHeader{
		ClusterID: s.cluster,
		Revision:  jsonInt64(s.revision),
	}
}

// lookup returns the range response for one key. The caller holds s.lock.
func (s *Store) lookup(key string) rangeResponse {
	response := rangeResponse{
		Header: s.header(),
	}
	if found, exists := s.entries[key]; exists {
		response.Kvs = []keyValue{{
			Key:         []byte(key),
			Value:       found.value,
			ModRevision: jsonInt64(found.revision),
		}}
	}
	return response
}

// serveTxn applies a transaction, subject to the DropRequests and DropResponses faults.
func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	dropRequest := s.faults.DropRequests > 0
	if dropRequest {
		s.faults.DropRequests--
	}
	dropResponse := !dropRequest && s.faults.DropResponses > 0
	if dropResponse {
		s.faults.DropResponses--
	}
	s.lock.Unlock()
	if dropRequest {
		abortConnection(w)
	}
	if !dropResponse {
		handleJSON(w, r, s.applyTxn)
		return
	}
	var in txnRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err == nil {
		_, _ = s.applyTxn(in)
	}
	abortConnection(w)
}

// applyTxn applies the success operations if every compared key has the expected revision. Otherwise it returns the first key that differs.
func (s *Store) applyTxn(in txnRequest) (txnResponse, *rpcError) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.removeExpiredLeases()
	s.counts.Writes++
	for _, c := range in.Compare {
		if s.entries[string(c.Key)].revision == int64(c.ModRevision) {
			continue
		}
		current := s.lookup(string(c.Key))
		return txnResponse{
			Header: s.header(),
			Responses: []txnResult{{
				Range: &current,
			}},
		}, nil
	}
	for _, op := range in.Success {
		if op.Put != nil {
			if _, exists := s.leases[int64(op.Put.Lease)]; op.Put.Lease != 0 && !exists {
				return txnResponse{}, &rpcError{
					Code:    codeNotFound,
					Message: "lease not found",
				}
			}
			s.putEntry(string(op.Put.Key), op.Put.Value, int64(op.Put.Lease))
		}
		if op.Delete != nil {
			s.deleteEntry(string(op.Delete.Key))
		}
	}
	return txnResponse{
		Header:    s.header(),
		Succeeded: true,
	}, nil
}

func (s *Store) putEntry(key string, value []byte, leaseID int64) {
	s.revision++
	s.entries[key] = entry{
		value:    value,
		revision: s.revision,
		lease:    leaseID,
	}
	s.recordEvent(event{
		key:      key,
		value:    value,
		revision: s.revision,
	})
}

func (s *Store) deleteEntry(key string) {
	if _, exists := s.entries[key]; !exists {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.recordEvent(event{
		deleted:  true,
		key:      key,
		revision: s.revision,
	})
}

// watchBuffer is the number of events that can be queued for a watcher; one that falls further behind is closed.
const watchBuffer = 1024

// recordEvent appends the event to the history and queues it for the watchers of its key. The caller holds s.lock.
func (s *Store) recordEvent(e event) {
	s.history = append(s.history, e)
	for w := range s.watchers {
		if w.key != e.key {
			continue
		}
		select {
		case w.events <- e:
		default:
			close(w.closed)
			delete(s.watchers, w)
		}
	}
}

func (s *Store) removeExpiredLeases() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and the keys attached to it. The caller holds s.lock.
func (s *Store) removeLease(id int64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.deleteEntry(key)
		}
	}
}

func (s *Store) grantLease(in leaseMessage) (leaseMessage, *rpcError) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.counts.Leases++
	s.revision++
	ttl := time.Duration(in.TTL) * time.Second
	s.leases[s.revision] = lease{
		ttl:     ttl,
		expires: s.now().Add(ttl),
	}
	return leaseMessage{
		Header: s.header(),
		ID:     jsonInt64(s.revision),
		TTL:    in.TTL,
	}, nil
}

func (s *Store) keepLeaseAlive(in leaseMessage) (keepAliveResult, *rpcError) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.removeExpiredLeases()
	s.counts.Leases++
	result := keepAliveResult{
		Result: leaseMessage{
			Header: s.header(),
			ID:     in.ID,
		},
	}
	if l, exists := s.leases[int64(in.ID)]; exists {
		l.expires = s.now().Add(l.ttl)
		s.leases[int64(in.ID)] = l
		result.Result.TTL = jsonInt64(l.ttl / time.Second)
	}
	return result, nil
}

func (s *Store) revokeLease(in leaseMessage) (struct{}, *rpcError) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.counts.Leases++
	s.removeLease(int64(in.ID))
	return struct{}{}, nil
}
