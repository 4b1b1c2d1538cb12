package scheduler

import (
	"strings"
	"sync/atomic"
	"time"

	"sagevale/internal/leadership"
	"sagevale/internal/storage/storagetest"
)

// A wake starts a model that is scaled to zero. A drain precedes the scaling to zero: controllers stop forwarding requests to
// the model and finish the requests in flight.

// coldStartFault is a fault that is injected at some point of a wake or a drain. The inject function also ends the fault, unless
// a machine is lost.
type coldStartFault struct {
	name   string
	inject func(sim *simulation, leader *fakeNode)
	// mayRestart is set if the fault concerns a machine or the model, so that the replica may be restarted without another
	// wake.
	mayRestart bool
}

// faultDuration is the duration of most faults. It is longer than a leader's lease.
const faultDuration = 6 * time.Second

// killAndRestart kills nodes and starts them again after a delay. Two simultaneous faults may concern the same node, so
// killAndRestart doesn't start a node that is already running again.
func (sim *simulation) killAndRestart(delay time.Duration, nodes ...*fakeNode) {
	for _, n := range nodes {
		sim.processMu.Lock()
		n.kill()
		sim.processMu.Unlock()
	}
	time.Sleep(delay)
	for _, n := range nodes {
		sim.processMu.Lock()
		if n.cancelRun == nil {
			n.start()
		}
		sim.processMu.Unlock()
	}
}

// injectTemporarily begins a fault, and ends it after faultDuration.
func (sim *simulation) injectTemporarily(begin, end func()) {
	begin()
	time.Sleep(faultDuration)
	end()
}

var coldStartFaults = []coldStartFault{
	{"leader crash", func(sim *simulation, leader *fakeNode) { sim.killAndRestart(4*time.Second, leader) }, false},
	{"leader restart", func(sim *simulation, leader *fakeNode) { sim.killAndRestart(time.Millisecond, leader) }, false},
	{"leader paused beyond its lease", func(_ *simulation, leader *fakeNode) { leader.pause(faultDuration) }, false},
	{"leader and follower crash", func(sim *simulation, leader *fakeNode) {
		sim.killAndRestart(4*time.Second, leader, sim.followers(leader)[0])
	}, false},
	{"all controllers crash", func(sim *simulation, _ *fakeNode) {
		sim.killAndRestart(4*time.Second, sim.nodes...)
	}, false},
	{"follower crash", func(sim *simulation, leader *fakeNode) { sim.killAndRestart(4*time.Second, sim.followers(leader)[0]) }, false},
	{"leader cut off from store", func(sim *simulation, leader *fakeNode) {
		sim.injectTemporarily(func() { leader.cutStore.Store(true) }, func() { leader.cutStore.Store(false) })
	}, false},
	{"leader cut off from peers", func(sim *simulation, leader *fakeNode) {
		sim.injectTemporarily(func() { leader.cutPeers.Store(true) }, func() { leader.cutPeers.Store(false) })
	}, false},
	{"leader cut off from workers", func(sim *simulation, leader *fakeNode) {
		sim.injectTemporarily(func() { leader.cutWorkers.Store(true) }, func() { leader.cutWorkers.Store(false) })
	}, false},
	{"store outage", func(sim *simulation, _ *fakeNode) { sim.outage(faultDuration) }, false},
	{"store responses lost", func(sim *simulation, _ *fakeNode) {
		sim.store.Update(func(s *storagetest.Service) { s.LoseResponses = 3 })
	}, false},
	{"transactions delayed", func(sim *simulation, _ *fakeNode) {
		sim.injectTemporarily(func() { sim.delayCommits(2, time.Second) }, func() { sim.delayCommits(0, 0) })
	}, false},
	{"heartbeats and demand replayed", func(sim *simulation, _ *fakeNode) {
		sim.recordReports()
		for range 5 {
			time.Sleep(time.Second)
			sim.replayReports(sim.nodes...)
			sim.replayPeerMessages()
		}
	}, false},
	{"machine loss", func(sim *simulation, _ *fakeNode) {
		for _, wk := range sim.machinesOf(modelID) {
			wk.dead.Store(true)
		}
	}, true},
	{"machine paused", func(sim *simulation, _ *fakeNode) {
		for _, wk := range sim.machinesOf(modelID) {
			sim.injectTemporarily(func() { wk.paused.Store(true) }, func() { wk.paused.Store(false); wk.executeDelayed() })
		}
	}, true},
	{"model exits after its first responses", func(sim *simulation, _ *fakeNode) {
		sim.withLock(func() { sim.failAfter[modelID] = time.Second })
		time.Sleep(6 * faultDuration)
		sim.withLock(func() { delete(sim.failAfter, modelID) })
	}, true},
}

