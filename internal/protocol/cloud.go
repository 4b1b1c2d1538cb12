package protocol

import (
	"fmt"

	"sagevale/internal/cloud"
	"sagevale/internal/storage"
)

// Catalogue is the cloud's catalogue.
type Catalogue struct {
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

// MachineTypes takes the catalogue off the wire; entries that make no sense
// are left out.
func (c Catalogue) MachineTypes() []storage.MachineType {
	var out []storage.MachineType
	for _, t := range c.Types {
		if t.Name == "" || t.CPUs <= 0 || t.MemoryGB <= 0 || t.GPUs < 0 || len(t.Zones) == 0 {
			continue
		}
		out = append(out, storage.MachineType{
			Name: t.Name, Resources: storage.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB},
			CacheGB: t.CacheGB, FetchGBPS: t.FetchGBPS, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS, Zones: t.Zones,
		})
	}
	return out
}

// Rental is a rental request.
type Rental struct {
	Name  string `json:"Hire"`
	Type  string `json:"Breed"`
	Zone  string `json:"Pasture"`
	Spot  bool   `json:"Loaner"`
	Count int    `json:"Count"`
}

// NewRental puts a rental on the wire.
func NewRental(name string, h storage.LaunchRecord) Rental {
	return Rental{Name: name, Type: h.Type, Zone: h.Zone, Spot: h.Spot, Count: h.Count}
}

// MachineNames is a list of machines, as rented or to be returned.
type MachineNames struct {
	Machines []string `json:"Mounts"`
}

// NewMachineNames puts machines on the wire.
func NewMachineNames(ids []int) MachineNames {
	out := MachineNames{Machines: make([]string, 0, len(ids))}
	for _, id := range ids {
		out.Machines = append(out.Machines, MachineName(id))
	}
	return out
}

// IDs takes the machines off the wire.
func (n MachineNames) IDs() ([]int, error) {
	out := make([]int, 0, len(n.Machines))
	for _, s := range n.Machines {
		id, err := ParseMachine(s)
		if err != nil {
			return nil, err
		}
		out = append(out, id)
	}
	return out, nil
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []struct {
		ID    string  `json:"Id"`
		Addr  string  `json:"Addr"`
		Type  string  `json:"Breed"`
		Zone  string  `json:"Pasture"`
		Spot  bool    `json:"Loaner"`
		State string  `json:"Standing"`
		AgeS  float64 `json:"AgeS"`
	} `json:"Mounts"`
	More bool `json:"More"`
}

var machineStates = map[string]cloud.State{
	"booting": cloud.Booting, "running": cloud.Running, "failed": cloud.Failed,
}

// Listed takes the page off the wire.
func (l MachineList) Listed() ([]cloud.Machine, error) {
	out := make([]cloud.Machine, 0, len(l.Machines))
	for _, m := range l.Machines {
		id, err := ParseMachine(m.ID)
		if err != nil {
			return nil, err
		}
		state, ok := machineStates[m.State]
		if !ok {
			return nil, fmt.Errorf("unknown machine state %q", m.State)
		}
		out = append(out, cloud.Machine{ID: id, Addr: m.Addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot, State: state, AgeSeconds: m.AgeS})
	}
	return out, nil
}
