package scheduler

import (
	"context"
	"fmt"
	"sort"
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
)

// fakeCloud rents workers by the protocol.
type fakeCloud struct {
	sim              *simulation
	next             int
	launches         map[string][]int
	launchCalls      map[string]int
	loseNextResponse bool // the answer to the next rental is lost
	noCapacity       func(storage.LaunchRecord) bool
	bootTime         time.Duration // 0: by type
	terminated       map[int]bool  // returned before they came up
}

func (c *fakeCloud) MachineTypes(context.Context) ([]storage.MachineType, error) {
	return clustertest.Types, nil
}

func (c *fakeCloud) Launch(_ context.Context, name string, h storage.LaunchRecord) ([]int, error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	if c.launchCalls == nil {
		c.launchCalls = make(map[string]int)
	}
	c.launchCalls[name]++
	if got, ok := c.launches[name]; ok {
		return got, nil
	}
	if c.noCapacity != nil && c.noCapacity(h) {
		return nil, cloud.ErrNoCapacity
	}
	var got []int
	for range h.Count {
		id := c.next
		c.next++
		got = append(got, id)
		boot := c.bootTime
		if boot == 0 {
			boot = 15 * time.Second
		}
		time.AfterFunc(boot, func() {
			if !c.isTerminated(id) {
				c.sim.addWorker(id, h.Type, h.Zone, h.Spot)
			}
		})
	}
	c.launches[name] = got
	if c.loseNextResponse {
		c.loseNextResponse = false
		return nil, cloud.ErrUnknownOutcome
	}
	return got, nil
}

// isTerminated tells whether a machine has been returned.
func (c *fakeCloud) isTerminated(id int) (gone bool) {
	c.sim.withLock(func() { gone = c.terminated[id] })
	return gone
}

func (c *fakeCloud) Terminate(_ context.Context, machines []int) error {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	for _, id := range machines {
		if c.terminated == nil {
			c.terminated = make(map[int]bool)
		}
		c.terminated[id] = true
		if wk := c.sim.workers[id]; wk != nil {
			wk.dead.Store(true)
		}
	}
	return nil
}

func (c *fakeCloud) List(_ context.Context, after, _ int) ([]cloud.Machine, bool, error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	var out []cloud.Machine
	for id, wk := range c.sim.workers {
		if id > after && !wk.dead.Load() {
			out = append(out, cloud.Machine{ID: id, Addr: fmt.Sprint(id), Type: wk.typeName, Zone: wk.zone, Spot: wk.spot, State: cloud.Running})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	return out, false, nil
}
