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

	"github.com/hickorywick/hickorywick/lib/hwresponse"
)

// Etcd is a store client for the etcd v3 JSON API over HTTP.
type Etcd struct {
	endpoint string
	client   *http.Client
	timeout  time.Duration
	counters *CallCounters
}

// CallCounters count calls to the store by kind. A watch counts as one call, whatever its duration.
type CallCounters struct {
	Reads    atomic.Int64
	Writes   atomic.Int64
	Leases   atomic.Int64
	Watches  atomic.Int64
	Failures atomic.Int64
}

// NewEtcd returns a client of the store at an endpoint such as http://127.0.0.1:2379.
// Every call except a watch ends within the timeout.
func NewEtcd(endpoint string, timeout time.Duration, client *http.Client) *Etcd {
	checked := *client
	checked.Transport = hwresponse.NewTransport(client.Transport)
	return &Etcd{
		endpoint: endpoint,
		client:   &checked,
		timeout:  timeout,
		counters: &CallCounters{},
	}
}

// Counters returns the client's call counters.
func (e *Etcd) Counters() *CallCounters { return e.counters }

// jsonInt64 is a 64-bit integer, which the JSON mapping of protobuf encodes as a string.
type jsonInt64 int64

// MarshalJSON encodes the integer as a string.
func (n jsonInt64) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// jsonUint64 is an unsigned 64-bit integer, which the JSON mapping of protobuf encodes as a string.
type jsonUint64 uint64

// UnmarshalJSON decodes the integer from a string or a number.
func (n *jsonUint64) UnmarshalJSON(data []byte) error {
	value, err := strconv.ParseUint(string(bytes.Trim(data, `"`)), 10, 64)
	if err != nil {
		return trace.BadParameter("store sent %q where an unsigned integer was expected", data)
	}
	*n = jsonUint64(value)
	return nil
}

// UnmarshalJSON decodes the integer from a string or a number.
func (n *jsonInt64) UnmarshalJSON(data []byte) error {
	value, err := strconv.ParseInt(string(bytes.Trim(data, `"`)), 10, 64)
	if err != nil {
		return trace.BadParameter("store sent %q where an integer was expected", data)
	}
	*n = jsonInt64(value)
	return nil
}

type keyValue struct {
	Key         []byte    `json:"key"`
	Value       []byte    `json:"value,omitempty"`
	ModRevision jsonInt64 `json:"mod_revision,omitempty"`
}

// header is part of all responses.
type header struct {
	// ClusterID identifies the cluster. A cluster that is restored from a copy gets another one.
	ClusterID jsonUint64 `json:"cluster_id"`
	Revision  jsonInt64  `json:"revision"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs"`
}

