package cluster

import (
	"slices"

	"sagevale/internal/storage"
)

// MachineTypes holds the machine types that the cloud offers.
type MachineTypes struct {
	byName map[string]*storage.MachineType
	names  []string // in the order in which the cloud lists them
}

// Get returns the type with the given name, or nil.
func (t *MachineTypes) Get(name string) *storage.MachineType { return t.byName[name] }

// All returns the names of all types, in the order in which the cloud lists them.
func (t *MachineTypes) All() []string { return t.names }

// Count returns the number of types. It is 0 until the types are known.
func (t *MachineTypes) Count() int { return len(t.names) }

// set replaces all types by copies of the given types.
func (t *MachineTypes) set(types []storage.MachineType) {
	t.byName = make(map[string]*storage.MachineType, len(types))
	t.names = t.names[:0]
	for i := range types {
		copied := types[i]
		t.byName[copied.Name] = &copied
		t.names = append(t.names, copied.Name)
	}
}

// Feasible returns the names of the types that a task of the job may run on.
func (t *MachineTypes) Feasible(spec *storage.Spec) []string {
	var names []string
	for _, name := range t.names {
		typ := t.byName[name]
		if spec.Resources.Fits(typ.Resources) && Allows(spec.Types, name) && (spec.Zone == "" || Allows(typ.Zones, spec.Zone)) {
			names = append(names, name)
		}
	}
	return names
}

// Allows reports whether the list contains the name. An empty list allows every name.
func Allows(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
