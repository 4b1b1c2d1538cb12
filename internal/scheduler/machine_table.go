package scheduler

import "slices"

// machineTable is the machines that the leader knows of.
type machineTable struct {
	byID    map[int]*machine
	ordered []*machine // by number
}

func newMachineTable() *machineTable { return &machineTable{byID: make(map[int]*machine)} }

// get returns a machine, or nil.
func (t *machineTable) get(id int) *machine { return t.byID[id] }

// inOrder returns the machines by number. The slice changes with the table.
func (t *machineTable) inOrder() []*machine { return t.ordered }

// count returns how many machines there are.
func (t *machineTable) count() int { return len(t.ordered) }

// add enters a machine.
func (t *machineTable) add(m *machine) {
	t.byID[m.id] = m
	i, _ := t.index(m.id)
	t.ordered = slices.Insert(t.ordered, i, m)
}

// remove forgets a machine.
func (t *machineTable) remove(m *machine) {
	delete(t.byID, m.id)
	if i, ok := t.index(m.id); ok {
		t.ordered = slices.Delete(t.ordered, i, i+1)
	}
}

// index finds a machine among the ordered ones, or where it would stand.
func (t *machineTable) index(id int) (int, bool) {
	return slices.BinarySearchFunc(t.ordered, id, func(m *machine, id int) int { return m.id - id })
}
