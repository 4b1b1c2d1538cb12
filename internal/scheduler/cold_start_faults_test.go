package scheduler

import (
	"strings"
	"sync/atomic"
	"time"

	"sagevale/internal/leadership"
	"sagevale/internal/storage/storagetest"
)

// A trouble begins at a moment of the wake, and ends by itself.
type coldStartFault struct {
	name   string
	inject func(sim *simulation, lead *fakeNode)
	// restarts tells that the replica may be started anew in its generation: not only
	// controllers fail.
	mayRestart bool
}

const coldFaultDuration = 6 * time.Second

// restartAfter ends nodes' processes, and begins them again after a while. Troubles that meet may end the same.
func (sim *simulation) restartAfter(back time.Duration, nodes ...*fakeNode) {
	for _, n := range nodes {
		sim.processMu.Lock()
		n.kill()
		sim.processMu.Unlock()
	}
	time.Sleep(back)
	for _, n := range nodes {
		sim.processMu.Lock()
		if n.cancelRun == nil {
			n.start()
		}
		sim.processMu.Unlock()
	}
}

func (sim *simulation) duringFault(set, reset func()) {
	set()
	time.Sleep(coldFaultDuration)
	reset()
}

var coldStartFaults = []coldStartFault{
	{"the leader ends", func(sim *simulation, lead *fakeNode) { sim.restartAfter(4*time.Second, lead) }, false},
	{"the leader restarts at once", func(sim *simulation, lead *fakeNode) { sim.restartAfter(time.Millisecond, lead) }, false},
	{"the leader stands still for longer than its grant", func(sim *simulation, lead *fakeNode) { lead.pause(coldFaultDuration) }, false},
	{"two of three end", func(sim *simulation, lead *fakeNode) {
		sim.restartAfter(4*time.Second, lead, sim.followers(lead)[0])
	}, false},
	{"all end", func(sim *simulation, _ *fakeNode) {
		sim.restartAfter(4*time.Second, sim.nodes...)
	}, false},
	{"a follower with demand ends", func(sim *simulation, lead *fakeNode) { sim.restartAfter(4*time.Second, sim.followers(lead)[0]) }, false},
	{"the leader loses the state service", func(sim *simulation, lead *fakeNode) {
		sim.duringFault(func() { lead.cutStore.Store(true) }, func() { lead.cutStore.Store(false) })
	}, false},
	{"the leader loses its peers", func(sim *simulation, lead *fakeNode) {
		sim.duringFault(func() { lead.cutPeers.Store(true) }, func() { lead.cutPeers.Store(false) })
	}, false},
	{"the leader loses the workers", func(sim *simulation, lead *fakeNode) {
		sim.duringFault(func() { lead.cutWorkers.Store(true) }, func() { lead.cutWorkers.Store(false) })
	}, false},
	{"the state service is out", func(sim *simulation, _ *fakeNode) { sim.outage(coldFaultDuration) }, false},
	{"answers of the state service are lost", func(sim *simulation, _ *fakeNode) {
		sim.state.Update(func(s *storagetest.Service) { s.LoseAnswers = 3 })
	}, false},
	{"transactions come late", func(sim *simulation, _ *fakeNode) {
		sim.duringFault(func() { sim.delayCommits(2, time.Second) }, func() { sim.delayCommits(0, 0) })
	}, false},
	{"reports and demand come again late", func(sim *simulation, _ *fakeNode) {
		sim.recordReports()
		for range 5 {
			time.Sleep(time.Second)
			sim.replayReports(sim.nodes...)
			sim.replayPeerMessages()
		}
	}, false},
	{"the machine dies", func(sim *simulation, _ *fakeNode) {
		for _, wk := range sim.machinesOf(coldModel) {
			wk.dead.Store(true)
		}
	}, true},
	{"the machine stands still", func(sim *simulation, _ *fakeNode) {
		for _, wk := range sim.machinesOf(coldModel) {
			sim.duringFault(func() { wk.paused.Store(true) }, func() { wk.paused.Store(false); wk.executeDelayed() })
		}
	}, true},
	{"the model ends after its first answers", func(sim *simulation, _ *fakeNode) {
		sim.withLock(func() { sim.failAfter[coldModel] = time.Second })
		time.Sleep(6 * coldFaultDuration)
		sim.withLock(func() { delete(sim.failAfter, coldModel) })
	}, true},
}

// A moment of a wake at which troubles begin.
type coldStartMoment struct {
	name string
	// at has strike called at the moment of the wake that is about to begin.
	schedule func(sim *simulation, strike func())
}

// isLeaderRecordWrite tells whether a transaction is the leader's, of its records.
func isLeaderRecordWrite(tx storagetest.Txn) bool {
	led := false
	for _, g := range tx.Guards {
		led = led || g.Key == leadership.LeaderKey
	}
	for _, op := range tx.Ops {
		led = led && !strings.HasPrefix(op.Key, leadership.UpgradePrefix)
	}
	return led
}

// onNthWrite calls f once for the nth transaction of records from now on, and tells whether it was that.
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

func coldStartMoments() []coldStartMoment {
	moments := []coldStartMoment{
		{"as demand comes", func(_ *simulation, strike func()) { go strike() }},
		{"while it starts", func(_ *simulation, strike func()) { time.AfterFunc(4*time.Second, strike) }},
		{"after it answered", func(_ *simulation, strike func()) { time.AfterFunc(15*time.Second, strike) }},
	}
	for step, name := range []string{"the wake", "the booking", "the first answer"} {
		nth := step + 1
		moments = append(moments,
			coldStartMoment{"before " + name + " is written", func(sim *simulation, strike func()) {
				sim.state.Update(func(s *storagetest.Service) { s.Drop = onNthWrite(nth, strike) })
			}},
			coldStartMoment{"when " + name + " is written", func(sim *simulation, strike func()) {
				once := onNthWrite(nth, strike)
				sim.state.Update(func(s *storagetest.Service) { s.Before = func(tx storagetest.Txn) { once(tx) } })
			}},
			coldStartMoment{"when " + name + " is written, without an answer", func(sim *simulation, strike func()) {
				sim.state.Update(func(s *storagetest.Service) { s.Lose = onNthWrite(nth, strike) })
			}})
	}
	return moments
}

// drainMoments are those of a drain, by its durable steps: draining, stopping, idle.
func drainMoments() []coldStartMoment {
	var moments []coldStartMoment
	for _, m := range coldStartMoments() {
		if strings.Contains(m.name, "written") {
			moments = append(moments, m)
		}
	}
	return moments
}
