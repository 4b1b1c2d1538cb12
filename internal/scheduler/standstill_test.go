package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
)

// gate holds up whoever passes while the node stands still: what it was about to send leaves late,
// and what has come is learnt late. Its clocks go on.
func (n *fakeNode) gate() {
	if until := n.frozen.Load(); until != nil {
		<-*until
	}
}

// freeze has the node stand still for a while.
func (n *fakeNode) freeze(d time.Duration) {
	until := make(chan struct{})
	n.frozen.Store(&until)
	time.AfterFunc(d, func() {
		n.frozen.CompareAndSwap(&until, nil)
		close(until)
	})
}

// gatedState is a node's way to the state service. Each call is held up before it is sent and
// before its answer is learnt.
type gatedState struct {
	storage.KeyValueStore
	node *fakeNode
}

func (g gatedState) Get(ctx context.Context, key string) (storage.Item, error) {
	g.node.gate()
	defer g.node.gate()
	return g.KeyValueStore.Get(ctx, key)
}

func (g gatedState) Txn(ctx context.Context, guards []storage.Guard, ops []storage.Op) (uint64, error) {
	g.node.gate()
	defer g.node.gate()
	return g.KeyValueStore.Txn(ctx, guards, ops)
}

func (g gatedState) Grant(ctx context.Context, life time.Duration) (uint64, error) {
	g.node.gate()
	defer g.node.gate()
	return g.KeyValueStore.Grant(ctx, life)
}

func (g gatedState) Renew(ctx context.Context, lease uint64) error {
	g.node.gate()
	defer g.node.gate()
	return g.KeyValueStore.Renew(ctx, lease)
}

// work submits services and arrays, and waits until they run.
func (sim *simulation) work() {
	sim.submit(clustertest.Service("000001", 3))
	sim.submit(lasting("000002", 3, 2*time.Minute))
	sim.submit(onLimit(lasting("000003", 2, 2*time.Minute)))
	sim.runs("000001", 3)
	sim.runs("000003", 2)
}

// settled checks that the work of a scenario goes on, and ends.
func (sim *simulation) settled() {
	sim.t.Helper()
	sim.runs("000001", 3)
	sim.done("000002")
	sim.done("000003")
}

// standstills are scenarios in which a controller stands still while its clocks run on.
func standstills() []combination {
	var out []combination
	for _, c := range []struct {
		name string
		span time.Duration
	}{{"within a grant", time.Second}, {"for seconds", 4 * time.Second}, {"beyond the lease", 35 * time.Second}, {"beyond cancel_s", 70 * time.Second}} {
		out = append(out,
			combination{"the leader " + c.name + ", cancels meanwhile", func(sim *simulation) {
				sim.work()
				sim.submit(clustertest.Service("000004", 2))
				sim.runs("000004", 2)
				old := sim.awaitLeader()
				old.freeze(c.span)
				go sim.askNode(old, api.OpPoll, "000004", storage.Spec{})
				go sim.askNode(old, api.OpCancel, "000004", storage.Spec{})
				sim.cancel("000004")
				sim.askEverywhere("000004")
				time.Sleep(c.span)
				sim.askEverywhere("000004")
				sim.gone("000004")
				sim.settled()
			}},
			combination{"the leader " + c.name + " with starts on their way", func(sim *simulation) {
				sim.work()
				for i := range 8 {
					sim.submit(lasting(fmt.Sprintf("1%05d", i), 2, 3*time.Minute))
				}
				sim.awaitLeader().freeze(c.span)
				time.Sleep(c.span / 2)
				sim.cancel("100000")
				time.Sleep(c.span)
				sim.gone("100000")
				for i := range 7 {
					sim.done(fmt.Sprintf("1%05d", i+1))
				}
				sim.settled()
			}},
			combination{"two controllers in turn " + c.name, func(sim *simulation) {
				sim.work()
				sim.awaitLeader().freeze(c.span)
				time.Sleep(2*sim.settings.Tuning.LeaderLease + time.Second)
				if n := sim.leader(); n != nil {
					n.freeze(c.span)
				}
				sim.submit(clustertest.Service("000004", 1))
				sim.cancel("000004")
				time.Sleep(2 * c.span)
				sim.gone("000004")
				sim.settled()
			}},
			combination{"the leader " + c.name + " in an outage", func(sim *simulation) {
				sim.work()
				sim.awaitLeader().freeze(c.span)
				sim.outage(c.span / 2)
				sim.cancel("000002")
				time.Sleep(c.span)
				sim.gone("000002")
				sim.runs("000001", 3)
				sim.done("000003")
			}},
			combination{"a follower " + c.name + " while the leader ends", func(sim *simulation) {
				sim.work()
				lead := sim.awaitLeader()
				for _, n := range sim.nodes {
					if n != lead {
						n.freeze(c.span)
						break
					}
				}
				sim.crash(lead, 4*time.Second)
				sim.submit(lasting("000004", 2, 20*time.Second))
				time.Sleep(c.span)
				sim.done("000004")
				sim.settled()
			}})
	}
	return out
}

func TestStandstills(t *testing.T) {
	for _, c := range standstills() {
		t.Run(c.name, func(t *testing.T) { inSimulation(t, c.story) })
	}
}
