package scheduler

import (
	"strings"
	"sync/atomic"
	"time"

	"sagevale/internal/leadership"
	"sagevale/internal/storage/storagetest"
)

// coldStartFault is a fault that is injected at some moment of a wake or a drain, and passes by itself.
type coldStartFault struct {
	name   string
	inject func(sim *simulation, leader *fakeNode)
	// mayRestart is whether the replica may be restarted within its generation, because a machine or
	// the model fails too.
	mayRestart bool
}

// coldFaultDuration is longer than a leader's lease.
const coldFaultDuration = 6 * time.Second

// restartAfter kills nodes and starts them again after a delay. Two faults at once may concern the same node.
func (sim *simulation) restartAfter(delay time.Duration, nodes ...*fakeNode) {
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

// duringFault begins a fault, and ends it after coldFaultDuration.
func (sim *simulation) duringFault(begin, end func()) {
	begin()
	time.Sleep(coldFaultDuration)
	end()
}

var coldStartFaults = []coldStartFault{
	{"leader crash", func(sim *simulation, leader *fakeNode) { sim.restartAfter(4*time.Second, leader) }, false},
	{"leader restart", func(sim *simulation, leader *fakeNode) { sim.restartAfter(time.Millisecond, leader) }, false},
	{"leader paused beyond its lease", func(_ *simulation, leader *fakeNode) { leader.pause(coldFaultDuration) }, false},
	{"leader and follower crash", func(sim *simulation, leader *fakeNode) {
		sim.restartAfter(4*time.Second, leader, sim.followers(leader)[0])
	}, false},
	{"all controllers crash", func(sim *simulation, _ *fakeNode) {
		sim.restartAfter(4*time.Second, sim.nodes...)
	}, false},
	{"follower crash", func(sim *simulation, leader *fakeNode) { sim.restartAfter(4*time.Second, sim.followers(leader)[0]) }, false},
	{"leader cut off from store", func(sim *simulation, leader *fakeNode) {
		sim.duringFault(func() { leader.cutStore.Store(true) }, func() { leader.cutStore.Store(false) })
	}, false},
	{"leader cut off from peers", func(sim *simulation, leader *fakeNode) {
		sim.duringFault(func() { leader.cutPeers.Store(true) }, func() { leader.cutPeers.Store(false) })
	}, false},
	{"leader cut off from workers", func(sim *simulation, leader *fakeNode) {
		sim.duringFault(func() { leader.cutWorkers.Store(true) }, func() { leader.cutWorkers.Store(false) })
	}, false},
	{"store outage", func(sim *simulation, _ *fakeNode) { sim.outage(coldFaultDuration) }, false},
	{"store responses lost", func(sim *simulation, _ *fakeNode) {
		sim.state.Update(func(s *storagetest.Service) { s.LoseResponses = 3 })
	}, false},
	{"transactions delayed", func(sim *simulation, _ *fakeNode) {
		sim.duringFault(func() { sim.delayCommits(2, time.Second) }, func() { sim.delayCommits(0, 0) })
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
		for _, wk := range sim.machinesOf(coldModel) {
			wk.dead.Store(true)
		}
	}, true},
	{"machine paused", func(sim *simulation, _ *fakeNode) {
		for _, wk := range sim.machinesOf(coldModel) {
			sim.duringFault(func() { wk.paused.Store(true) }, func() { wk.paused.Store(false); wk.executeDelayed() })
		}
	}, true},
	{"model exits after its first responses", func(sim *simulation, _ *fakeNode) {
		sim.withLock(func() { sim.failAfter[coldModel] = time.Second })
		time.Sleep(6 * coldFaultDuration)
		sim.withLock(func() { delete(sim.failAfter, coldModel) })
	}, true},
}

// coldStartMoment is a moment of a wake or a drain at which faults are injected.
type coldStartMoment struct {
	name string
	// schedule arranges for inject to be called at that moment of the wake or drain about to begin.
	schedule func(sim *simulation, inject func())
}

// isLeaderRecordWrite reports whether a transaction is the leader's commit of journal records, not one on upgrades.
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

// onNthWrite returns a hook that starts f with the nth commit of records from now on, and reports whether a transaction is that commit.
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

// coldStartMoments returns the moments of a wake, by its durable steps and between them. Tests draw them by index.
func coldStartMoments() []coldStartMoment {
	moments := []coldStartMoment{
		{"at first demand", func(_ *simulation, inject func()) { go inject() }},
		{"during start", func(_ *simulation, inject func()) { time.AfterFunc(4*time.Second, inject) }},
		{"after first response", func(_ *simulation, inject func()) { time.AfterFunc(15*time.Second, inject) }},
	}
	for step, name := range []string{"the wake", "the reservation", "the first response"} {
		nth := step + 1
		moments = append(moments,
			coldStartMoment{"before " + name + " is written", func(sim *simulation, inject func()) {
				sim.state.Update(func(s *storagetest.Service) { s.Drop = onNthWrite(nth, inject) })
			}},
			coldStartMoment{"when " + name + " is written", func(sim *simulation, inject func()) {
				injectAtNth := onNthWrite(nth, inject)
				sim.state.Update(func(s *storagetest.Service) { s.Before = func(tx storagetest.Txn) { injectAtNth(tx) } })
			}},
			coldStartMoment{"when " + name + " is written but unanswered", func(sim *simulation, inject func()) {
				sim.state.Update(func(s *storagetest.Service) { s.Lose = onNthWrite(nth, inject) })
			}})
	}
	return moments
}

// drainMoments returns the moments of a drain, by its three durable steps: draining, stopping, idle.
func drainMoments() []coldStartMoment {
	var moments []coldStartMoment
	for _, m := range coldStartMoments() {
		if strings.Contains(m.name, "written") {
			moments = append(moments, m)
		}
	}
	return moments
}
