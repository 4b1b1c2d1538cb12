package protocol

import (
	"fmt"

	"sagevale/internal/cloud"
	"sagevale/internal/storage"
)

// Catalog is the cloud's catalog of instance types.
type Catalog struct {
	Types []machineType `json:"Breeds"`
}

type machineType struct {
	Name      string   `json:"Sku"`
	CPUs      float64  `json:"Cpus"`
	GPUs      float64  `json:"Gpus"`
	MemoryGB  float64  `json:"MemoryGb"`
	CacheGB   float64  `json:"LocalGb"`
	FetchGBPS float64  `json:"PullGbPerS"`
	Price     float64  `json:"Hourly"`
	SpotPrice float64  `json:"LowPrice"`
	BootS     float64  `json:"BootS"`
	Zones     []string `json:"Pastures"`
}

// valid reports whether machines of this type can be launched and can run tasks.
func (t *machineType) valid() bool {
	return t.Name != "" && t.CPUs > 0 && t.MemoryGB > 0 && t.GPUs >= 0 && len(t.Zones) > 0
}

// MachineTypes returns the valid instance types of the catalog.
func (c Catalog) MachineTypes() []storage.MachineType {
	var types []storage.MachineType
	for _, t := range c.Types {
		if !t.valid() {
			continue
		}
		types = append(types, storage.MachineType{
			Name: t.Name, Resources: storage.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB},
			CacheGB: t.CacheGB, FetchGBPS: t.FetchGBPS, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: t.Zones,
		})
	}
	return types
}

// LaunchRequest is the body of a launch request.
type LaunchRequest struct {
	Name  string `json:"Hire"` // idempotency key
	Type  string `json:"Breed"`
	Zone  string `json:"Pasture"`
	Spot  bool   `json:"Loaner"`
	Count int    `json:"Count"`
}

// NewLaunchRequest returns the body of a launch request. The name is its idempotency key.
func NewLaunchRequest(name string, launch storage.LaunchRecord) LaunchRequest {
	return LaunchRequest{Name: name, Type: launch.Type, Zone: launch.Zone, Spot: launch.Spot, Count: launch.Count}
}

// MachineNames is the body of the response to a launch request, and of a termination request.
type MachineNames struct {
	Machines []string `json:"Mounts"`
}

// NewMachineNames returns the names of the machines with the given IDs.
func NewMachineNames(ids []int) MachineNames {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, MachineName(id))
	}
	return MachineNames{Machines: names}
}

// IDs converts the names to machine IDs. It returns an error if any name is invalid.
func (n MachineNames) IDs() ([]int, error) {
	ids := make([]int, 0, len(n.Machines))
	for _, name := range n.Machines {
		id, err := ParseMachineName(name)
		if err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// MachineList is one page of the cloud's list of machines.
type MachineList struct {
	Machines []listedMachine `json:"Mounts"`
	More     bool            `json:"More"`
}

type listedMachine struct {
	ID         string  `json:"Id"`
	Addr       string  `json:"Addr"`
	Type       string  `json:"Breed"`
	Zone       string  `json:"Pasture"`
	Spot       bool    `json:"Loaner"`
	State      string  `json:"Standing"`
	AgeSeconds float64 `json:"AgeS"`
}

var machineStates = map[string]cloud.State{
	"booting": cloud.Booting, "running": cloud.Running, "failed": cloud.Failed,
}

// ParseMachines returns the machines of the page. It returns an error if any entry is invalid.
func (l MachineList) ParseMachines() ([]cloud.Machine, error) {
	machines := make([]cloud.Machine, 0, len(l.Machines))
	for _, m := range l.Machines {
		id, err := ParseMachineName(m.ID)
		if err != nil {
			return nil, err
		}
		state, ok := machineStates[m.State]
		if !ok {
			return nil, fmt.Errorf("unknown machine state %q", m.State)
		}
		machines = append(machines, cloud.Machine{ID: id, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, State: state, AgeSeconds: m.AgeSeconds})
	}
	return machines, nil
}
