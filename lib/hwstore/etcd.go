package hwstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// Etcd speaks the published etcd v3 JSON API over HTTP.
type Etcd struct {
	endpoint string
	client   *http.Client
	timeout  time.Duration
	calls    *CallCounters
}

// CallCounters counts calls to the store by kind. A waiting watch counts as one call.
type CallCounters struct {
	Reads    atomic.Int64
	Writes   atomic.Int64
	Leases   atomic.Int64
	Watches  atomic.Int64
	Failures atomic.Int64
}

// NewEtcd returns an adapter for the service at an endpoint such as http://127.0.0.1:2379.
// Every call but a watch ends within the timeout.
func NewEtcd(endpoint string, timeout time.Duration, client *http.Client) *Etcd {
	return &Etcd{
		endpoint: endpoint,
		client:   client,
		timeout:  timeout,
		calls:    &CallCounters{},
	}
}

// Counters returns the adapter's counters.
func (e *Etcd) Counters() *CallCounters { return e.calls }

// number is a 64-bit integer, which the published JSON mapping writes as a string.
type number int64

// MarshalJSON writes the number as a string.
func (n number) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON reads the number from a string or a plain number.
func (n *number) UnmarshalJSON(data []byte) error {
	value, err := strconv.ParseInt(string(bytes.Trim(data, `"`)), 10, 64)
	if err != nil {
		return trace.BadParameter("the store sent %q where a number belongs", data)
	}
	*n = number(value)
	return nil
}

type pair struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision number `json:"mod_revision,omitempty"`
}

