//go:build review

package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the state service. It keeps everything in memory.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	leases   map[uint64]*lease
	last     uint64 // id of the lease that was granted last
	events   []event
	changed  chan struct{} // closed at the next change
}

type item struct {
	Data    json.RawMessage
	Version uint64
	Lease   uint64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type event struct {
	Set     string          `json:"Set,omitempty"`
	Remove  string          `json:"Remove,omitempty"`
	Data    json.RawMessage `json:"Data,omitempty"`
	Version uint64          `json:"Stamp"`
}

func newStore() *Store {
	return &Store{items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{})}
}

type entry struct {
	Key     string          `json:"K"`
	Data    json.RawMessage `json:"Data"`
	Version uint64          `json:"Stamp"`
	Lease   uint64          `json:"Tether,omitempty"`
}

func reply(w http.ResponseWriter, status int, v any) {
	raw, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type object = map[string]any

// expire ends the leases that were not renewed in time. s.mu must be held.
func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.end(id)
		}
	}
}

func (s *Store) end(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			delete(s.items, key)
			s.publish(event{Remove: key, Version: s.revision})
		}
	}
}

func (s *Store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Value returns the value of a key, or nil.
func (s *Store) Value(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.items[key].Data
}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.get)
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /grants", s.grant)
	mux.HandleFunc("POST /grants/{id}/touch", s.touch)
	mux.HandleFunc("DELETE /grants/{id}", s.revoke)
	mux.HandleFunc("GET /changes", s.watch)
	return mux
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	key := r.PathValue("key")
	it, ok := s.items[key]
	if !ok {
		reply(w, 404, object{"LedgerRev": s.revision})
		return
	}
	reply(w, 200, entry{key, it.Data, it.Version, it.Lease})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix, from := q.Get("Under"), q.Get("From")
	limit := 1000
	if n, err := strconv.Atoi(q.Get("Page")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > from {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	entries, bytes, more := []entry{}, 0, false
	for _, key := range keys {
		it := s.items[key]
		bytes += len(key) + len(it.Data) + 64
		if len(entries) == limit || len(entries) > 0 && bytes > 512<<10 {
			more = true
			break
		}
		entries = append(entries, entry{key, it.Data, it.Version, it.Lease})
	}
	reply(w, 200, object{"Items": entries, "More": more, "LedgerRev": s.revision})
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Guards []struct {
			K     string
			Stamp uint64
		}
		Apply []struct {
			Set, Remove string
			Data        json.RawMessage
			Tether      uint64
		}
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, op := range t.Apply {
		if s.leases[op.Tether] == nil && op.Tether != 0 {
			reply(w, 400, object{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, g := range t.Guards {
		if s.items[g.K].Version != g.Stamp {
			failed = append(failed, g.K)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, object{"failed": failed, "LedgerRev": s.revision})
		return
	}
	if len(t.Apply) > 0 {
		s.revision++
	}
	for _, op := range t.Apply {
		if op.Remove != "" {
			delete(s.items, op.Remove)
			s.publish(event{Remove: op.Remove, Version: s.revision})
			continue
		}
		s.items[op.Set] = item{op.Data, s.revision, op.Tether}
		s.publish(event{Set: op.Set, Data: op.Data, Version: s.revision})
	}
	reply(w, 200, object{"LedgerRev": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var g struct{ LifeMs int64 }
	if json.NewDecoder(r.Body).Decode(&g) != nil || g.LifeMs < 100 || g.LifeMs > 600_000 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	ttl := time.Duration(g.LifeMs) * time.Millisecond
	s.leases[s.last] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, 200, object{"Tether": s.last})
}

func (s *Store) touch(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		reply(w, 404, object{"error": "no such lease"})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, 200, object{})
}

func (s *Store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, 404, object{"error": "no such lease"})
		return
	}
	s.end(id)
	reply(w, 200, object{})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("From"), 10, 64)
	hold, _ := strconv.Atoi(q.Get("HoldMs"))
	deadline := time.After(time.Duration(hold) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		found := []event{}
		for i := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > from }); i < len(s.events); i++ {
			if e := s.events[i]; strings.HasPrefix(e.Set+e.Remove, q.Get("Under")) {
				found = append(found, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := object{"LedgerRev": revision, "Events": found}
		if len(found) > 0 {
			reply(w, 200, answer)
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond): // a lease may have ended
		case <-deadline:
			reply(w, 200, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}
