//go:build review

package standin2

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keptChanges  = 10_000
	maxListItems = 1000
	maxListBytes = 512 << 10
	maxTxnBytes  = 64 << 10
	normalDelay  = 5 * time.Millisecond
)

type item struct {
	data  json.RawMessage
	stamp uint64
	lease uint64
}

type lease struct {
	life    time.Duration
	expires time.Time
}

type event struct {
	Set    string          `json:"Set,omitempty"`
	Remove string          `json:"Remove,omitempty"`
	Data   json.RawMessage `json:"Data,omitempty"`
	Stamp  uint64          `json:"Stamp"`
}

// Store is the state service. Each controller reaches it at an address of its own, so that faults can concern one controller.
type Store struct {
	ValueKB float64
	TxnOps  int

	// Delay returns how long a request of a node takes until it is answered. Refuse reports whether it is answered 503. Both
	// may be nil. A request is carried out when it arrives, its answer comes after the delay.
	Delay  func(node, method, path string) time.Duration
	Refuse func(node, method, path string) bool
	// Late returns whether a transaction gets no answer, and after what time it is carried out. It may be nil.
	Late func(node string) (late bool, after time.Duration)

	log *Log

	mu        sync.Mutex
	rev       uint64
	items     map[string]item
	leases    map[uint64]lease
	lastLease uint64
	events    []event
	compacted uint64
	changed   chan struct{}
}

// NewStore returns an empty state service.
func NewStore(log *Log, valueKB float64, txnOps int) *Store {
	s := &Store{
		ValueKB: valueKB, TxnOps: txnOps, log: log, items: make(map[string]item), leases: make(map[uint64]lease), changed: make(chan struct{}),
	}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *Store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.end(id)
		}
	}
}

func (s *Store) end(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, it := range s.items {
		if it.lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.rev++
	for _, k := range keys {
		delete(s.items, k)
		s.add(event{Remove: k, Stamp: s.rev})
	}
	s.wake()
}

func (s *Store) add(e event) {
	s.events = append(s.events, e)
	if drop := len(s.events) - keptChanges; drop > 0 {
		s.compacted = s.events[drop-1].Stamp
		s.events = s.events[drop:]
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get returns the value of a key, for the driver of a test.
func (s *Store) Get(key string) (json.RawMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[key]
	return it.data, ok
}

type answer struct {
	status int
	body   any
}

func failure(status int, text string) answer { return answer{status, map[string]string{"error": text}} }

// Handler returns the state service as a node sees it.
func (s *Store) Handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(io.LimitReader(r.Body, maxTxnBytes+1))
		if s.Refuse != nil && s.Refuse(node, r.Method, r.URL.Path) {
			time.Sleep(normalDelay)
			send(w, failure(http.StatusServiceUnavailable, "trouble"))
			return
		}
		delay := normalDelay
		if s.Delay != nil {
			delay = max(delay, s.Delay(node, r.Method, r.URL.Path))
		}
		if s.Late != nil && r.URL.Path == "/txn" {
			if late, after := s.Late(node); late {
				time.AfterFunc(after, func() { s.txn(body) })
				<-r.Context().Done()
				return
			}
		}
		arrived := time.Now()
		a := s.serve(r, body)
		time.Sleep(delay - time.Since(arrived))
		if a.status == http.StatusBadRequest {
			s.log.Event("state service answers 400", "node", node, "request", r.Method+" "+r.URL.Path, "body", a.body)
		}
		send(w, a)
	})
}

func send(w http.ResponseWriter, a answer) {
	raw, _ := json.Marshal(a.body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(a.status)
	_, _ = w.Write(raw)
}

func (s *Store) serve(r *http.Request, body []byte) answer {
	path := r.URL.Path
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && path == "/store":
		return s.list(q.Get("Under"), q.Get("From"), q.Get("Page"))
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/store/"):
		return s.get(strings.TrimPrefix(path, "/store/"))
	case r.Method == http.MethodPost && path == "/txn":
		return s.txn(body)
	case r.Method == http.MethodPost && path == "/grants":
		return s.grant(body)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/grants/") && strings.HasSuffix(path, "/touch"):
		return s.touch(strings.TrimSuffix(strings.TrimPrefix(path, "/grants/"), "/touch"), false)
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/grants/"):
		return s.touch(strings.TrimPrefix(path, "/grants/"), true)
	case r.Method == http.MethodGet && path == "/changes":
		from, _ := strconv.ParseUint(q.Get("From"), 10, 64)
		hold, _ := strconv.Atoi(q.Get("HoldMs"))
		if hold > 60_000 {
			return failure(http.StatusBadRequest, "HoldMs")
		}
		return s.watch(r, q.Get("Under"), from, time.Duration(hold)*time.Millisecond)
	}
	return failure(http.StatusBadRequest, "no such request")
}

