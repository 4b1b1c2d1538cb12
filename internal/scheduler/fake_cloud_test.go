package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
)

// defaultBootTime is the time from a launch until the worker is up.
const defaultBootTime = 15 * time.Second

// fakeCloud launches and terminates workers. Its fields are guarded by sim.mu.
type fakeCloud struct {
	sim              *simulation
	nextMachineID    int                             // ID of the next machine
	machinesByLaunch map[string][]int                // IDs of the launched machines, by launch name
	launchCalls      map[string]int                  // number of Launch calls, by launch name
	loseNextResponse bool                            // the response to the next new launch is lost
	noCapacity       func(storage.LaunchRecord) bool // reports whether a launch fails for lack of capacity; nil: none fails
	bootTime         time.Duration                   // time from a launch until the worker is up; 0: defaultBootTime
	terminated       map[int]bool                    // by machine ID: whether the machine was terminated
}

// MachineTypes returns the instance types that the tests use.
func (c *fakeCloud) MachineTypes(context.Context) ([]storage.MachineType, error) {
	return clustertest.Types, nil
}

// Launch launches machines once per name. A repeated call returns the same machines.
func (c *fakeCloud) Launch(_ context.Context, name string, launch storage.LaunchRecord) ([]int, error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	c.launchCalls[name]++
	if machines, ok := c.machinesByLaunch[name]; ok {
		return machines, nil
	}
	if c.noCapacity != nil && c.noCapacity(launch) {
		return nil, cloud.ErrNoCapacity
	}
	var machines []int
	for range launch.Count {
		id := c.nextMachineID
		c.nextMachineID++
		machines = append(machines, id)
		time.AfterFunc(cmp.Or(c.bootTime, defaultBootTime), func() {
			if !c.isTerminated(id) {
				c.sim.addWorker(id, launch.Type, launch.Zone, launch.Spot)
			}
		})
	}
	c.machinesByLaunch[name] = machines
	if c.loseNextResponse {
		c.loseNextResponse = false
		return nil, cloud.ErrUnknownOutcome
	}
	return machines, nil
}

// isTerminated reports whether a machine has been terminated.
func (c *fakeCloud) isTerminated(id int) (terminated bool) {
	c.sim.withLock(func() { terminated = c.terminated[id] })
	return terminated
}

// Terminate terminates machines, including those that haven't started yet.
func (c *fakeCloud) Terminate(_ context.Context, machines []int) error {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	for _, id := range machines {
		c.terminated[id] = true
		if wk := c.sim.workers[id]; wk != nil {
			wk.dead.Store(true)
		}
	}
	return nil
}

// List returns all running machines with an ID greater than after, in one page.
func (c *fakeCloud) List(_ context.Context, after, _ int) ([]cloud.Machine, bool, error) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	var machines []cloud.Machine
	for id, wk := range c.sim.workers {
		if id > after && !wk.dead.Load() {
			machines = append(machines, cloud.Machine{ID: id, Addr: fmt.Sprint(id), Type: wk.typeName, Zone: wk.zone, Spot: wk.spot, State: cloud.Running})
		}
	}
	slices.SortFunc(machines, func(a, b cloud.Machine) int { return cmp.Compare(a.ID, b.ID) })
	return machines, false, nil
}
