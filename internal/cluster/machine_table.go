package cluster

import "slices"

// MachineTable holds the machines of the fleet.
type MachineTable struct {
	byID    map[int]*Machine
	ordered []*Machine // sorted by ID
}

func newMachineTable() *MachineTable { return &MachineTable{byID: make(map[int]*Machine)} }

// Get returns the machine with the given ID, or nil.
func (t *MachineTable) Get(id int) *Machine { return t.byID[id] }

// InOrder returns the machines, ordered by ID. The caller must not modify the slice, which changes with the table.
func (t *MachineTable) InOrder() []*Machine { return t.ordered }

// Count returns the number of machines.
func (t *MachineTable) Count() int { return len(t.ordered) }

// add adds a machine that isn't in the table.
func (t *MachineTable) add(m *Machine) {
	t.byID[m.ID] = m
	i, _ := t.index(m.ID)
	t.ordered = slices.Insert(t.ordered, i, m)
}

// Remove removes a machine from the table.
func (t *MachineTable) Remove(m *Machine) {
	delete(t.byID, m.ID)
	if i, ok := t.index(m.ID); ok {
		t.ordered = slices.Delete(t.ordered, i, i+1)
	}
}

// index returns the position of a machine in the ordered slice, and true. If the machine isn't in the slice, it returns
// the position at which to insert the machine, and false.
func (t *MachineTable) index(id int) (int, bool) {
	return slices.BinarySearchFunc(t.ordered, id, func(m *Machine, id int) int { return m.ID - id })
}
