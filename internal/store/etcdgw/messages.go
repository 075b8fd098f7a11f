// Package etcdgw implements store.Store over the HTTP/JSON gateway of the etcd v3 API. In
// messages, keys and values are base64 strings and 64-bit integers are decimal strings.
package etcdgw

import "bamboofork/internal/store"

// Paths of the gateway.
const (
	PathRange       = "/v3/kv/range"
	PathTxn         = "/v3/kv/txn"
	PathDeleteRange = "/v3/kv/deleterange"
	PathLeaseGrant  = "/v3/lease/grant"
	PathLeaseRevoke = "/v3/lease/revoke"
	PathKeepAlive   = "/v3/lease/keepalive"
	PathWatch       = "/v3/watch"
	PathAuth        = "/v3/auth/authenticate"
)

// Error codes of the gateway (gRPC status codes).
const (
	CodeNotFound          = 5
	CodePermissionDenied  = 7
	CodeResourceExhausted = 8
	CodeOutOfRange        = 11
	CodeUnavailable       = 14
	CodeUnauthenticated   = 16
	CodeUnknown           = 2
)

// Header carries the store's revision in each response.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is a key with its value.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads up to Limit keys in [Key, RangeEnd), or one key if RangeEnd is empty. A Limit of 0 means all keys.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// Compare is a condition of a transaction. The only condition in use is that the key's modification revision (Target "MOD")
// equals ModRevision (Result "EQUAL").
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision int64  `json:"mod_revision,string"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Put   *PutRequest   `json:"request_put,omitempty"`
	Range *RangeRequest `json:"request_range,omitempty"`
}

// TxnRequest runs Success if all comparisons hold, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
	Failure []RequestOp `json:"failure"`
}

// ResponseOp is the response to one RequestOp.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// DeleteRangeRequest deletes keys in [Key, RangeEnd).
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse is the response to a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,string,omitempty"`
}

// LeaseRequest grants, renews or revokes a lease. To grant a lease, TTL is set, in seconds. To renew or revoke a lease, ID is
// set.
type LeaseRequest struct {
	TTL int64 `json:"TTL,string,omitempty"`
	ID  int64 `json:"ID,string,omitempty"`
}

// LeaseResponse is the response to a LeaseRequest. TTL is in seconds.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveResponse wraps the streamed response to a lease renewal.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys and the first revision of a watch.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchEvent is a change of a key. Type is empty for a put and "DELETE" for a deletion.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchMessage is one line of a watch stream.
type WatchMessage struct {
	Result struct {
		Header          Header       `json:"header"`
		Created         bool         `json:"created,omitempty"`
		Canceled        bool         `json:"canceled,omitempty"`
		CompactRevision int64        `json:"compact_revision,string,omitempty"`
		Events          []WatchEvent `json:"events,omitempty"`
	} `json:"result"`
}

// AuthRequest requests a token for a user.
type AuthRequest struct {
	Name     string `json:"name"`
	Password string `json:"password"`
}

// AuthResponse carries the token for the Authorization header of later calls.
type AuthResponse struct {
	Header Header `json:"header"`
	Token  string `json:"token"`
}

// ErrorBody is the body of a response with a status other than 200.
type ErrorBody struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// ToWire converts a store.KV to its JSON form.
func ToWire(kv store.KV) KeyValue {
	return KeyValue{Key: []byte(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision, Lease: int64(kv.Lease)}
}

// fromWire converts the JSON form of a key to a store.KV.
func fromWire(kv KeyValue) store.KV {
	return store.KV{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision, Lease: store.LeaseID(kv.Lease)}
}
