// Package hwfakestore stands in for the platform's key-value service: the subset of the etcd v3 JSON API that the routers use, with faults on demand.
package hwfakestore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults are the ways in which the service misbehaves.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Delay holds every answer back.
	Delay time.Duration
	// DropResponses is how many writes take effect and then get no answer.
	DropResponses int
	// DropRequests is how many writes get no answer and do not take effect.
	DropRequests int
}

// RequestCounts are the calls taken so far.
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
	cut    chan struct{}
}

// Store is the stand-in. It implements http.Handler.
type Store struct {
	lock     sync.Mutex
	revision int64
	entries  map[string]entry
	history  []event
	leases   map[int64]lease
	watchers map[*watcher]bool
	faults   Faults
	counts   RequestCounts
	now      func() time.Time
}

// New returns an empty store whose leases run on the given clock.
func New(now func() time.Time) *Store {
	return &Store{
		revision: 1,
		entries:  map[string]entry{},
		leases:   map[int64]lease{},
		watchers: map[*watcher]bool{},
		now:      now,
	}
}

// SetFaults changes how the store misbehaves. Going down cuts the watches.
func (s *Store) SetFaults(faults Faults) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = faults
	if faults.Down {
		s.cutWatches()
	}
}

// CloseWatches ends every watch, as a restart of the service does.
func (s *Store) CloseWatches() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.cutWatches()
}

func (s *Store) cutWatches() {
	for w := range s.watchers {
		close(w.cut)
		delete(s.watchers, w)
	}
}

// ExpireLeases ends every lease, as happens to holders that were paused too long.
func (s *Store) ExpireLeases() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// RequestCounts returns the calls taken so far.
func (s *Store) RequestCounts() RequestCounts {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.counts
}

// Value returns a key's value, past every fault.
func (s *Store) Value(key string) []byte {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.entries[key].value
}

type text64 int64

// MarshalJSON writes the number as a string, as the published mapping does.
func (n text64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON reads the number from a string or a plain number.
func (n *text64) UnmarshalJSON(data []byte) error {
	text := string(data)
	if len(text) >= 2 && text[0] == '"' {
		text = text[1 : len(text)-1]
	}
	value, err := strconv.ParseInt(text, 10, 64)
	*n = text64(value)
	return err
}

type pair struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision text64 `json:"mod_revision"`
}

type header struct {
	Revision text64 `json:"revision"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	Header header `json:"header"`
	Kvs    []pair `json:"kvs,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease text64 `json:"lease"`
}

type operation struct {
	Put    *putRequest   `json:"request_put"`
	Delete *rangeRequest `json:"request_delete_range"`
}

type txnRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision text64 `json:"mod_revision"`
	} `json:"compare"`
	Success []operation `json:"success"`
}

type txnResult struct {
	Range *rangeResponse `json:"response_range,omitempty"`
}

type txnResponse struct {
	Header    header      `json:"header"`
	Succeeded bool        `json:"succeeded"`
	Responses []txnResult `json:"responses,omitempty"`
}

type leaseMessage struct {
	ID  text64 `json:"ID"`
	TTL text64 `json:"TTL"`
}

type keepAliveResult struct {
	Result leaseMessage `json:"result"`
}

type failure struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

const codeNotFound = 5

