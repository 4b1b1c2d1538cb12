package scheduler

import (
	"slices"
	"time"

	"sagevale/internal/storage"
)

// candidate is a machine's free room, in a round of placement or a trial packing.
// A round makes its candidates once; what it reserves or claims is taken from them.
type candidate struct {
	offering
	machineType *storage.MachineType
	free        storage.Resources
	booting     bool
	forCPUOnly  bool      // to be rented for tasks without accelerators
	machine     *machine  // nil: not yet rented
	packed      []*demand // what a trial packing has put here, a task each
	moved       int       // tasks that a search for surplus machines has moved here

	releasing storage.Resources // held by attempts that are being stopped
}

// readyCandidates returns the free room on the ready machines, in their order.
func (d *scheduler) readyCandidates(now time.Time) []*candidate {
	candidates := make([]*candidate, 0, d.state.machines.count())
	room := make([]candidate, d.state.machines.count()) // in one allocation
	fresh := d.settings.ReportFreshness()
	for i, m := range d.state.machines.inOrder() {
		if m.ready(now, fresh) {
			room[i] = candidateOf(m)
			candidates = append(candidates, &room[i])
		}
	}
	return candidates
}

func candidateOf(m *machine) candidate {
	return candidate{
		offering: offering{m.typeName, m.zone, m.spot}, machineType: m.machineType, machine: m, booting: !m.confirmed,
		free: m.machineType.Resources.Sub(*m.reserved), releasing: m.stopping,
	}
}

// zonesOf lists the zones of the candidates.
func zonesOf(candidates []*candidate) []string {
	var out []string
	for _, s := range candidates {
		if !slices.Contains(out, s.zone) {
			out = append(out, s.zone)
		}
	}
	return out
}
