package cluster

import "slices"

// MachineTable is the machines that the leader knows of.
type MachineTable struct {
	byID    map[int]*Machine
	ordered []*Machine // by number
}

func newMachineTable() *MachineTable { return &MachineTable{byID: make(map[int]*Machine)} }

// Get returns a machine, or nil.
func (t *MachineTable) Get(id int) *Machine { return t.byID[id] }

// InOrder returns the machines by number. The slice changes with the table.
func (t *MachineTable) InOrder() []*Machine { return t.ordered }

// Count returns how many machines there are.
func (t *MachineTable) Count() int { return len(t.ordered) }

// add enters a machine.
func (t *MachineTable) add(m *Machine) {
	t.byID[m.ID] = m
	i, _ := t.index(m.ID)
	t.ordered = slices.Insert(t.ordered, i, m)
}

// Remove forgets a machine.
func (t *MachineTable) Remove(m *Machine) {
	delete(t.byID, m.ID)
	if i, ok := t.index(m.ID); ok {
		t.ordered = slices.Delete(t.ordered, i, i+1)
	}
}

// index finds a machine among the ordered ones, or where it would stand.
func (t *MachineTable) index(id int) (int, bool) {
	return slices.BinarySearchFunc(t.ordered, id, func(m *Machine, id int) int { return m.ID - id })
}