// ServeHTTP answers the published paths.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	faults := s.faults
	s.lock.Unlock()
	if faults.Down {
		abort(w)
		return
	}
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	switch r.URL.Path {
	case "/v3/kv/range":
		answer(w, r, s.read)
	case "/v3/kv/txn":
		s.write(w, r)
	case "/v3/lease/grant":
		answer(w, r, s.grant)
	case "/v3/lease/keepalive":
		answer(w, r, s.keepAlive)
	case "/v3/lease/revoke":
		answer(w, r, s.revoke)
	case "/v3/watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// abort cuts the connection without an answer.
func abort(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func answer[In, Out any](w http.ResponseWriter, r *http.Request, call func(In) (Out, *failure)) {
	var in In
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	out, failed := call(in)
	w.Header().Set("Content-Type", "application/json")
	if failed != nil {
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(failed)
		return
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Store) read(in rangeRequest) (rangeResponse, *failure) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire()
	s.counts.Reads++
	return s.rangeOf(string(in.Key)), nil
}

func (s *Store) rangeOf(key string) rangeResponse {
	response := rangeResponse{
		Header: header{
			Revision: text64(s.revision),
		},
	}
	if found, known := s.entries[key]; known {
		response.Kvs = []pair{{
			Key:         []byte(key),
			Value:       found.value,
			ModRevision: text64(found.revision),
		}}
	}
	return response
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	s.lock.Lock()
	loseCall := s.faults.DropRequests > 0
	if loseCall {
		s.faults.DropRequests--
	}
	loseAnswer := !loseCall && s.faults.DropResponses > 0
	if loseAnswer {
		s.faults.DropResponses--
	}
	s.lock.Unlock()
	if loseCall {
		abort(w)
	}
	if !loseAnswer {
		answer(w, r, s.transact)
		return
	}
	var in txnRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err == nil {
		_, _ = s.transact(in)
	}
	abort(w)
}

func (s *Store) transact(in txnRequest) (txnResponse, *failure) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire()
	s.counts.Writes++
	for _, c := range in.Compare {
		if s.entries[string(c.Key)].revision == int64(c.ModRevision) {
			continue
		}
		found := s.rangeOf(string(c.Key))
		return txnResponse{
			Header: header{
				Revision: text64(s.revision),
			},
			Responses: []txnResult{{
				Range: &found,
			}},
		}, nil
	}
	for _, op := range in.Success {
		if op.Put != nil {
			if _, known := s.leases[int64(op.Put.Lease)]; op.Put.Lease != 0 && !known {
				return txnResponse{}, &failure{
					Code:    codeNotFound,
					Message: "lease not found",
				}
			}
			s.set(string(op.Put.Key), op.Put.Value, int64(op.Put.Lease))
		}
		if op.Delete != nil {
			s.remove(string(op.Delete.Key))
		}
	}
	return txnResponse{
		Header: header{
			Revision: text64(s.revision),
		},
		Succeeded: true,
	}, nil
}

func (s *Store) set(key string, value []byte, leaseID int64) {
	s.revision++
	s.entries[key] = entry{
		value:    value,
		revision: s.revision,
		lease:    leaseID,
	}
	s.publish(event{
		key:      key,
		value:    value,
		revision: s.revision,
	})
}

func (s *Store) remove(key string) {
	if _, known := s.entries[key]; !known {
		return
	}
	s.revision++
	delete(s.entries, key)
	s.publish(event{
		deleted:  true,
		key:      key,
		revision: s.revision,
	})
}

// backlog is how many events a watcher may lag behind before it is cut.
const backlog = 1024

func (s *Store) publish(e event) {
	s.history = append(s.history, e)
	for w := range s.watchers {
		if w.key != e.key {
			continue
		}
		select {
		case w.events <- e:
		default:
			close(w.cut)
			delete(s.watchers, w)
		}
	}
}

func (s *Store) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) grant(in leaseMessage) (leaseMessage, *failure) {
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
		ID:  text64(s.revision),
		TTL: in.TTL,
	}, nil
}

func (s *Store) keepAlive(in leaseMessage) (keepAliveResult, *failure) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire()
	s.counts.Leases++
	result := keepAliveResult{
		Result: leaseMessage{
			ID: in.ID,
		},
	}
	if l, known := s.leases[int64(in.ID)]; known {
		l.expires = s.now().Add(l.ttl)
		s.leases[int64(in.ID)] = l
		result.Result.TTL = text64(l.ttl / time.Second)
	}
	return result, nil
}

func (s *Store) revoke(in leaseMessage) (struct{}, *failure) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.counts.Leases++
	s.endLease(int64(in.ID))
	return struct{}{}, nil
}
