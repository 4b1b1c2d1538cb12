package scheduler

import (
	"slices"
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/storage"
)

// candidate is a machine's free room, in a round of placement or a trial packing.
// A round makes its candidates once; what it reserves or claims is taken from them.
type candidate struct {
	cloud.Offering
	machineType *storage.MachineType
	free        storage.Resources
	booting     bool
	forCPUOnly  bool             // to be rented for tasks without accelerators
	machine     *cluster.Machine // nil: not yet rented
	packed      []*demand        // what a trial packing has put here, a task each
	moved       int              // tasks that a search for surplus machines has moved here

	releasing storage.Resources // held by attempts that are being stopped
}

// readyCandidates returns the free room on the ready machines, in their order.
func (d *scheduler) readyCandidates(now time.Time) []*candidate {
	candidates := make([]*candidate, 0, d.state.Machines.Count())
	room := make([]candidate, d.state.Machines.Count()) // in one allocation
	fresh := d.settings.ReportFreshness()
	for i, m := range d.state.Machines.InOrder() {
		if m.Ready(now, fresh) {
			room[i] = candidateOf(m)
			candidates = append(candidates, &room[i])
		}
	}
	return candidates
}

func candidateOf(m *cluster.Machine) candidate {
	return candidate{
		Offering: cloud.Offering{Type: m.TypeName, Zone: m.Zone, Spot: m.Spot}, machineType: m.Type, machine: m, booting: !m.Confirmed,
		free: m.Type.Resources.Sub(*m.Reserved), releasing: m.StoppingUsage,
	}
}

// zonesOf lists the zones of the candidates.
func zonesOf(candidates []*candidate) []string {
	var out []string
	for _, s := range candidates {
		if !slices.Contains(out, s.Zone) {
			out = append(out, s.Zone)
		}
	}
	return out
}
