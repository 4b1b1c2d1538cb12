//go:build review

package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is a stand-in for a machine with its worker.
type Worker struct {
	Name, Addr, Type, Zone string
	Spot                   bool

	f          *Fleet
	typ        Type
	controller int
	changed    chan struct{}
	stop       chan struct{}
	createdAt  time.Time
	deletedAt  atomic.Pointer[time.Time]
	up         atomic.Bool

	// OnOrders, if set, is called with each request at /orders before it is carried out.
	OnOrders func(w *Worker, body []byte)

	mu         sync.Mutex
	ride       uint64
	tally      uint64
	baton      uint64
	leaseStart time.Time
	tasks      map[taskKey]*task
	images     map[string]time.Time // when each image is on the machine
	LeasesLost int                  // how often the lease ran out
	Killed     int                  // tasks that ended with a lease
	Refused    int                  // reports that were answered with another status than 200 and 421
}

type taskKey struct {
	name string
	try  uint64
}

type task struct {
	key     taskKey
	job     Job
	state   string
	cause   string
	readyAt time.Time // when it has its image
	endAt   time.Time // when it completes; zero: never
	waitsBy time.Time // gang task that waits: when it gives up
	savedAt time.Time // when it has saved
	stored  bool
}

type taskReport struct {
	Chore    string `json:"Chore"`
	Try      uint64 `json:"Try"`
	Standing string `json:"Standing"`
	Cause    string `json:"Cause,omitempty"`
	Stored   bool   `json:"Stored,omitempty"`
}

type report struct {
	Mount    string
	Addr     string
	Breed    string
	Pasture  string
	Loaner   bool
	Ride     uint64
	Tally    uint64
	Baton    uint64
	WarningS *float64
	Chores   []taskReport
}

type order struct {
	Verb    string
	Chore   string
	Try     uint64
	LeewayS float64
}

func (w *Worker) boot() {
	w.mu.Lock()
	w.ride, w.leaseStart = 1, time.Now()
	w.mu.Unlock()
	w.up.Store(true)
	w.f.Logf("%s is up: %s in %s at %s", w.Name, w.Type, w.Zone, w.Addr)
	go w.run()
}

func (w *Worker) signal() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (w *Worker) gone() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

// delete ends the machine with all that is on it.
func (w *Worker) delete() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone() {
		return
	}
	now := time.Now()
	w.deletedAt.Store(&now)
	close(w.stop)
	for _, t := range w.tasks {
		w.end(t)
	}
	w.tasks = make(map[taskKey]*task)
	w.f.Logf("%s deleted", w.Name)
}

// advance carries out what has happened by itself until now. w.mu must be held.
func (w *Worker) advance(now time.Time) (changed bool) {
	if now.Sub(w.leaseStart) > secs(w.f.Settings.LeaseS) {
		n := 0
		for _, t := range w.tasks {
			if t.state != "ended" {
				n++
			}
			if t.state == "ended" {
				continue
			}
			w.end(t)
		}
		w.tasks = make(map[taskKey]*task)
		w.ride++
		w.leaseStart = now
		w.LeasesLost++
		w.Killed += n
		w.f.Logf("%s: lease ran out, %d tasks killed, session %d begins", w.Name, n, w.ride)
		return true
	}
	for _, t := range w.tasks {
		if t.state == "pulling" && !now.Before(t.readyAt) {
			w.f.Audit.on(t, w)
			changed = true
			if t.job.Shape == "group" {
				t.state, t.waitsBy = "gathering", now.Add(secs(w.f.Settings.GangWaitS))
				w.f.gangs.gather(t)
			} else {
				t.state = "running"
				if t.job.Shape != "service" {
					t.endAt = now.Add(secs(t.job.RunS))
				}
			}
		}
		if t.job.Shape == "group" {
			changed = w.advanceGang(t, now) || changed
		}
		if t.state == "saving" && !now.Before(t.savedAt) {
			t.state, t.cause, t.stored = "ended", "stopped", true
			w.end(t)
			changed = true
		}
		if t.state == "running" && !t.endAt.IsZero() && !now.Before(t.endAt) {
			t.state, t.cause = "ended", "done"
			w.f.Audit.done(t, w)
			changed = true
		}
	}
	return changed
}