func (s *Store) get(key string) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	it, ok := s.items[key]
	if !ok {
		return answer{http.StatusNotFound, map[string]uint64{"LedgerRev": s.rev}}
	}
	body := map[string]any{"K": key, "Data": it.data, "Stamp": it.stamp}
	if it.lease != 0 {
		body["Tether"] = it.lease
	}
	return answer{http.StatusOK, body}
}

func (s *Store) list(under, from, page string) answer {
	limit, err := strconv.Atoi(page)
	if err != nil || limit > maxListItems || limit < 1 {
		limit = maxListItems
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, under) && k > from {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size, more := 0, false
	for _, k := range keys {
		size += len(s.items[k].data) + len(k) + 64
		if len(items) == limit || size > maxListBytes {
			more = true
			break
		}
		items = append(items, map[string]any{"K": k, "Data": s.items[k].data, "Stamp": s.items[k].stamp})
	}
	return answer{http.StatusOK, map[string]any{"Items": items, "More": more, "LedgerRev": s.rev}}
}

func (s *Store) txn(body []byte) answer {
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
	if len(body) > maxTxnBytes || json.Unmarshal(body, &t) != nil {
		return failure(http.StatusBadRequest, "malformed or over 64 KiB")
	}
	if len(t.Apply) > s.TxnOps || len(t.Guards) > 4*s.TxnOps {
		return failure(http.StatusBadRequest, "too many changes or conditions")
	}
	for _, o := range t.Apply {
		key := o.Set + o.Remove
		if len(key) == 0 || len(key) > 200 || strings.Contains(key, " ") || float64(len(o.Data)) > s.ValueKB*1024 {
			return failure(http.StatusBadRequest, "key or value")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, o := range t.Apply {
		if _, ok := s.leases[o.Tether]; o.Tether != 0 && !ok {
			return failure(http.StatusBadRequest, "no such lease")
		}
	}
	failed := []string{}
	for _, g := range t.Guards {
		if s.items[g.K].stamp != g.Stamp {
			failed = append(failed, g.K)
		}
	}
	if len(failed) > 0 {
		return answer{http.StatusConflict, map[string]any{"failed": failed, "LedgerRev": s.rev}}
	}
	if len(t.Apply) > 0 {
		s.rev++
		for _, o := range t.Apply {
			if o.Remove != "" {
				delete(s.items, o.Remove)
				s.add(event{Remove: o.Remove, Stamp: s.rev})
				continue
			}
			s.items[o.Set] = item{data: o.Data, stamp: s.rev, lease: o.Tether}
			s.add(event{Set: o.Set, Data: o.Data, Stamp: s.rev})
		}
		s.wake()
	}
	return answer{http.StatusOK, map[string]uint64{"LedgerRev": s.rev}}
}

func (s *Store) grant(body []byte) answer {
	var g struct{ LifeMs int64 }
	if json.Unmarshal(body, &g) != nil || g.LifeMs < 100 || g.LifeMs > 600_000 {
		return failure(http.StatusBadRequest, "LifeMs")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	life := time.Duration(g.LifeMs) * time.Millisecond
	s.leases[s.lastLease] = lease{life, time.Now().Add(life + 10*time.Millisecond)}
	return answer{http.StatusOK, map[string]uint64{"Tether": s.lastLease}}
}

func (s *Store) touch(id string, remove bool) answer {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return failure(http.StatusBadRequest, "lease")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[n]
	if !ok {
		return failure(http.StatusNotFound, "no such lease")
	}
	if remove {
		s.end(n)
	} else {
		s.leases[n] = lease{l.life, time.Now().Add(l.life + 10*time.Millisecond)}
	}
	return answer{http.StatusOK, struct{}{}}
}

func (s *Store) watch(r *http.Request, under string, from uint64, hold time.Duration) answer {
	deadline := time.After(hold)
	for {
		s.mu.Lock()
		if from < s.compacted {
			s.mu.Unlock()
			return failure(http.StatusGone, "too old")
		}
		events := []event{}
		for _, e := range s.events {
			if e.Stamp > from && strings.HasPrefix(e.Set+e.Remove, under) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return answer{http.StatusOK, map[string]any{"LedgerRev": rev, "Events": events}}
		}
		select {
		case <-changed:
		case <-deadline:
			return answer{http.StatusOK, map[string]any{"LedgerRev": rev, "Events": events}}
		case <-r.Context().Done():
			return failure(http.StatusServiceUnavailable, "gone")
		}
	}
}
