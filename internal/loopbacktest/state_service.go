package loopbacktest

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"sagevale/internal/protocol"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// KeyValueStore serves the stand-in for the key-value store over HTTP, and counts the requests.
type KeyValueStore struct {
	Service      *storagetest.Service
	Requests     atomic.Int64
	RequestBytes atomic.Int64 // total size of the request bodies
	Changes      atomic.Int64 // committed puts and deletions
	traffic      *Traffic
}

// newKeyValueStore returns an empty store.
func newKeyValueStore(traffic *Traffic) *KeyValueStore {
	store := storagetest.NewService()
	store.Update(func(s *storagetest.Service) { s.ForgetSent = true })
	return &KeyValueStore{Service: store, traffic: traffic}
}

func (s *KeyValueStore) client() *storagetest.Client { return &storagetest.Client{Service: s.Service} }

// StoredSize returns the total size of all keys and values in KiB, and the number of keys.
func (s *KeyValueStore) StoredSize() (kb float64, keys int) {
	bytes := 0
	s.Service.ForEachItem(func(it storage.Item) {
		bytes += len(it.Key) + len(it.Data)
		keys++
	})
	return float64(bytes) / 1024, keys
}

// handler returns the HTTP handler of the store's protocol.
func (s *KeyValueStore) handler() http.Handler {
	mux := http.NewServeMux()
	withCounting := s.traffic.withCounting
	mux.HandleFunc("GET /store/{key...}", withCounting(StateGet, s.get))
	mux.HandleFunc("GET /store", withCounting(StateList, s.list))
	mux.HandleFunc("POST /txn", withCounting(StateTxn, s.transact))
	mux.HandleFunc("POST /grants", withCounting(StateLease, s.grantLease))
	mux.HandleFunc("POST /grants/{id}/touch", withCounting(StateLease, s.renewLease))
	mux.HandleFunc("DELETE /grants/{id}", withCounting(StateLease, s.revokeLease))
	mux.HandleFunc("GET /changes", withCounting(StateWatch, s.watch))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Requests.Add(1)
		if r.ContentLength > 0 {
			s.RequestBytes.Add(r.ContentLength)
		}
		mux.ServeHTTP(w, r)
	})
}

// errorBody is the body of an error response on the wire.
type errorBody struct {
	Error string `json:"error"`
}

// writeJSON writes a response with a JSON body. It ignores write errors, which occur if the client has disconnected.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes the response that the protocol specifies for an error of the store.
func writeError(w http.ResponseWriter, err error) {
	var conflict *storage.ConflictError
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, protocol.TxnResponse{Failed: conflict.Failed})
		return
	case errors.Is(err, storage.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, storage.ErrCompacted):
		status = http.StatusGone
	case errors.Is(err, storage.ErrLeaseExpired), errors.Is(err, storage.ErrMalformed):
		status = http.StatusBadRequest
	}
	writeJSON(w, status, errorBody{err.Error()})
}

func storedItem(it storage.Item) protocol.StoredItem {
	return protocol.StoredItem{Key: it.Key, Data: it.Data, Version: it.Version, Lease: it.Lease}
}

func (s *KeyValueStore) get(w http.ResponseWriter, r *http.Request) {
	item, err := s.client().Get(r.Context(), r.PathValue("key"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, storedItem(item))
}

func (s *KeyValueStore) list(w http.ResponseWriter, r *http.Request) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("Page")) // 0 if the parameter is missing
	items, more, revision, err := s.client().List(r.Context(), r.URL.Query().Get("Under"), r.URL.Query().Get("From"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	page := protocol.ItemPage{More: more, Revision: revision}
	for _, it := range items {
		page.Items = append(page.Items, storedItem(it))
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *KeyValueStore) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var txn protocol.Txn
	if err != nil || json.Unmarshal(body, &txn) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	var guards []storage.Guard
	for _, g := range txn.Guards {
		guards = append(guards, storage.Guard{Key: g.Key, Version: g.Version})
	}
	var ops []storage.Op
	for _, o := range txn.Ops {
		if o.Remove != "" {
			ops = append(ops, storage.Op{Key: o.Remove, Delete: true})
		} else {
			ops = append(ops, storage.Op{Key: o.Set, Data: o.Data, Lease: o.Lease})
		}
	}
	revision, err := s.client().Txn(r.Context(), guards, ops)
	if err != nil {
		writeError(w, err)
		return
	}
	s.Changes.Add(int64(len(ops)))
	writeJSON(w, http.StatusOK, protocol.TxnResponse{Revision: revision})
}

func (s *KeyValueStore) grantLease(w http.ResponseWriter, r *http.Request) {
	var request protocol.LeaseGrantRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	id, err := s.client().Grant(r.Context(), time.Duration(request.TTLMS)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, protocol.LeaseGrantResponse{ID: id})
}

// serveLeaseRequest calls operation with the lease ID from the request's path. It responds with an empty JSON object, or
// with the error.
func (s *KeyValueStore) serveLeaseRequest(w http.ResponseWriter, r *http.Request, operation func(ctx context.Context, id uint64) error) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err == nil {
		err = operation(r.Context(), id)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *KeyValueStore) renewLease(w http.ResponseWriter, r *http.Request) {
	s.serveLeaseRequest(w, r, s.client().Renew)
}

func (s *KeyValueStore) revokeLease(w http.ResponseWriter, r *http.Request) {
	s.serveLeaseRequest(w, r, s.client().Revoke)
}

// watchEvent is one event of a watch on the wire.
type watchEvent struct {
	Set     string          `json:"Set,omitempty"`
	Remove  string          `json:"Remove,omitempty"`
	Data    json.RawMessage `json:"Data,omitempty"`
	Version uint64          `json:"Stamp"`
}

// watchResponse is the response to a watch on the wire.
type watchResponse struct {
	Revision uint64       `json:"LedgerRev"`
	Events   []watchEvent `json:"Events"`
}

func (s *KeyValueStore) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64) // 0 if the parameter is missing
	holdMS, _ := strconv.Atoi(r.URL.Query().Get("HoldMs"))           // 0 if the parameter is missing
	items, revision, err := s.client().Watch(r.Context(), r.URL.Query().Get("Under"), after, time.Duration(holdMS)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	events := []watchEvent{}
	for _, it := range items {
		if it.Data == nil {
			events = append(events, watchEvent{Remove: it.Key, Version: it.Version})
		} else {
			events = append(events, watchEvent{Set: it.Key, Data: it.Data, Version: it.Version})
		}
	}
	writeJSON(w, http.StatusOK, watchResponse{Revision: revision, Events: events})
}