// advanceGang carries out what the other tasks of a gang bring about.
func (w *Worker) advanceGang(t *task, now time.Time) (changed bool) {
	if t.state != "gathering" && t.state != "running" {
		return false
	}
	startedAt, broken := w.f.gangs.state(t, secs(w.f.Settings.GangPeerS), now)
	switch {
	case t.state == "gathering" && !startedAt.IsZero():
		t.state, t.endAt = "running", startedAt.Add(secs(t.job.RunS))
		return true
	case t.state == "gathering" && now.After(t.waitsBy):
		t.state, t.cause = "ended", "alone"
	case t.state == "running" && broken:
		t.state, t.cause = "ended", "peers"
	default:
		return false
	}
	w.end(t)
	return true
}

// end tells that a task has ended or is gone.
func (w *Worker) end(t *task) {
	w.f.Audit.off(t, w)
	if t.job.Shape == "group" {
		w.f.gangs.leave(t)
	}
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (w *Worker) carryOut(orders []order) {
	now := time.Now()
	for _, o := range orders {
		key := taskKey{o.Chore, o.Try}
		t := w.tasks[key]
		switch o.Verb {
		case "run":
			if t == nil {
				w.startTask(key, now)
			}
		case "stop":
			switch saves := t != nil && t.job.BookmarkS > 0 && o.LeewayS >= t.job.StowS; {
			case t == nil || t.state == "ended" || t.state == "saving" && o.LeewayS > 0:
			case t.state == "running" && saves:
				t.state, t.savedAt = "saving", now.Add(secs(t.job.StowS))
				if t.job.Shape == "group" {
					w.f.gangs.orderly(t)
				}
			default:
				t.state, t.cause = "ended", "stopped"
				w.end(t)
			}
		case "forget":
			if t != nil && t.state == "ended" {
				delete(w.tasks, key)
			}
		}
	}
	w.advance(now)
	if len(orders) > 0 {
		w.signal()
	}
}

func (w *Worker) startTask(key taskKey, now time.Time) {
	id, _, _ := strings.Cut(key.name, "/")
	j, known := w.f.job(id)
	t := &task{key: key, job: j, state: "pulling"}
	w.tasks[key] = t
	cpus, gpus, memory := 0.0, 0.0, 0.0
	busy := false
	for _, o := range w.tasks {
		if o != t && o.state != "ended" {
			cpus, gpus, memory = cpus+o.job.CPUs, gpus+o.job.GPUs, memory+o.job.MemoryGB
			busy = busy || o.key.name == key.name
		}
	}
	const slack = 1e-6
	switch {
	case !known:
		t.state, t.cause = "ended", "unknown"
	case busy:
		t.state, t.cause = "ended", "busy"
	case cpus+j.CPUs > w.typ.CPUs+slack || gpus+j.GPUs > w.typ.GPUs+slack || memory+j.MemoryGB > w.typ.MemoryGB+slack:
		t.state, t.cause = "ended", "full"
	}
	if t.state == "ended" {
		return
	}
	ready, fetched := w.images[j.Image]
	if !fetched {
		ready = now.Add(secs(j.ImageGB / w.typ.PullGBPerS))
		w.images[j.Image] = ready
	}
	t.readyAt = ready
	w.f.Audit.commanded(t, w)
}

// newReport returns the next report. w.mu must be held.
func (w *Worker) newReport() report {
	w.tally++
	r := report{Mount: w.Name, Addr: w.Addr, Breed: w.Type, Pasture: w.Zone, Loaner: w.Spot, Ride: w.ride, Tally: w.tally, Baton: w.baton, Chores: []taskReport{}}
	for _, t := range w.tasks {
		r.Chores = append(r.Chores, taskReport{t.key.name, t.key.try, t.state, t.cause, t.stored})
	}
	sort.Slice(r.Chores, func(a, b int) bool { return r.Chores[a].Chore < r.Chores[b].Chore })
	return r
}

// run sends reports as the page on workers says.
func (w *Worker) run() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	interval := secs(w.f.Settings.ReportS)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	var last, notBefore time.Time
	next := time.Now()
	pending := false
	for {
		select {
		case <-w.stop:
			return
		case <-w.changed:
			pending = true
		case <-tick.C:
		}
		now := time.Now()
		w.mu.Lock()
		pending = w.advance(now) || pending
		w.mu.Unlock()
		due := !now.Before(next) || pending && now.Sub(last) >= 500*time.Millisecond
		if !due || now.Before(notBefore) {
			continue
		}
		w.mu.Lock()
		r := w.newReport()
		w.mu.Unlock()
		last, pending = now, false
		next = now.Add(time.Duration(float64(interval) * (0.75 + 0.5*rand.Float64())))
		if !w.send(client, r) {
			notBefore = time.Now().Add(time.Second)
			next = notBefore
		}
	}
}

