package coordination

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// world is a small deployment in memory and simulated time: nodes, a state
// service, a cloud, workers and the cuts between them. It watches the rules.
type world struct {
	t        *testing.T
	settings Settings
	state    *storagetest.Service
	cloud    *fakeCloud
	nodes    []*fakeNode
	mu       sync.Mutex // guards what follows, and all workers and the cloud
	workers  map[int]*fakeWorker
	specs    map[string]storage.Spec
	cancelAt map[string]time.Time // when a user was told so
	told     map[string]JobState  // the latest that a user was told, running as pending
	askedOff map[string]bool      // jobs that a user asked to cancel
	ran      map[TaskID]bool      // tasks that have completed
	kept     []*Report            // copies of reports, to come again late
	keeping  bool
	together map[string]int  // how often a gang has begun
	overrun  map[string]bool // cancelled jobs seen beyond their time
	starts   int
	apart    atomic.Pointer[string] // a zone that is cut off from everything
	over     atomic.Bool            // machines that boot now stay away
	log      *slog.Logger
}

type fakeNode struct {
	w        *world
	name     string
	zone     string
	node     *Node                // its latest process, for the story
	live     atomic.Pointer[Node] // the same; nil once it has ended
	end      context.CancelFunc
	cutState atomic.Bool
	cutPeers atomic.Bool
	cutWork  atomic.Bool         // it doesn't reach the workers, nor they it
	holdUp   atomic.Int64        // its answers to other nodes' users come so much later
	words    map[string]PeerWord // what the others told last
}

var testTypes = []storage.MachineType{
	{Name: "cpu", Room: storage.Room{CPUs: 8, MemoryGB: 32}, CacheGB: 60, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 15, Zones: []string{"a", "b"}},
	{Name: "gpu", Room: storage.Room{CPUs: 64, GPUs: 8, MemoryGB: 256}, CacheGB: 400, FetchGBPS: 4, Price: 20, SpotPrice: 7, BootS: 60, Zones: []string{"a", "b"}},
}

// inWorld runs a story in simulated time.
func inWorld(t *testing.T, story func(w *world)) {
	t.Helper()
	inWorldWith(t, func(*Settings) {}, story)
}

// inWorldWith runs a story in simulated time, with settings of its own.
func inWorldWith(t *testing.T, change func(*Settings), story func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t,
			settings: Settings{
				Zones: []string{"a", "b"}, Report: 3 * time.Second, Lease: 22 * time.Second, Cancel: 52 * time.Second, GangWait: 45 * time.Second, GangPeer: 4 * time.Second,
				Teams:    []Team{{Name: "team"}, {Name: "small", Limit: storage.Room{GPUs: 2}}},
				State:    storage.Limits{RequestsPerS: 100, ChangesPerS: 40, ValueBytes: 8192, TxnOps: 32},
				CloudRPS: 6, ListLag: 4 * time.Second, MemoryMB: 98, Sockets: 1000,
			},
			workers: make(map[int]*fakeWorker), specs: make(map[string]storage.Spec), cancelAt: make(map[string]time.Time),
			told: make(map[string]JobState), askedOff: make(map[string]bool), ran: make(map[TaskID]bool), overrun: make(map[string]bool), together: make(map[string]int),
			log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}
		change(&w.settings)
		w.settings.Tuning = w.settings.DefaultTuning()
		w.state = storagetest.NewService()
		w.cloud = &fakeCloud{w: w, hires: make(map[string][]int)}
		for i, zone := range []string{"a", "b", "a"} {
			w.nodes = append(w.nodes, &fakeNode{w: w, name: fmt.Sprintf("n%d", i), zone: zone})
		}
		for _, n := range w.nodes {
			n.start()
		}
		go w.watch()
		defer func() {
			for _, n := range w.nodes {
				n.kill()
			}
			w.mu.Lock()
			w.over.Store(true)
			w.mu.Unlock()
			for _, wk := range w.all() {
				wk.dead.Store(true)
			}
			w.state.Close()
			time.Sleep(time.Minute)
		}()
		story(w)
	})
}