// injectionPoint is a point of a wake or a drain at which faults are injected.
type injectionPoint struct {
	name string
	// schedule arranges for inject to be called at this point of the next wake or drain.
	schedule func(sim *simulation, inject func())
}

// isLeaderRecordWrite reports whether a transaction is a commit of journal records by the leader. A transaction that writes
// upgrade state doesn't count.
func isLeaderRecordWrite(tx storagetest.Txn) bool {
	byLeader := false
	for _, g := range tx.Guards {
		byLeader = byLeader || g.Key == leadership.LeaderKey
	}
	for _, op := range tx.Ops {
		byLeader = byLeader && !strings.HasPrefix(op.Key, leadership.UpgradePrefix)
	}
	return byLeader
}

// onNthWrite returns a hook for transactions. At the nth commit of journal records from now on, the hook starts f in a new
// goroutine and returns true. For other transactions it returns false.
func onNthWrite(nth int, f func()) func(storagetest.Txn) bool {
	var seen atomic.Int64
	return func(tx storagetest.Txn) bool {
		if !isLeaderRecordWrite(tx) {
			return false
		}
		if seen.Add(1) != int64(nth) {
			return false
		}
		go f()
		return true
	}
}

// wakeInjectionPoints returns the injection points of a wake. The first three are points in time. The others belong to the
// three durable steps of a wake, each of which is a transaction. For each step there are three points: the transaction is
// dropped, the transaction is about to be applied, or the transaction is applied but its response is lost. The order of the
// points matters, because tests choose points by a random index.
func wakeInjectionPoints() []injectionPoint {
	points := []injectionPoint{
		{"at first demand", func(_ *simulation, inject func()) { go inject() }},
		{"during start", func(_ *simulation, inject func()) { time.AfterFunc(4*time.Second, inject) }},
		{"after first response", func(_ *simulation, inject func()) { time.AfterFunc(15*time.Second, inject) }},
	}
	for step, name := range []string{"the wake", "the reservation", "the first response"} {
		nth := step + 1
		points = append(points,
			injectionPoint{"before " + name + " is written", func(sim *simulation, inject func()) {
				sim.store.Update(func(s *storagetest.Service) { s.DropTxn = onNthWrite(nth, inject) })
			}},
			injectionPoint{"when " + name + " is written", func(sim *simulation, inject func()) {
				injectAtNth := onNthWrite(nth, inject)
				sim.store.Update(func(s *storagetest.Service) { s.BeforeApply = func(tx storagetest.Txn) { injectAtNth(tx) } })
			}},
			injectionPoint{"when " + name + " is written but unanswered", func(sim *simulation, inject func()) {
				sim.store.Update(func(s *storagetest.Service) { s.LoseResponse = onNthWrite(nth, inject) })
			}})
	}
	return points
}

// drainInjectionPoints returns the injection points of a drain. They belong to the transactions of its three durable steps,
// which change the model's state to draining, to stopping and to idle. The points have the names of the first, second and
// third step of a wake.
func drainInjectionPoints() []injectionPoint {
	var points []injectionPoint
	for _, point := range wakeInjectionPoints() {
		if strings.Contains(point.name, "written") {
			points = append(points, point)
		}
	}
	return points
}