// send sends one report and carries out the answer. It returns false if the worker has to wait before the next report.
func (w *Worker) send(client *http.Client, r report) bool {
	body, _ := json.Marshal(r)
	if len(body) > 64<<10 && os.Getenv("HOLD_LONG_REPORTS") != "" {
		w.f.Logf("%s: no report of at most 64 KiB can list its %d tasks", w.Name, len(r.Chores))
		return false
	}
	to := w.controller
	addr := w.f.Controllers[to].Addr
	if p := w.f.Settings.WorkerAddr; p != nil {
		addr = p(to, addr)
	}
	sent := time.Now()
	resp, err := client.Post("http://"+addr+"/agent/beat", "application/json", bytes.NewReader(body))
	var raw []byte
	if err == nil {
		raw, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		w.controller = (to + 1) % len(w.f.Controllers)
		return false
	}
	var a struct {
		Baton   uint64
		Orders  []order
		Steward string
	}
	_ = json.Unmarshal(raw, &a)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch {
	case resp.StatusCode == 200:
		w.advance(now)
		if r.Ride == w.ride && a.Baton >= w.baton && a.Baton > 0 && now.Sub(sent) < 4*time.Second {
			if a.Baton > w.baton {
				w.baton = a.Baton
				w.signal()
			}
			w.leaseStart = sent
			w.carryOut(a.Orders)
		}
		return true
	case resp.StatusCode == 421 && a.Steward != "" && a.Steward != w.f.Controllers[to].Name:
		for i, c := range w.f.Controllers {
			if c.Name == a.Steward {
				client.CloseIdleConnections()
				w.controller = i
				w.signal()
				return true
			}
		}
	case resp.StatusCode != 421:
		w.Refused++
		w.f.Logf("%s: report of %d bytes with %d tasks refused by %s: %d %.80s", w.Name, len(body), len(r.Chores), w.f.Controllers[to].Name, resp.StatusCode, raw)
	}
	w.controller = (to + 1) % len(w.f.Controllers)
	return false
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", func(rw http.ResponseWriter, r *http.Request) {
		if !w.up.Load() || w.gone() {
			panic(http.ErrAbortHandler)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if w.OnOrders != nil {
			w.OnOrders(w, body)
		}
		var m struct {
			Baton, Ride uint64
			Orders      []order
		}
		if json.Unmarshal(body, &m) != nil || m.Baton == 0 || m.Ride == 0 {
			reply(rw, 400, object{"error": "malformed"})
			return
		}
		w.mu.Lock()
		w.advance(time.Now())
		status := 409
		if m.Baton >= w.baton && m.Ride == w.ride && !w.gone() {
			status = 200
			if m.Baton > w.baton {
				w.baton = m.Baton
				w.signal()
			}
			w.carryOut(m.Orders)
		}
		answer := w.newReport()
		w.mu.Unlock()
		reply(rw, status, answer)
	})
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		w.advance(time.Now())
		answer := w.newReport()
		w.mu.Unlock()
		reply(rw, 200, answer)
	})
	return mux
}

// State describes the worker in a line.
func (w *Worker) State() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for _, t := range w.tasks {
		counts[t.state]++
	}
	return fmt.Sprintf("%s session %d token %d tasks %v", w.Name, w.ride, w.baton, counts)
}

// Counts returns how often the lease ran out, how many tasks ended by that, and how many reports were refused.
func (w *Worker) Counts() (leases, killed, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.LeasesLost, w.Killed, w.Refused
}