func (n *fakeNode) start() {
	s := n.w.settings
	s.Node, s.Zone = n.name, n.zone
	for _, o := range n.w.nodes {
		if o != n {
			s.Peers = append(s.Peers, Peer{Name: o.name, Zone: o.zone})
		}
	}
	n.node = NewNode(&s, Deps{
		State: &storagetest.Client{Service: n.w.state, Cut: &n.cutState}, Cloud: n.w.cloud, Workers: n, Peers: n,
		Log: n.w.log, Rand: rand.New(rand.NewPCG(7, uint64(len(n.name)))),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.end = cancel
	n.live.Store(n.node)
	go n.ping(ctx)
	go func() {
		if err := n.node.Run(ctx); err != nil {
			n.w.t.Errorf("node ended: %v", err)
		}
	}()
}

func (n *fakeNode) kill() {
	if n.end != nil {
		n.live.Store(nil)
		n.end()
		n.end = nil
	}
}

func (n *fakeNode) restart() { n.kill(); n.start() }

// Forward is the peer link.
func (n *fakeNode) Forward(ctx context.Context, name string, req UserRequest) (Answer, error) {
	for _, o := range n.w.nodes {
		if live := o.live.Load(); o.name == name && live != nil && !o.cutPeers.Load() && !n.cutPeers.Load() {
			a := live.Local(ctx, req)
			if req.Op != OpPing {
				time.Sleep(time.Duration(o.holdUp.Load()))
			}
			return a, nil
		}
	}
	return Answer{}, fmt.Errorf("no way to %s", name)
}

// Beats is the peer link for reports.
func (n *fakeNode) Beats(ctx context.Context, name string, reports []*Report) ([]BeatAnswer, error) {
	for _, o := range n.w.nodes {
		if live := o.live.Load(); o.name == name && live != nil && !o.cutPeers.Load() && !n.cutPeers.Load() {
			if answers := live.LocalBeats(ctx, reports); answers != nil {
				return answers, nil
			}
		}
	}
	return nil, fmt.Errorf("no way to %s", name)
}

// ping asks the others for their word, as the link does.
func (n *fakeNode) ping(ctx context.Context) {
	n.w.mu.Lock()
	n.words = make(map[string]PeerWord)
	n.w.mu.Unlock()
	for ctx.Err() == nil {
		for _, o := range n.w.nodes {
			if o == n {
				continue
			}
			sent := time.Now()
			if a, err := n.Forward(ctx, o.name, UserRequest{Op: OpPing, ID: n.name}); err == nil {
				n.w.mu.Lock()
				n.words[o.name] = PeerWord{PeerState: a.Peer, Sent: sent, Got: time.Now()}
				n.w.mu.Unlock()
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// Told is a node's latest word.
func (n *fakeNode) Told(name string) (PeerWord, bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	w, ok := n.words[name]
	return w, ok
}

// Known is the latest leader that the other nodes tell of.
func (n *fakeNode) Known() (leader string, term uint64) {
	for _, o := range n.w.nodes {
		if w, ok := n.Told(o.name); ok && o.live.Load() != nil && !o.cutPeers.Load() && !n.cutPeers.Load() && w.Term > term {
			leader, term = w.Leader, w.Term
		}
	}
	return leader, term
}

// Unheard is the peer link's measure of silence.
func (n *fakeNode) Unheard(string) time.Duration {
	if n.cutPeers.Load() {
		return time.Hour
	}
	return 0
}

func (w *world) leader() *fakeNode {
	var lead *fakeNode
	for _, n := range w.nodes {
		if n.end == nil {
			continue
		}
		if v := n.node.view.Load(); v.desk != nil && time.Now().Before(v.role.Certain) {
			if lead != nil {
				w.t.Fatal("two nodes lead for certain")
			}
			lead = n
		}
	}
	return lead
}

// awaitLeader waits until some node leads with the state loaded.
func (w *world) awaitLeader() *fakeNode {
	for range 300 {
		if n := w.leader(); n != nil {
			return n
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatal("no leader")
	return nil
}

// ask puts a user's request to the nodes in turn until one decides it.
func (w *world) ask(op UserOp, id string, spec storage.Spec) Answer {
	for try := range 120 {
		if a := w.look(w.nodes[try%len(w.nodes)], op, id, spec); a.decided() {
			return a
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.t.Fatalf("no node decides on job %s", id)
	return Answer{}
}

// look puts one request to one node, and checks that the answer is no older
// than what any node had told before it was asked.
func (w *world) look(n *fakeNode, op UserOp, id string, spec storage.Spec) Answer {
	live := n.live.Load()
	if live == nil {
		return Unavailable(id, "not running")
	}
	var before JobState
	var known bool
	w.locked(func() {
		before, known = w.told[id]
		w.askedOff[id] = w.askedOff[id] || op == OpCancel
	})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	a := live.User(ctx, UserRequest{Op: op, ID: id, Spec: spec})
	cancel()
	if !a.decided() {
		return a
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.Code == CodeNotFound || a.Code == CodeUnfit {
		if known {
			w.t.Errorf("forgotten: job %s, told %v, is answered %+v by %s", id, before, a, n.name)
		}
		return a
	}
	now := StatePending
	if a.final() {
		now = a.State
	}
	if known && before != StatePending && now != before {
		w.t.Errorf("went_back: job %s from %v to %+v, by %s", id, before, a, n.name)
	}
	switch {
	case now == StateCancelled && !w.askedOff[id]:
		w.t.Errorf("went_back: nobody cancelled job %s", id)
	case now == StateCancelled && w.cancelAt[id].IsZero():
		w.cancelAt[id] = time.Now()
	case now == StateDone:
		for _, wk := range w.workers {
			wk.settle()
		}
		for i := range w.specs[id].Tasks {
			if !w.ran[TaskID{id, i}] {
				w.t.Errorf("not_done: job %s without task %d", id, i)
			}
		}
	}
	if w.told[id] == StatePending {
		w.told[id] = now
	}
	return a
}

// watch looks out for tasks that outlive their job's cancel.
func (w *world) watch() {
	for !w.over.Load() {
		time.Sleep(250 * time.Millisecond)
		w.locked(func() {
			w.gather()
			for _, wk := range w.workers {
				if wk.dead.Load() || wk.still.Load() {
					continue // one that stands still runs nothing, unless it goes on
				}
				wk.settle()
				for k, t := range wk.tasks {
					job := k.ID.Job
					at, ok := w.cancelAt[job]
					if ok && t.state != Ended && time.Since(at) > w.settings.Cancel && !w.overrun[job] {
						w.overrun[job] = true
						w.t.Errorf("ran_cancelled: %v is on %d %v after", k.ID, wk.id, time.Since(at))
					}
				}
			}
		})
	}
}

// gather has the tasks of gangs find each other: by the number of the attempt they
// start together, and notice that one is gone.
func (w *world) gather() {
	type attemptKey struct {
		job string
		try uint64
	}
	now := time.Now()
	gangs := make(map[attemptKey][]*workerTask)
	for _, wk := range w.workers {
		if wk.dead.Load() || wk.still.Load() {
			continue
		}
		wk.settle()
		for k, t := range wk.tasks {
			if w.specs[k.ID.Job].Gang {
				g := attemptKey{k.ID.Job, k.Try}
				gangs[g] = append(gangs[g], t)
			}
		}
	}
	for g, tasks := range gangs {
		spec := w.specs[g.job]
		waiting, running, done := 0, 0, 0
		for _, t := range tasks {
			switch {
			case t.state == Gathering:
				waiting++
			case t.state == Running:
				running++
			case t.cause == CauseDone:
				done++
			}
		}
		for _, t := range tasks {
			switch {
			case waiting == spec.Tasks:
				t.state, t.since, t.ends = Running, now, now.Add(seconds(spec.EstimateS))
			case t.state == Gathering && now.Sub(t.since) > w.settings.GangWait:
				t.state, t.cause = Ended, CausePeers
			case t.state != Running || running+done == spec.Tasks:
			case t.since.After(now.Add(-w.settings.GangPeer)) && t.ends.IsZero():
			case !t.ends.IsZero() && running+done < spec.Tasks:
				t.ends, t.since = time.Time{}, now // it notices soon
			case t.ends.IsZero():
				t.state, t.cause = Ended, CausePeers
			}
		}
		if waiting == spec.Tasks {
			w.together[g.job]++
		}
	}
}

// upload makes a job's description known to the workers.
func (w *world) upload(spec storage.Spec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.specs[spec.ID] = spec
}

// all lists the machines that ever came up.
func (w *world) all() []*fakeWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*fakeWorker
	for _, wk := range w.workers {
		out = append(out, wk)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id < out[b].id })
	return out
}

// locked runs f under the world's lock.
func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

// cutZone cuts a zone off from everything, or with "" ends that.
func (w *world) cutZone(zone string) {
	w.apart.Store(&zone)
	for _, n := range w.nodes {
		n.cutState.Store(n.zone == zone)
		n.cutPeers.Store(n.zone == zone)
	}
}

// reaches tells whether the network leads from a worker to a node and back.
func (n *fakeNode) reaches(wk *fakeWorker) bool {
	apart := n.w.apart.Load()
	return !n.cutWork.Load() && (wk.only.Load() == nil || wk.only.Load() == n) &&
		(apart == nil || n.zone == wk.zone || n.zone != *apart && wk.zone != *apart)
}

func (w *world) startsSoFar() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

func (w *world) submit(spec storage.Spec) {
	w.t.Helper()
	w.upload(spec)
	if a := w.ask(OpSubmit, spec.ID, spec); a.Code != CodeCreated && a.Code != CodeOK {
		w.t.Fatalf("job %s not accepted: %+v", spec.ID, a)
	}
}

func (w *world) cancel(id string) {
	w.t.Helper()
	if a := w.ask(OpCancel, id, storage.Spec{}); a.Code != CodeOK || a.State != StateCancelled {
		w.t.Fatalf("job %s not cancelled: %+v", id, a)
	}
}

func (w *world) poll(id string) Answer { return w.ask(OpPoll, id, storage.Spec{}) }

// eventually waits for a condition.
func (w *world) eventually(what string, within time.Duration, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return
		}
	}
	w.t.Fatalf("within %v not seen: %s", within, what)
}

func sweep(id string, tasks int) storage.Spec {
	return storage.Spec{ID: id, Class: "sweep", Team: "team", Tasks: tasks, Priority: storage.Normal,
		Room: storage.Room{CPUs: 2, MemoryGB: 4}, Image: "img", ImageGB: 1, EstimateS: 20}
}

func service(id string, tasks int) storage.Spec {
	s := sweep(id, tasks)
	s.Class, s.Service, s.Priority, s.EstimateS = "service", true, storage.Production, 0
	return s
}

// running lists where a job's tasks run now.
func (w *world) running(id string) map[TaskID]*fakeWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[TaskID]*fakeWorker)
	for _, wk := range w.workers {
		wk.settle()
		for k, t := range wk.tasks {
			if k.ID.Job == id && !wk.dead.Load() && t.state != Ended {
				out[k.ID] = wk
			}
		}
	}
	return out
}

// fakeWorker follows the protocol's worker.
type fakeWorker struct {
	w       *world
	id      int
	kind    string
	zone    string
	spot    bool
	dead    atomic.Bool
	cut     atomic.Bool              // nothing passes in either direction
	only    atomic.Pointer[fakeNode] // nothing passes to or from other nodes
	deaf    atomic.Bool              // its reports pass, answers and orders don't
	mute    atomic.Bool              // orders pass, its reports don't
	hang    atomic.Bool              // orders reach it only later: see late
	still   atomic.Bool              // it stands still, and may go on at any time
	sick    atomic.Bool              // every task fails
	fetches atomic.Bool              // no image ever comes
	notice  *float64
	session uint64
	seq     uint64
	token   uint64
	node    int
	leased  time.Time // when the last answered report was sent
	tasks   map[workerKey]*workerTask
	late    []lateOrders
}

type workerKey struct {
	ID  TaskID
	Try uint64
}

type workerTask struct {
	state TaskState
	cause EndCause
	ends  time.Time
	since time.Time // in its state, of a gang's task
	saved bool
}

type lateOrders struct {
	token, session uint64
	orders         []Order
}

func (w *world) addWorker(id int, kind, zone string, spot bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over.Load() {
		return
	}
	wk := &fakeWorker{w: w, id: id, kind: kind, zone: zone, spot: spot, session: 1, leased: time.Now(), tasks: make(map[workerKey]*workerTask)}
	w.workers[id] = wk
	go wk.run()
}

func (wk *fakeWorker) typ() storage.MachineType {
	for _, t := range testTypes {
		if t.Name == wk.kind {
			return t
		}
	}
	return storage.MachineType{}
}

func (wk *fakeWorker) report() *Report {
	wk.w.mu.Lock()
	defer wk.w.mu.Unlock()
	return wk.makeReport()
}

func (wk *fakeWorker) makeReport() *Report {
	wk.settle()
	wk.seq++
	r := &Report{Machine: wk.id, Addr: fmt.Sprint(wk.id), Type: wk.kind, Zone: wk.zone, Spot: wk.spot,
		Session: wk.session, Seq: wk.seq, Token: wk.token, Notice: wk.notice}
	for k, t := range wk.tasks {
		r.Tasks = append(r.Tasks, TaskReport{ID: k.ID, Try: k.Try, State: t.state, Cause: t.cause, Saved: t.saved})
	}
	sort.Slice(r.Tasks, func(a, b int) bool { return r.Tasks[a].Try < r.Tasks[b].Try })
	return r
}

// settle ends what has run long enough, and everything with the lease.
func (wk *fakeWorker) settle() {
	if wk.still.Load() {
		return
	}
	now := time.Now()
	if now.Sub(wk.leased) > wk.w.settings.Lease {
		clear(wk.tasks)
		wk.session++
		wk.seq, wk.leased = 0, now
	}
	for k, t := range wk.tasks {
		if t.state == Running && !t.ends.IsZero() && now.After(t.ends) {
			t.state, t.cause = Ended, CauseDone
			if wk.sick.Load() {
				t.cause = CauseError
			}
			wk.w.ran[k.ID] = wk.w.ran[k.ID] || t.cause == CauseDone
		}
	}
}

func (wk *fakeWorker) run() {
	for !wk.dead.Load() {
		pause := wk.w.settings.Report
		if !wk.cut.Load() && !wk.mute.Load() && !wk.still.Load() {
			pause = wk.beat()
		}
		time.Sleep(pause)
	}
}

// beat reports and returns when to report again.
func (wk *fakeWorker) beat() time.Duration {
	n := wk.w.nodes[wk.node%len(wk.w.nodes)]
	r := wk.report()
	sent := time.Now()
	wk.w.locked(func() {
		if wk.w.keeping {
			wk.w.kept = append(wk.w.kept, r)
		}
	})
	live := n.live.Load()
	if live == nil || !n.reaches(wk) {
		wk.node++
		if live == nil {
			return workerPause // refused
		}
		return workerPatience + workerPause
	}
	ctx, cancel := context.WithTimeout(context.Background(), workerPatience)
	a := live.Beat(ctx, r)
	cancel()
	wk.w.mu.Lock()
	defer wk.w.mu.Unlock()
	switch {
	case wk.deaf.Load() || wk.cut.Load() || wk.dead.Load() || wk.still.Load() || !n.reaches(wk):
	case !a.Accepted:
		for i, o := range wk.w.nodes {
			if o.name == a.Leader && o != n {
				wk.node = i
				return 0
			}
		}
		wk.node++
		return workerPause
	case a.Token >= wk.token && r.Session == wk.session:
		wk.token, wk.leased = a.Token, sent
		wk.obey(a.Orders)
	}
	return wk.w.settings.Report
}

func (wk *fakeWorker) obey(orders []Order) {
	wk.settle()
	for _, o := range orders {
		k := workerKey{o.ID, o.Try}
		t := wk.tasks[k]
		switch o.Verb {
		case Start:
			if t == nil {
				wk.tasks[k] = wk.launch(k)
			}
		case Stop:
			if t != nil && t.state != Ended {
				spec := wk.w.specs[o.ID.Job]
				t.saved = spec.Gang && t.state == Running && o.GraceS >= spec.SaveS
				t.state, t.cause = Ended, CauseStopped
			}
		case Forget:
			if t != nil && t.state == Ended {
				delete(wk.tasks, k)
			}
		}
	}
}

// launch starts a task and checks the rules at that moment.
func (wk *fakeWorker) launch(k workerKey) *workerTask {
	w := wk.w
	spec, ok := w.specs[k.ID.Job]
	if !ok {
		return &workerTask{state: Ended, cause: CauseUnknown}
	}
	w.starts++
	free := wk.typ().Room
	for o, t := range wk.tasks {
		if t.state != Ended {
			free = free.Minus(w.specs[o.ID.Job].Room)
		}
	}
	if !spec.Room.Fits(free) {
		return &workerTask{state: Ended, cause: CauseFull}
	}
	used, zones := spec.Room, map[string]int{wk.zone: 1}
	for _, other := range w.workers {
		other.settle()
		for o, t := range other.tasks {
			if other.dead.Load() || t.state == Ended {
				continue
			}
			if o.ID == k.ID {
				w.t.Errorf("ran_twice: %v on %d and %d", k.ID, other.id, wk.id)
			}
			if w.specs[o.ID.Job].Team == spec.Team {
				used = used.Plus(w.specs[o.ID.Job].Room)
			}
			if o.ID.Job == k.ID.Job {
				zones[other.zone]++
			}
		}
	}
	if team := w.settings.team(spec.Team); !storage.Within(used, team.Limit) {
		w.t.Errorf("quota: team %s uses %+v", spec.Team, used)
	}
	if wk.spot && !spec.Spot || !allowed(spec.Types, wk.kind) || spec.Zone != "" && spec.Zone != wk.zone ||
		spec.SameZone && len(zones) > 1 || spec.Spread && zones[wk.zone] > (spec.Tasks+1)/2 {
		w.t.Errorf("wrong_place: %v on %d", k.ID, wk.id)
	}
	if at, ok := w.cancelAt[k.ID.Job]; ok && time.Since(at) > w.settings.Cancel {
		w.t.Errorf("ran_cancelled: %v started %v after", k.ID, time.Since(at))
	}
	t := &workerTask{state: Running}
	switch {
	case wk.fetches.Load():
		t.state = Pulling
	case spec.Gang:
		t.state, t.since = Gathering, time.Now()
	case !spec.Service:
		t.ends = time.Now().Add(seconds(spec.EstimateS))
	}
	return t
}

// Orders is a node's direct way to the workers.
func (n *fakeNode) Orders(ctx context.Context, addr string, token, session uint64, orders []Order) (Outcome, *Report) {
	var id int
	if _, err := fmt.Sscan(addr, &id); err != nil {
		n.w.t.Errorf("address %q", addr)
	}
	n.w.mu.Lock()
	wk := n.w.workers[id]
	lost := wk == nil || wk.dead.Load() || wk.cut.Load() || wk.deaf.Load() || !n.reaches(wk)
	if !lost && (wk.hang.Load() || wk.still.Load()) {
		wk.late = append(wk.late, lateOrders{token, session, orders})
	}
	n.w.mu.Unlock()
	switch {
	case lost:
		<-ctx.Done()
		return NotSent, nil
	case wk.hang.Load(), wk.still.Load():
		<-ctx.Done()
		return Unresolved, nil
	}
	return wk.direct(token, session, orders)
}

// catchUp executes the orders that a hang has held back.
func (wk *fakeWorker) catchUp() {
	var late []lateOrders
	wk.w.locked(func() { late = wk.late })
	for _, l := range late {
		wk.direct(l.token, l.session, l.orders)
	}
}

func (wk *fakeWorker) direct(token, session uint64, orders []Order) (Outcome, *Report) {
	wk.w.mu.Lock()
	defer wk.w.mu.Unlock()
	wk.settle()
	if token < wk.token || session != wk.session {
		return Rejected, wk.makeReport()
	}
	wk.token = token
	wk.obey(orders)
	return Executed, wk.makeReport()
}

// fakeCloud rents workers by the protocol.
type fakeCloud struct {
	w       *world
	next    int
	hires   map[string][]int
	asked   map[string]int
	loseOne bool // the answer to the next hire is lost
	full    func(storage.HireRecord) bool
	boot    time.Duration // 0: by type
}

func (c *fakeCloud) Catalogue(context.Context) ([]storage.MachineType, error) { return testTypes, nil }

func (c *fakeCloud) Hire(_ context.Context, name string, h storage.HireRecord) ([]int, error) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.asked == nil {
		c.asked = make(map[string]int)
	}
	c.asked[name]++
	if got, ok := c.hires[name]; ok {
		return got, nil
	}
	if c.full != nil && c.full(h) {
		return nil, ErrNoCapacity
	}
	var got []int
	for range h.Count {
		id := c.next
		c.next++
		got = append(got, id)
		boot := c.boot
		if boot == 0 {
			boot = 15 * time.Second
		}
		time.AfterFunc(boot, func() { c.w.addWorker(id, h.Type, h.Zone, h.Spot) })
	}
	c.hires[name] = got
	if c.loseOne {
		c.loseOne = false
		return nil, ErrCloud
	}
	return got, nil
}

func (c *fakeCloud) Return(_ context.Context, machines []int) error {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	for _, id := range machines {
		if wk := c.w.workers[id]; wk != nil {
			wk.dead.Store(true)
		}
	}
	return nil
}

func (c *fakeCloud) List(_ context.Context, after, _ int) ([]Listed, bool, error) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	var out []Listed
	for id, wk := range c.w.workers {
		if id > after && !wk.dead.Load() {
			out = append(out, Listed{Machine: id, Addr: fmt.Sprint(id), Type: wk.kind, Zone: wk.zone, Spot: wk.spot, State: Up})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Machine < out[b].Machine })
	return out, false, nil
}