type compare struct {
	Key         []byte    `json:"key"`
	Target      string    `json:"target"`
	Result      string    `json:"result"`
	ModRevision jsonInt64 `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte    `json:"key"`
	Value []byte    `json:"value"`
	Lease jsonInt64 `json:"lease,omitempty"`
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
	ID  jsonInt64 `json:"ID"`
	TTL jsonInt64 `json:"TTL,omitempty"`
}

type leaseResponse struct {
	Header header    `json:"header"`
	ID     jsonInt64 `json:"ID"`
	TTL    jsonInt64 `json:"TTL"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type errorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// codeNotFound and codeOutOfRange are the gRPC status codes that etcd returns for an expired lease and a compacted revision.
const (
	codeNotFound   = 5
	codeOutOfRange = 11
)

// Get returns a value.
func (e *Etcd) Get(ctx context.Context, key string) (Value, error) {
	e.counters.Reads.Add(1)
	var response rangeResponse
	request := rangeRequest{
		Key: []byte(key),
	}
	if err := e.call(ctx, "/v3/kv/range", request, &response); err != nil {
		return Value{}, trace.Wrap(err)
	}
	value := firstValue(key, response.Header.ClusterID, response)
	if !value.Revision.Exists() && len(response.Kvs) > 0 {
		return Value{}, incompleteResponse("get", "revision")
	}
	return value, nil
}

// incompleteResponse returns the error for a response that lacks a required field: the call may have taken effect.
func incompleteResponse(call, missing string) error {
	return trace.Wrap(&AmbiguousError{
		Call: call,
		Cause: &IncompleteResponseError{
			Missing: missing,
		},
	})
}

func firstValue(key string, cluster jsonUint64, response rangeResponse) Value {
	value := Value{
		Key: key,
		Revision: Revision{
			Cluster: uint64(cluster),
		},
	}
	if len(response.Kvs) > 0 {
		value.Bytes = response.Kvs[0].Value
		value.Revision.Number = int64(response.Kvs[0].ModRevision)
	}
	return value
}

// Put writes the value if the key still has the given revision.
func (e *Etcd) Put(ctx context.Context, key string, value []byte, revision Revision, lease LeaseID) (Revision, error) {
	write := operation{
		Put: &putRequest{
			Key:   []byte(key),
			Value: value,
			Lease: jsonInt64(lease.Number),
		},
	}
	return e.compareAndSwap(ctx, key, revision, write)
}

// Delete deletes the key if it still has the given revision.
func (e *Etcd) Delete(ctx context.Context, key string, revision Revision) error {
	remove := operation{
		Delete: &rangeRequest{
			Key: []byte(key),
		},
	}
	_, err := e.compareAndSwap(ctx, key, revision, remove)
	return trace.Wrap(err)
}

// compareAndSwap executes the write if the key still has the given revision, and returns the new revision.
func (e *Etcd) compareAndSwap(ctx context.Context, key string, revision Revision, write operation) (Revision, error) {
	e.counters.Writes.Add(1)
	request := txnRequest{
		Compare: []compare{{
			Key:         []byte(key),
			Target:      "MOD",
			Result:      "EQUAL",
			ModRevision: jsonInt64(revision.Number),
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
		return Revision{}, trace.Wrap(err)
	}
	if response.Succeeded && response.Header.Revision <= 0 {
		return Revision{}, incompleteResponse("put", "revision")
	}
	written := Revision{
		Cluster: uint64(response.Header.ClusterID),
		Number:  int64(response.Header.Revision),
	}
	if response.Succeeded && revision.IsOfOtherCluster(written.Cluster) {
		return Revision{}, trace.Wrap(&AmbiguousError{
			Call: "put",
			Cause: &RestoredError{
				Call: "put",
			},
		})
	}
	if response.Succeeded {
		return written, nil
	}
	conflict := &ConflictError{
		Key: key,
	}
	if len(response.Responses) > 0 && response.Responses[0].Range != nil {
		conflict.Current = firstValue(key, response.Header.ClusterID, *response.Responses[0].Range)
	}
	return Revision{}, trace.Wrap(conflict)
}

// Grant creates a lease. The time to live is rounded up, because the API uses whole seconds.
func (e *Etcd) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	e.counters.Leases.Add(1)
	request := leaseRequest{
		TTL: jsonInt64((ttl + time.Second - 1) / time.Second),
	}
	var response leaseResponse
	if err := e.call(ctx, "/v3/lease/grant", request, &response); err != nil {
		return NoLease, trace.Wrap(err)
	}
	// Keys stored with lease ID 0 would never expire.
	if response.ID == 0 {
		return NoLease, incompleteResponse("lease", "lease")
	}
	return LeaseID{
		Cluster: uint64(response.Header.ClusterID),
		Number:  int64(response.ID),
	}, nil
}

// KeepAlive renews a lease.
func (e *Etcd) KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error) {
	e.counters.Leases.Add(1)
	request := leaseRequest{
		ID: jsonInt64(lease.Number),
	}
	var response keepAliveResponse
	if err := e.call(ctx, "/v3/lease/keepalive", request, &response); err != nil {
		return 0, trace.Wrap(err)
	}
	// The same number may be another holder's lease after the store was restored.
	if response.Result.TTL <= 0 || isOtherCluster(lease.Cluster, uint64(response.Result.Header.ClusterID)) {
		return 0, trace.Wrap(&LeaseNotFoundError{
			Lease: lease,
		})
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// Revoke revokes a lease and deletes its keys.
func (e *Etcd) Revoke(ctx context.Context, lease LeaseID) error {
	e.counters.Leases.Add(1)
	request := leaseRequest{
		ID: jsonInt64(lease.Number),
	}
	return trace.Wrap(e.call(ctx, "/v3/lease/revoke", request, &struct{}{}))
}

// maxResponseBytes limits the size of a response: etcd's default request limit of 1.5 MB for the largest value, a third more for its base64 encoding, and as much again as a margin.
const maxResponseBytes = 4 << 20

// maxErrorBytes limits the size of a response that states an error: a code and a message.
const maxErrorBytes = 64 << 10

// call makes one call. Its error tells whether the store may have executed the call.
func (e *Etcd) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	reply, sent, err := e.post(ctx, path, request)
	if err != nil {
		return e.transportError(path, sent, err)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return e.statusError(path, reply)
	}
	if err := hwresponse.DecodeJSON(reply.Body, maxResponseBytes, response); err != nil {
		return e.transportError(path, true, err)
	}
	return nil
}

// post sends a request and reports whether any of it may have been sent.
func (e *Etcd) post(ctx context.Context, path string, request any) (*http.Response, bool, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	// NopCloser leaves GetBody unset, so that net/http cannot retry a write on its own.
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, e.endpoint+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	post.ContentLength = int64(len(body))
	post.Header.Set("Content-Type", "application/json")
	reply, err := e.client.Do(post)
	return reply, sent.Load(), err
}

// transportError returns UnavailableError if the call certainly did not reach the store, and AmbiguousError otherwise.
func (e *Etcd) transportError(path string, sent bool, cause error) error {
	e.counters.Failures.Add(1)
	var opError *net.OpError
	if !sent || (errors.As(cause, &opError) && opError.Op == "dial") {
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

// statusError returns the error for a response with a status other than 200.
func (e *Etcd) statusError(path string, reply *http.Response) error {
	e.counters.Failures.Add(1)
	var failure errorResponse
	if err := hwresponse.DecodeJSON(reply.Body, maxErrorBytes, &failure); err != nil {
		return e.transportError(path, true, trace.ConnectionProblem(err, "store responded with status %d", reply.StatusCode))
	}
	switch failure.Code {
	case codeNotFound:
		return &LeaseNotFoundError{}
	case codeOutOfRange:
		return &CompactedError{}
	}
	return &AmbiguousError{
		Call:  path,
		Cause: trace.ConnectionProblem(nil, "store responded with status %d: %s", reply.StatusCode, failure.Message),
	}
}