type header struct {
	Revision number `json:"revision"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	Header header `json:"header"`
	Kvs    []pair `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision number `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease number `json:"lease,omitempty"`
}

type operation struct {
	Put    *putRequest   `json:"request_put,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
	Range  *rangeRequest `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
	Responses []struct {
		Range *rangeResponse `json:"response_range,omitempty"`
	} `json:"responses"`
}

type leaseRequest struct {
	ID  number `json:"ID"`
	TTL number `json:"TTL,omitempty"`
}

type leaseResponse struct {
	ID  number `json:"ID"`
	TTL number `json:"TTL"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type failure struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// codeNotFound and codeOutOfRange are the status codes of the published API for a lapsed lease and a compacted revision.
const (
	codeNotFound   = 5
	codeOutOfRange = 11
)

// Get returns a value.
func (e *Etcd) Get(ctx context.Context, key string) (Value, error) {
	e.calls.Reads.Add(1)
	var response rangeResponse
	request := rangeRequest{
		Key: []byte(key),
	}
	if err := e.call(ctx, "/v3/kv/range", request, &response); err != nil {
		return Value{}, trace.Wrap(err)
	}
	value := valueOf(key, response)
	if value.Revision <= 0 && len(response.Kvs) > 0 {
		return Value{}, unstated("get", "revision")
	}
	return value, nil
}

// unstated is the error of an answer that cannot be relied on: the call may have taken effect.
func unstated(call, lacks string) error {
	return trace.Wrap(&AmbiguousError{
		Call: call,
		Cause: &IncompleteResponseError{
			Missing: lacks,
		},
	})
}

func valueOf(key string, response rangeResponse) Value {
	if len(response.Kvs) == 0 {
		return Value{
			Key: key,
		}
	}
	return Value{
		Key:      key,
		Bytes:    response.Kvs[0].Value,
		Revision: int64(response.Kvs[0].ModRevision),
	}
}

// Put writes if the key's revision is still the given one.
func (e *Etcd) Put(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (int64, error) {
	write := operation{
		Put: &putRequest{
			Key:   []byte(key),
			Value: value,
			Lease: number(lease),
		},
	}
	return e.swap(ctx, key, revision, write)
}

// Delete removes the key if its revision is still the given one.
func (e *Etcd) Delete(ctx context.Context, key string, revision int64) error {
	remove := operation{
		Delete: &rangeRequest{
			Key: []byte(key),
		},
	}
	_, err := e.swap(ctx, key, revision, remove)
	return trace.Wrap(err)
}

func (e *Etcd) swap(ctx context.Context, key string, revision int64, write operation) (int64, error) {
	e.calls.Writes.Add(1)
	request := txnRequest{
		Compare: []compare{{
			Key:         []byte(key),
			Target:      "MOD",
			Result:      "EQUAL",
			ModRevision: number(revision),
		}},
		Success: []operation{write},
		Failure: []operation{{
			Range: &rangeRequest{
				Key: []byte(key),
			},
		}},
	}
	var response txnResponse
	if err := e.call(ctx, "/v3/kv/txn", request, &response); err != nil {
		return 0, trace.Wrap(err)
	}
	if response.Succeeded && response.Header.Revision <= 0 {
		return 0, unstated("put", "revision")
	}
	if response.Succeeded {
		return int64(response.Header.Revision), nil
	}
	conflict := &ConflictError{
		Key: key,
	}
	if len(response.Responses) > 0 && response.Responses[0].Range != nil {
		conflict.Current = valueOf(key, *response.Responses[0].Range)
	}
	return 0, trace.Wrap(conflict)
}

// Grant opens a lease; the API counts in whole seconds, so the time is rounded up.
func (e *Etcd) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	e.calls.Leases.Add(1)
	request := leaseRequest{
		TTL: number((ttl + time.Second - 1) / time.Second),
	}
	var response leaseResponse
	if err := e.call(ctx, "/v3/lease/grant", request, &response); err != nil {
		return NoLease, trace.Wrap(err)
	}
	// A lease without a name would store keys that never expire.
	if LeaseID(response.ID) == NoLease {
		return NoLease, unstated("lease", "lease")
	}
	return LeaseID(response.ID), nil
}

// KeepAlive renews a lease.
func (e *Etcd) KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error) {
	e.calls.Leases.Add(1)
	request := leaseRequest{
		ID: number(lease),
	}
	var response keepAliveResponse
	if err := e.call(ctx, "/v3/lease/keepalive", request, &response); err != nil {
		return 0, trace.Wrap(err)
	}
	if response.Result.TTL <= 0 {
		return 0, trace.Wrap(&LeaseNotFoundError{
			Lease: lease,
		})
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke ends a lease.
func (e *Etcd) Revoke(ctx context.Context, lease LeaseID) error {
	e.calls.Leases.Add(1)
	request := leaseRequest{
		ID: number(lease),
	}
	return trace.Wrap(e.call(ctx, "/v3/lease/revoke", request, &struct{}{}))
}

// answerBytes bounds an answer of the store, in bytes: a value of the largest document, 1.5 MB as etcd allows by default, is a third longer as text, and there is room for as much again.
const answerBytes = 4 << 20

// call makes one call and says truthfully whether the store may have taken it.
func (e *Etcd) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	answer, sent, err := e.post(ctx, path, request)
	if err != nil {
		return e.lost(path, sent, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return e.refusal(path, answer)
	}
	body := http.MaxBytesReader(nil, answer.Body, answerBytes)
	if err := json.NewDecoder(body).Decode(response); err != nil {
		return e.lost(path, true, err)
	}
	// The rest is read so that the connection can be used again.
	_, _ = io.Copy(io.Discard, body)
	return nil
}

func (e *Etcd) post(ctx context.Context, path string, request any) (*http.Response, bool, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	// A body that cannot be rewound keeps the HTTP library from sending a write twice by itself.
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, e.endpoint+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	post.ContentLength = int64(len(body))
	post.Header.Set("Content-Type", "application/json")
	answer, err := e.client.Do(post)
	return answer, sent.Load(), err
}

func (e *Etcd) lost(path string, sent bool, cause error) error {
	e.calls.Failures.Add(1)
	var dial *net.OpError
	if !sent || (errors.As(cause, &dial) && dial.Op == "dial") {
		return &UnavailableError{
			Call:  path,
			Cause: cause,
		}
	}
	return &AmbiguousError{
		Call:  path,
		Cause: cause,
	}
}

func (e *Etcd) refusal(path string, answer *http.Response) error {
	e.calls.Failures.Add(1)
	var told failure
	if err := json.NewDecoder(io.LimitReader(answer.Body, 1<<16)).Decode(&told); err != nil {
		return e.lost(path, true, trace.ConnectionProblem(err, "the store answered with status %d", answer.StatusCode))
	}
	switch told.Code {
	case codeNotFound:
		return &LeaseNotFoundError{}
	case codeOutOfRange:
		return &CompactedError{}
	}
	return &AmbiguousError{
		Call:  path,
		Cause: trace.ConnectionProblem(nil, "the store answered with status %d: %s", answer.StatusCode, told.Message),
	}
}
