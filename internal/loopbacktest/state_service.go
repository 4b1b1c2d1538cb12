// Package loopbacktest runs controllers as real processes against stand-ins of the state
// service, the cloud and the workers, over HTTP on the loopback. The stand-ins follow the
// protocol as far as the tests need it, and the workers' own log shows what ran where.
package loopbacktest

import (
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

// KeyValueStore serves the stand-in of the state service over HTTP, and counts.
type StateService struct {
	Store    *storagetest.Service
	Requests atomic.Int64
	Bytes    atomic.Int64 // of request bodies
	Changes  atomic.Int64 // puts and deletions that were carried out
	traffic  *Traffic
}

// NewStateService makes an empty one.
func NewStateService(traffic *Traffic) *StateService {
	store := storagetest.NewService()
	store.Trouble(func(s *storagetest.Service) { s.ForgetSent = true })
	return &StateService{Store: store, traffic: traffic}
}

func (s *StateService) client() *storagetest.Client { return &storagetest.Client{Service: s.Store} }

// Stored tells how much is stored.
func (s *StateService) Stored() (kb float64, keys int) {
	bytes := 0
	s.Store.Each(func(it storage.Item) {
		bytes += len(it.Key) + len(it.Data)
		keys++
	})
	return float64(bytes) / 1024, keys
}

// Handler serves the protocol.
func (s *StateService) Handler() http.Handler {
	mux := http.NewServeMux()
	count := s.traffic.Counted
	mux.HandleFunc("GET /store/{key...}", count(StateGet, s.get))
	mux.HandleFunc("GET /store", count(StateList, s.list))
	mux.HandleFunc("POST /txn", count(StateTxn, s.transact))
	mux.HandleFunc("POST /grants", count(StateLease, s.grant))
	mux.HandleFunc("POST /grants/{id}/touch", count(StateLease, s.touch))
	mux.HandleFunc("DELETE /grants/{id}", count(StateLease, s.revoke))
	mux.HandleFunc("GET /changes", count(StateWatch, s.changes))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Requests.Add(1)
		if r.ContentLength > 0 {
			s.Bytes.Add(r.ContentLength)
		}
		mux.ServeHTTP(w, r)
	})
}

// reply writes a value as JSON.
func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// refuse turns the stand-in's errors into the protocol's.
func refuse(w http.ResponseWriter, err error) {
	var conflict *storage.ConflictError
	status := http.StatusServiceUnavailable
	switch {
	case errors.As(err, &conflict):
		reply(w, http.StatusConflict, protocol.TxnAnswer{Failed: conflict.Failed})
		return
	case errors.Is(err, storage.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, storage.ErrCompacted):
		status = http.StatusGone
	case errors.Is(err, storage.ErrLeaseExpired), errors.Is(err, storage.ErrMalformed):
		status = http.StatusBadRequest
	}
	reply(w, status, map[string]string{"error": err.Error()})
}

func storedItem(it storage.Item) protocol.StoredItem {
	return protocol.StoredItem{Key: it.Key, Data: it.Data, Version: it.Version, Lease: it.Lease}
}

func (s *StateService) get(w http.ResponseWriter, r *http.Request) {
	item, err := s.client().Get(r.Context(), r.PathValue("key"))
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, storedItem(item))
}

func (s *StateService) list(w http.ResponseWriter, r *http.Request) {
	limit, _ := strconv.Atoi(r.URL.Query().Get("Page"))
	items, more, revision, err := s.client().List(r.Context(), r.URL.Query().Get("Under"), r.URL.Query().Get("From"), limit)
	if err != nil {
		refuse(w, err)
		return
	}
	page := protocol.StoredItems{More: more, Revision: revision}
	for _, it := range items {
		page.Items = append(page.Items, storedItem(it))
	}
	reply(w, http.StatusOK, page)
}

func (s *StateService) transact(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var txn protocol.Txn
	if err != nil || json.Unmarshal(body, &txn) != nil {
		reply(w, http.StatusBadRequest, nil)
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
		refuse(w, err)
		return
	}
	s.Changes.Add(int64(len(ops)))
	reply(w, http.StatusOK, protocol.TxnAnswer{Revision: revision})
}

func (s *StateService) grant(w http.ResponseWriter, r *http.Request) {
	var life protocol.Life
	if json.NewDecoder(r.Body).Decode(&life) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	id, err := s.client().Grant(r.Context(), time.Duration(life.LifeMS)*time.Millisecond)
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, protocol.Lease{ID: id})
}

func (s *StateService) lease(w http.ResponseWriter, r *http.Request, do func(id uint64) error) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err == nil {
		err = do(id)
	}
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *StateService) touch(w http.ResponseWriter, r *http.Request) {
	s.lease(w, r, func(id uint64) error { return s.client().Touch(r.Context(), id) })
}

func (s *StateService) revoke(w http.ResponseWriter, r *http.Request) {
	s.lease(w, r, func(id uint64) error { return s.client().Revoke(r.Context(), id) })
}

// change is one change of a watch on the wire.
type change struct {
	Set     string          `json:"Set,omitempty"`
	Remove  string          `json:"Remove,omitempty"`
	Data    json.RawMessage `json:"Data,omitempty"`
	Version uint64          `json:"Stamp"`
}

func (s *StateService) changes(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	hold, _ := strconv.Atoi(r.URL.Query().Get("HoldMs"))
	items, revision, err := s.client().Watch(r.Context(), r.URL.Query().Get("Under"), after, time.Duration(hold)*time.Millisecond)
	if err != nil {
		refuse(w, err)
		return
	}
	events := []change{}
	for _, it := range items {
		if it.Data == nil {
			events = append(events, change{Remove: it.Key, Version: it.Version})
		} else {
			events = append(events, change{Set: it.Key, Data: it.Data, Version: it.Version})
		}
	}
	reply(w, http.StatusOK, map[string]any{"LedgerRev": revision, "Events": events})
}
