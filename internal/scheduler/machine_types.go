package scheduler

import (
	"slices"

	"sagevale/internal/storage"
)

// machineTypes are the types of machines that the cloud offers.
type machineTypes struct {
	byName map[string]*storage.MachineType
	names  []string // in the cloud's order
}

// get returns a type, or nil.
func (t *machineTypes) get(name string) *storage.MachineType { return t.byName[name] }

// all returns the names of all types, in the cloud's order.
func (t *machineTypes) all() []string { return t.names }

// count returns how many types there are; 0: they aren't known yet.
func (t *machineTypes) count() int { return len(t.names) }

// set replaces the types.
func (t *machineTypes) set(types []storage.MachineType) {
	t.byName = make(map[string]*storage.MachineType, len(types))
	t.names = t.names[:0]
	for i := range types {
		copied := types[i]
		t.byName[copied.Name] = &copied
		t.names = append(t.names, copied.Name)
	}
}

// feasible returns the names of the types that a task of the job may run on.
func (t *machineTypes) feasible(spec *storage.Spec) []string {
	var names []string
	for _, name := range t.names {
		typ := t.byName[name]
		if spec.Resources.Fits(typ.Resources) && allows(spec.Types, name) && (spec.Zone == "" || allows(typ.Zones, spec.Zone)) {
			names = append(names, name)
		}
	}
	return names
}

// allows reports whether a list allows a name; an empty list allows all.
func allows(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
