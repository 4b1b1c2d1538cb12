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
type simulation struct {
	t        *testing.T
	settings Settings
	state    *storagetest.Service
	cloud    *fakeCloud
	nodes    []*fakeNode
	mu       sync.Mutex // guards what follows, and all workers and the cloud
	workers  map[int]*fakeWorker
	specs    map[string]storage.Spec
	cancelAt map[string]time.Time // when a user was told so
	answered map[string]JobState  // the latest that a user was told, running as pending
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
	sim      *simulation
	name     string
	zone     string
	node     *Node                // its latest process, for the story
	live     atomic.Pointer[Node] // the same; nil once it has ended
	end      context.CancelFunc
	cutState atomic.Bool
	cutPeers atomic.Bool
	cutWork  atomic.Bool           // it doesn't reach the workers, nor they it
	holdUp   atomic.Int64          // its answers to other nodes' users come so much later
	statuses map[string]PeerReport // what the others told last
}

var testTypes = []storage.MachineType{
	{Name: "cpu", Room: storage.Room{CPUs: 8, MemoryGB: 32}, CacheGB: 60, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 15, Zones: []string{"a", "b"}},
	{Name: "gpu", Room: storage.Room{CPUs: 64, GPUs: 8, MemoryGB: 256}, CacheGB: 400, FetchGBPS: 4, Price: 20, SpotPrice: 7, BootS: 60, Zones: []string{"a", "b"}},
}

// inWorld runs a story in simulated time.
func inSimulation(t *testing.T, story func(sim *simulation)) {
	t.Helper()
	inSimulationWith(t, func(*Settings) {}, story)
}

// inWorldWith runs a story in simulated time, with settings of its own.
func inSimulationWith(t *testing.T, change func(*Settings), story func(sim *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := &simulation{
			t: t,
			settings: Settings{
				Zones: []string{"a", "b"}, Report: 3 * time.Second, Lease: 22 * time.Second, Cancel: 52 * time.Second, GangWait: 45 * time.Second, GangPeer: 4 * time.Second,
				Teams:    []Team{{Name: "team"}, {Name: "small", Limit: storage.Room{GPUs: 2}}},
				State:    storage.Limits{RequestsPerS: 100, ChangesPerS: 40, ValueBytes: 8192, TxnOps: 32},
				CloudRPS: 6, ListLag: 4 * time.Second, MemoryMB: 98, Sockets: 1000,
			},
			workers: make(map[int]*fakeWorker), specs: make(map[string]storage.Spec), cancelAt: make(map[string]time.Time),
			answered: make(map[string]JobState), askedOff: make(map[string]bool), ran: make(map[TaskID]bool), overrun: make(map[string]bool), together: make(map[string]int),
			log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}
		change(&sim.settings)
		sim.settings.Tuning = sim.settings.DefaultTuning()
		sim.state = storagetest.NewService()
		sim.cloud = &fakeCloud{sim: sim, rentals: make(map[string][]int)}
		for i, zone := range []string{"a", "b", "a"} {
			sim.nodes = append(sim.nodes, &fakeNode{sim: sim, name: fmt.Sprintf("n%d", i), zone: zone})
		}
		for _, n := range sim.nodes {
			n.start()
		}
		go sim.watch()
		defer func() {
			for _, n := range sim.nodes {
				n.kill()
			}
			sim.mu.Lock()
			sim.over.Store(true)
			sim.mu.Unlock()
			for _, wk := range sim.all() {
				wk.dead.Store(true)
			}
			sim.state.Close()
			time.Sleep(time.Minute)
		}()
		story(sim)
	})
}

func (n *fakeNode) start() {
	s := n.sim.settings
	s.Node, s.Zone = n.name, n.zone
	for _, o := range n.sim.nodes {
		if o != n {
			s.Peers = append(s.Peers, Peer{Name: o.name, Zone: o.zone})
		}
	}
	n.node = NewNode(&s, Deps{
		State: &storagetest.Client{Service: n.sim.state, Cut: &n.cutState}, Cloud: n.sim.cloud, Workers: n, Peers: n,
		Log: n.sim.log, Rand: rand.New(rand.NewPCG(7, uint64(len(n.name)))),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.end = cancel
	n.live.Store(n.node)
	go n.ping(ctx)
	go func() {
		if err := n.node.Run(ctx); err != nil {
			n.sim.t.Errorf("node ended: %v", err)
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
	for _, o := range n.sim.nodes {
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
func (n *fakeNode) Heartbeats(ctx context.Context, name string, reports []*Report) ([]HeartbeatResponse, error) {
	for _, o := range n.sim.nodes {
		if live := o.live.Load(); o.name == name && live != nil && !o.cutPeers.Load() && !n.cutPeers.Load() {
			if answers := live.LocalHeartbeats(ctx, reports); answers != nil {
				return answers, nil
			}
		}
	}
	return nil, fmt.Errorf("no way to %s", name)
}

// ping asks the others for their word, as the link does.
func (n *fakeNode) ping(ctx context.Context) {
	n.sim.mu.Lock()
	n.statuses = make(map[string]PeerReport)
	n.sim.mu.Unlock()
	for ctx.Err() == nil {
		for _, o := range n.sim.nodes {
			if o == n {
				continue
			}
			sent := time.Now()
			if a, err := n.Forward(ctx, o.name, UserRequest{Op: OpPing, ID: n.name}); err == nil {
				n.sim.mu.Lock()
				n.statuses[o.name] = PeerReport{PeerStatus: a.Peer.Status(), Sent: sent, Got: time.Now()}
				n.sim.mu.Unlock()
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// Told is a node's latest word.
func (n *fakeNode) Status(name string) (PeerReport, bool) {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	w, ok := n.statuses[name]
	return w, ok
}

// Known is the latest leader that the other nodes tell of.
func (n *fakeNode) KnownLeader() (leader string, term uint64) {
	for _, o := range n.sim.nodes {
		if w, ok := n.Status(o.name); ok && o.live.Load() != nil && !o.cutPeers.Load() && !n.cutPeers.Load() && w.Term > term {
			leader, term = w.Leader, w.Term
		}
	}
	return leader, term
}

// Unheard is the peer link's measure of silence.
func (n *fakeNode) SilentFor(string) time.Duration {
	if n.cutPeers.Load() {
		return time.Hour
	}
	return 0
}

func (sim *simulation) leader() *fakeNode {
	var lead *fakeNode
	for _, n := range sim.nodes {
		if n.end == nil {
			continue
		}
		if v := n.node.view.Load(); v.dispatcher != nil && time.Now().Before(v.role.Certain) {
			if lead != nil {
				sim.t.Fatal("two nodes lead for certain")
			}
			lead = n
		}
	}
	return lead
}

// awaitLeader waits until some node leads with the state loaded.
func (sim *simulation) awaitLeader() *fakeNode {
	for range 300 {
		if n := sim.leader(); n != nil {
			return n
		}
		time.Sleep(100 * time.Millisecond)
	}
	sim.t.Fatal("no leader")
	return nil
}

// ask puts a user's request to the nodes in turn until one decides it.
func (sim *simulation) ask(op UserOp, id string, spec storage.Spec) Answer {
	for try := range 120 {
		if a := sim.askNode(sim.nodes[try%len(sim.nodes)], op, id, spec); a.decided() {
			return a
		}
		time.Sleep(500 * time.Millisecond)
	}
	sim.t.Fatalf("no node decides on job %s", id)
	return Answer{}
}

// look puts one request to one node, and checks that the answer is no older
// than what any node had told before it was asked.
func (sim *simulation) askNode(n *fakeNode, op UserOp, id string, spec storage.Spec) Answer {
	live := n.live.Load()
	if live == nil {
		return Unavailable(id, "not running")
	}
	var before JobState
	var known bool
	sim.locked(func() {
		before, known = sim.answered[id]
		sim.askedOff[id] = sim.askedOff[id] || op == OpCancel
	})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	a := live.User(ctx, UserRequest{Op: op, ID: id, Spec: spec})
	cancel()
	if !a.decided() {
		return a
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if a.Code == CodeNotFound || a.Code == CodeUnfit {
		if known {
			sim.t.Errorf("forgotten: job %s, told %v, is answered %+v by %s", id, before, a, n.name)
		}
		return a
	}
	now := StatePending
	if a.final() {
		now = a.State
	}
	if known && before != StatePending && now != before {
		sim.t.Errorf("went_back: job %s from %v to %+v, by %s", id, before, a, n.name)
	}
	switch {
	case now == StateCancelled && !sim.askedOff[id]:
		sim.t.Errorf("went_back: nobody cancelled job %s", id)
	case now == StateCancelled && sim.cancelAt[id].IsZero():
		sim.cancelAt[id] = time.Now()
	case now == StateDone:
		for _, wk := range sim.workers {
			wk.settle()
		}
		for i := range sim.specs[id].Tasks {
			if !sim.ran[TaskID{id, i}] {
				sim.t.Errorf("not_done: job %s without task %d", id, i)
			}
		}
	}
	if sim.answered[id] == StatePending {
		sim.answered[id] = now
	}
	return a
}

// watch looks out for tasks that outlive their job's cancel.
func (sim *simulation) watch() {
	for !sim.over.Load() {
		time.Sleep(250 * time.Millisecond)
		sim.locked(func() {
			sim.gather()
			for _, wk := range sim.workers {
				if wk.dead.Load() || wk.still.Load() {
					continue // one that stands still runs nothing, unless it goes on
				}
				wk.settle()
				for k, t := range wk.tasks {
					job := k.ID.Job
					at, ok := sim.cancelAt[job]
					if ok && t.state != Ended && time.Since(at) > sim.settings.Cancel && !sim.overrun[job] {
						sim.overrun[job] = true
						sim.t.Errorf("ran_cancelled: %v is on %d %v after", k.ID, wk.id, time.Since(at))
					}
				}
			}
		})
	}
}

// gather has the tasks of gangs find each other: by the number of the attempt they
// start together, and notice that one is gone.
func (sim *simulation) gather() {
	type attemptKey struct {
		job string
		try uint64
	}
	now := time.Now()
	gangs := make(map[attemptKey][]*workerTask)
	for _, wk := range sim.workers {
		if wk.dead.Load() || wk.still.Load() {
			continue
		}
		wk.settle()
		for k, t := range wk.tasks {
			if sim.specs[k.ID.Job].Gang {
				g := attemptKey{k.ID.Job, k.Try}
				gangs[g] = append(gangs[g], t)
			}
		}
	}
	for g, tasks := range gangs {
		spec := sim.specs[g.job]
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
			case t.state == Gathering && now.Sub(t.since) > sim.settings.GangWait:
				t.state, t.cause = Ended, CausePeers
			case t.state != Running || running+done == spec.Tasks:
			case t.since.After(now.Add(-sim.settings.GangPeer)) && t.ends.IsZero():
			case !t.ends.IsZero() && running+done < spec.Tasks:
				t.ends, t.since = time.Time{}, now // it notices soon
			case t.ends.IsZero():
				t.state, t.cause = Ended, CausePeers
			}
		}
		if waiting == spec.Tasks {
			sim.together[g.job]++
		}
	}
}

// upload makes a job's description known to the workers.
func (sim *simulation) upload(spec storage.Spec) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.specs[spec.ID] = spec
}

// all lists the machines that ever came up.
func (sim *simulation) all() []*fakeWorker {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var out []*fakeWorker
	for _, wk := range sim.workers {
		out = append(out, wk)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id < out[b].id })
	return out
}

// locked runs f under the world's lock.
func (sim *simulation) locked(f func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	f()
}

// cutZone cuts a zone off from everything, or with "" ends that.
func (sim *simulation) cutZone(zone string) {
	sim.apart.Store(&zone)
	for _, n := range sim.nodes {
		n.cutState.Store(n.zone == zone)
		n.cutPeers.Store(n.zone == zone)
	}
}

// reaches tells whether the network leads from a worker to a node and back.
func (n *fakeNode) reaches(wk *fakeWorker) bool {
	apart := n.sim.apart.Load()
	return !n.cutWork.Load() && (wk.only.Load() == nil || wk.only.Load() == n) &&
		(apart == nil || n.zone == wk.zone || n.zone != *apart && wk.zone != *apart)
}

func (sim *simulation) startsSoFar() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.starts
}

func (sim *simulation) submit(spec storage.Spec) {
	sim.t.Helper()
	sim.upload(spec)
	if a := sim.ask(OpSubmit, spec.ID, spec); a.Code != CodeCreated && a.Code != CodeOK {
		sim.t.Fatalf("job %s not accepted: %+v", spec.ID, a)
	}
}

func (sim *simulation) cancel(id string) {
	sim.t.Helper()
	if a := sim.ask(OpCancel, id, storage.Spec{}); a.Code != CodeOK || a.State != StateCancelled {
		sim.t.Fatalf("job %s not cancelled: %+v", id, a)
	}
}

func (sim *simulation) poll(id string) Answer { return sim.ask(OpPoll, id, storage.Spec{}) }

// eventually waits for a condition.
func (sim *simulation) eventually(what string, within time.Duration, ok func() bool) {
	sim.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return
		}
	}
	sim.t.Fatalf("within %v not seen: %s", within, what)
}

func arrayJob(id string, tasks int) storage.Spec {
	return storage.Spec{ID: id, Class: "sweep", Team: "team", Tasks: tasks, Priority: storage.Normal,
		Room: storage.Room{CPUs: 2, MemoryGB: 4}, Image: "img", ImageGB: 1, EstimateS: 20}
}

func service(id string, tasks int) storage.Spec {
	s := arrayJob(id, tasks)
	s.Class, s.Service, s.Priority, s.EstimateS = "service", true, storage.Production, 0
	return s
}

// running lists where a job's tasks run now.
func (sim *simulation) running(id string) map[TaskID]*fakeWorker {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	out := make(map[TaskID]*fakeWorker)
	for _, wk := range sim.workers {
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
	sim     *simulation
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

func (sim *simulation) addWorker(id int, kind, zone string, spot bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.over.Load() {
		return
	}
	wk := &fakeWorker{sim: sim, id: id, kind: kind, zone: zone, spot: spot, session: 1, leased: time.Now(), tasks: make(map[workerKey]*workerTask)}
	sim.workers[id] = wk
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
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
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
	if now.Sub(wk.leased) > wk.sim.settings.Lease {
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
			wk.sim.ran[k.ID] = wk.sim.ran[k.ID] || t.cause == CauseDone
		}
	}
}

func (wk *fakeWorker) run() {
	for !wk.dead.Load() {
		pause := wk.sim.settings.Report
		if !wk.cut.Load() && !wk.mute.Load() && !wk.still.Load() {
			pause = wk.heartbeat()
		}
		time.Sleep(pause)
	}
}

// beat reports and returns when to report again.
func (wk *fakeWorker) heartbeat() time.Duration {
	n := wk.sim.nodes[wk.node%len(wk.sim.nodes)]
	r := wk.report()
	sent := time.Now()
	wk.sim.locked(func() {
		if wk.sim.keeping {
			wk.sim.kept = append(wk.sim.kept, r)
		}
	})
	live := n.live.Load()
	if live == nil || !n.reaches(wk) {
		wk.node++
		if live == nil {
			return workerPause // refused
		}
		return workerTimeout + workerPause
	}
	ctx, cancel := context.WithTimeout(context.Background(), workerTimeout)
	a := live.Heartbeat(ctx, r)
	cancel()
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
	switch {
	case wk.deaf.Load() || wk.cut.Load() || wk.dead.Load() || wk.still.Load() || !n.reaches(wk):
	case !a.Accepted:
		for i, o := range wk.sim.nodes {
			if o.name == a.Leader && o != n {
				wk.node = i
				return 0
			}
		}
		wk.node++
		return workerPause
	case a.Token >= wk.token && r.Session == wk.session:
		wk.token, wk.leased = a.Token, sent
		wk.execute(a.Orders)
	}
	return wk.sim.settings.Report
}

func (wk *fakeWorker) execute(orders []Order) {
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
				spec := wk.sim.specs[o.ID.Job]
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
	sim := wk.sim
	spec, ok := sim.specs[k.ID.Job]
	if !ok {
		return &workerTask{state: Ended, cause: CauseUnknown}
	}
	sim.starts++
	free := wk.typ().Room
	for o, t := range wk.tasks {
		if t.state != Ended {
			free = free.Minus(sim.specs[o.ID.Job].Room)
		}
	}
	if !spec.Room.Fits(free) {
		return &workerTask{state: Ended, cause: CauseFull}
	}
	used, zones := spec.Room, map[string]int{wk.zone: 1}
	for _, other := range sim.workers {
		other.settle()
		for o, t := range other.tasks {
			if other.dead.Load() || t.state == Ended {
				continue
			}
			if o.ID == k.ID {
				sim.t.Errorf("ran_twice: %v on %d and %d", k.ID, other.id, wk.id)
			}
			if sim.specs[o.ID.Job].Team == spec.Team {
				used = used.Plus(sim.specs[o.ID.Job].Room)
			}
			if o.ID.Job == k.ID.Job {
				zones[other.zone]++
			}
		}
	}
	if team := sim.settings.team(spec.Team); !storage.Within(used, team.Limit) {
		sim.t.Errorf("quota: team %s uses %+v", spec.Team, used)
	}
	if wk.spot && !spec.Spot || !allowed(spec.Types, wk.kind) || spec.Zone != "" && spec.Zone != wk.zone ||
		spec.SameZone && len(zones) > 1 || spec.Spread && zones[wk.zone] > (spec.Tasks+1)/2 {
		sim.t.Errorf("wrong_place: %v on %d", k.ID, wk.id)
	}
	if at, ok := sim.cancelAt[k.ID.Job]; ok && time.Since(at) > sim.settings.Cancel {
		sim.t.Errorf("ran_cancelled: %v started %v after", k.ID, time.Since(at))
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
		n.sim.t.Errorf("address %q", addr)
	}
	n.sim.mu.Lock()
	wk := n.sim.workers[id]
	lost := wk == nil || wk.dead.Load() || wk.cut.Load() || wk.deaf.Load() || !n.reaches(wk)
	if !lost && (wk.hang.Load() || wk.still.Load()) {
		wk.late = append(wk.late, lateOrders{token, session, orders})
	}
	n.sim.mu.Unlock()
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
	wk.sim.locked(func() { late = wk.late })
	for _, l := range late {
		wk.direct(l.token, l.session, l.orders)
	}
}

func (wk *fakeWorker) direct(token, session uint64, orders []Order) (Outcome, *Report) {
	wk.sim.mu.Lock()
	defer wk.sim.mu.Unlock()
	wk.settle()
	if token < wk.token || session != wk.session {
		return Rejected, wk.makeReport()
	}
	wk.token = token
	wk.execute(orders)
	return Executed, wk.makeReport()
}

// fakeCloud rents workers by the protocol.
type fakeCloud struct {
	sim     *simulation
	next    int
	rentals map[string][]int
	asked   map[string]int
	loseOne bool // the answer to the next hire is lost
	full    func(storage.RentalRecord) bool
	boot    time.Duration // 0: by type
}

func (c *fakeCloud) Catalogue(context.Context) ([]storage.MachineType, error) { return testTypes, nil }

func (c *fakeCloud) Rent(_ context.Context, name string, h storage.RentalRecord) ([]int, error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	if c.asked == nil {
		c.asked = make(map[string]int)
	}
	c.asked[name]++
	if got, ok := c.rentals[name]; ok {
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
		time.AfterFunc(boot, func() { c.sim.addWorker(id, h.Type, h.Zone, h.Spot) })
	}
	c.rentals[name] = got
	if c.loseOne {
		c.loseOne = false
		return nil, ErrCloud
	}
	return got, nil
}

func (c *fakeCloud) Return(_ context.Context, machines []int) error {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	for _, id := range machines {
		if wk := c.sim.workers[id]; wk != nil {
			wk.dead.Store(true)
		}
	}
	return nil
}

func (c *fakeCloud) List(_ context.Context, after, _ int) ([]Listed, bool, error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	var out []Listed
	for id, wk := range c.sim.workers {
		if id > after && !wk.dead.Load() {
			out = append(out, Listed{Machine: id, Addr: fmt.Sprint(id), Type: wk.kind, Zone: wk.zone, Spot: wk.spot, State: Up})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Machine < out[b].Machine })
	return out, false, nil
}
