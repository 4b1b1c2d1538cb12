package upgrade

import (
	"fmt"
	"slices"
	"time"
)

// Policy is the operators' part of an upgrade.
type Policy struct {
	Hold         bool          // activate nothing further
	Target       Version       // activate nothing beyond; 0: all that every controller has
	AutoFinalize bool          // finalize after the soak
	Soak         time.Duration // how long a version is active before that
	// ReleaseAfter is for how long nothing must have depended on a gate before it
	// counts as unused again. 0: never.
	ReleaseAfter time.Duration
}

// Usage counts what depends on each gate, as the leader has it in its state. Where it is
// nil nothing is known, so that no gate in use can be closed.
type Usage map[GateName]int

// Situation is all that a decision rests on.
type Situation struct {
	Record   Record
	Members  []Member // every controller of the fleet, the leader among them
	Versions Range    // the leader's own
	Known    GateList
	Usage    Usage
	Unused   map[GateName]time.Duration // for how long nothing has depended on a gate
	Blocked  *BlockedError              // why the uses of a gate can't be undone; nil: they can
	Policy   Policy
	Now      time.Time
	Term     uint64
}

// Step is one transition of the cluster record, or what the next one waits for.
type Step struct {
	Changed bool
	Record  Record // the next one, if Changed
	What    string // what the step does, for operators
	// Releases is a gate that counts as unused after the step. Whoever stores the step must
	// first see to it that nothing comes to depend on the gate meanwhile.
	Releases GateName
	Waiting  string // where nothing changed: what for; "": nothing is left to do
}

// Next decides on the next single step. It is pure: the same situation gives the same
// step, so that a later leader goes on where an earlier one stopped.
func Next(s Situation) Step {
	var waiting Step
	for _, rule := range []func(*Situation) Step{withdraw, lowerFence, reopen, openGates, adopt, release, activate, finalize} {
		step := rule(&s)
		if step.Changed {
			return step
		}
		if waiting.Waiting == "" {
			waiting = step
		}
	}
	return waiting
}

// change makes a step of a changed record.
func (s *Situation) change(r Record, format string, args ...any) Step {
	r.Term = s.Term
	return Step{Changed: true, Record: r, What: fmt.Sprintf(format, args...)}
}

// wait makes a step that waits for something.
func wait(format string, args ...any) Step {
	return Step{Waiting: fmt.Sprintf(format, args...)}
}

// commonVersion is the newest version that every known member has, but never one below what
// is finalized: such a member is refused.
func (s *Situation) commonVersion() (node string, version Version) {
	node, version, ok := lowest(s.Members)
	if !ok {
		return "", s.Record.Active
	}
	return node, max(version, s.Record.Minimum)
}

// withdraw goes back, a step at a time, where a controller is older than the active
// version: gates first, the fence behind all that it protects, the version last.
func withdraw(s *Situation) Step {
	node, commonVersion := s.commonVersion()
	if commonVersion >= s.Record.Active {
		return Step{}
	}
	if names := s.withdrawalOrder(commonVersion); len(names) > 0 {
		return withdrawGate(s, names[0], node, commonVersion)
	}
	next := s.Record.clone()
	next.Phase = Withdrawing
	next.Active--
	if next.Active == commonVersion {
		next.Phase = settledPhase(&next)
	}
	return s.change(next, "version %d active again: node %s is of version %d", next.Active, node, commonVersion)
}

// withdrawGate first bars new uses of a gate, and closes it once none is left.
func withdrawGate(s *Situation, name GateName, node string, commonVersion Version) Step {
	next := s.Record.clone()
	next.Phase = Withdrawing
	gate := next.Gates[name]
	if gate.Phase == GateOpen {
		gate.Phase = GateWithdrawing
		next.Gates[name] = gate
		return s.change(next, "withdraw gate %s: node %s is of version %d", name, node, commonVersion)
	}
	if gate.Used && s.Usage == nil {
		return wait("gate %s is being withdrawn for node %s; its uses aren't counted yet", name, node)
	}
	if uses := s.Usage[name]; gate.Used && uses > 0 && s.Blocked != nil && s.Blocked.Gate == name {
		return wait("gate %s can't be withdrawn for node %s: %s", name, node, s.Blocked.Reason)
	} else if gate.Used && uses > 0 {
		return wait("gate %s is being withdrawn for node %s; %d uses of it are left", name, node, uses)
	}
	delete(next.Gates, name)
	return s.change(next, "gate %s closed", name)
}

// lowerFence lets a controller lead again that doesn't register, once it reads all that
// may depend on a gate. A finalized version keeps its fence for good.
func lowerFence(s *Situation) Step {
	if _, there := s.Record.Gates[FencedTerm]; !there || s.Record.Minimum != 0 {
		return Step{}
	}
	for i := range s.Members {
		version := s.Members[i].Unregistered
		if version == 0 || version < s.Record.fenceNeeded() {
			continue
		}
		next := s.Record.clone()
		delete(next.Gates, FencedTerm)
		next.Fence = 0
		return s.change(next, "term not fenced: node %s doesn't register", s.Members[i].Node)
	}
	return Step{}
}

// settledPhase is the phase of a record that is under no change.
func settledPhase(r *Record) Phase {
	switch {
	case r.Active == r.Minimum:
		return Finalized
	case r.Active == Baseline:
		return Stable
	}
	return Soaking
}

// withdrawalOrder lists the gates to be withdrawn: those that the lowest member lacks,
// dependants before what they depend on, later versions first.
func (s *Situation) withdrawalOrder(commonVersion Version) []GateName {
	var names []GateName
	for _, name := range s.Record.GateNames() {
		if s.Record.Gates[name].Since > commonVersion {
			names = append(names, name)
		}
	}
	rank := func(name GateName) int {
		for i, g := range s.Known {
			if g.Name == name {
				return i
			}
		}
		return len(s.Known) // unknown here, so of a later version
	}
	slices.SortStableFunc(names, func(a, b GateName) int { return rank(b) - rank(a) })
	return names
}

// reopen takes a withdrawal back once no controller needs it any longer.
func reopen(s *Situation) Step {
	if _, commonVersion := s.commonVersion(); s.Record.Phase != Withdrawing || commonVersion < s.Record.Active {
		return Step{}
	}
	next := s.Record.clone()
	next.Phase = settledPhase(&next)
	for name, gate := range next.Gates {
		gate.Phase = GateOpen
		next.Gates[name] = gate
	}
	return s.change(next, "withdrawal ended: every controller has version %d", next.Active)
}

// activate moves the active version up by one, once every controller has the next.
func activate(s *Situation) Step {
	node, commonVersion := s.commonVersion()
	next := s.Record.Active + 1
	switch {
	case next > s.Versions.Max:
		return Step{}
	case s.Policy.Hold:
		return wait("version %d is held back by upgrade.target", next)
	case s.Policy.Target != 0 && next > s.Policy.Target:
		return wait("version %d is beyond upgrade.target %d", next, s.Policy.Target)
	}
	if silent := unknown(s.Members); silent != "" {
		return wait("version %d: the versions of node %s are not known", next, silent)
	}
	if commonVersion < next {
		return wait("version %d: node %s is of version %d", next, node, commonVersion)
	}
	for i := range s.Members {
		if versions, _ := s.Members[i].Versions(); !versions.Contains(next) {
			return wait("version %d: node %s reads versions %s only", next, s.Members[i].Node, versions)
		}
	}
	record := s.Record.clone()
	record.Active, record.Phase, record.ActivatedMS = next, Soaking, s.Now.UnixMilli()
	s.open(&record)
	return s.change(record, "version %d active", next)
}

// openGates opens gates of the active version that aren't open yet.
func openGates(s *Situation) Step {
	record := s.Record.clone()
	opened := s.open(&record)
	if len(opened) == 0 {
		return Step{}
	}
	return s.change(record, "gates %v open", opened)
}

// open opens every closed gate of the active version whose dependencies are open and
// that every controller has.
func (s *Situation) open(record *Record) (opened []GateName) {
	_, commonVersion := s.commonVersion()
	if unknown(s.Members) != "" {
		return nil
	}
	for _, gate := range s.Known {
		if _, there := record.Gates[gate.Name]; there || gate.Since > min(record.Active, commonVersion) || !dependenciesOpen(record, gate) {
			continue
		}
		if gate.Name == FencedTerm && !s.allRegister() {
			continue
		}
		record.Gates[gate.Name] = GateState{Since: gate.Since, Phase: GateOpen}
		opened = append(opened, gate.Name)
	}
	raiseFence(record)
	return opened
}

func dependenciesOpen(record *Record, gate Gate) bool {
	for _, name := range gate.DependsOn {
		if record.Gates[name].Phase != GateOpen {
			return false
		}
	}
	return true
}

// allRegister tells whether every controller obeys the cluster record.
func (s *Situation) allRegister() bool {
	for i := range s.Members {
		if !s.Members[i].registers() {
			return false
		}
	}
	return true
}

// fenceNeeded is the lowest version that reads all that may depend on a gate, and that
// isn't refused.
func (r *Record) fenceNeeded() Version {
	needed := max(r.Minimum, Baseline)
	for _, gate := range r.Gates {
		if gate.Used {
			needed = max(needed, gate.Since)
		}
	}
	return needed
}

// raiseFence sets the fence where its gate is open and older versions must not lead.
func raiseFence(record *Record) {
	fence, open := record.Gates[FencedTerm]
	needed := record.fenceNeeded()
	if !open || needed <= Baseline {
		return
	}
	record.Fence = max(record.Fence, needed)
	fence.Used = true
	record.Gates[FencedTerm] = fence
}

// adopt notes that a gate is in use that an earlier version used without asking.
func adopt(s *Situation) Step {
	for _, gate := range s.Known {
		if state, there := s.Record.Gates[gate.Name]; there && !state.Used && s.Usage[gate.Name] > 0 {
			record, err := MarkGateUsed(s.Record, gate.Name, s.Term)
			if err != nil {
				continue
			}
			return s.change(record, "gate %s is in use", gate.Name)
		}
	}
	return Step{}
}

// release notes that nothing depends on a gate any longer, so that versions may lead again
// that lack it. It takes long disuse, for the next use has to be stored first.
func release(s *Situation) Step {
	if s.Policy.ReleaseAfter == 0 || s.Usage == nil {
		return Step{}
	}
	for _, name := range s.Record.GateNames() {
		gate := s.Record.Gates[name]
		if name == FencedTerm || !gate.Usable() || gate.Since <= s.Record.Minimum || s.Usage[name] > 0 || s.Unused[name] < s.Policy.ReleaseAfter {
			continue
		}
		next := s.Record.clone()
		gate.Used = false
		next.Gates[name] = gate
		fitFence(&next)
		step := s.change(next, "gate %s is unused again", name)
		step.Releases = name
		return step
	}
	return Step{}
}

// fitFence lowers the fence to what is still needed.
func fitFence(record *Record) {
	fence, open := record.Gates[FencedTerm]
	if !open {
		return
	}
	fence.Used = false
	record.Gates[FencedTerm] = fence
	record.Fence = 0
	raiseFence(record)
}

// finalize refuses older versions from now on, once the operators' soak is over.
func finalize(s *Situation) Step {
	if s.Record.Phase != Soaking || s.Record.Active <= s.Record.Minimum {
		return Step{}
	}
	if !s.Policy.AutoFinalize || s.Policy.Hold {
		return wait("finalization of version %d is held back by upgrade.finalize", s.Record.Active)
	}
	if _, known := s.Known.find(FencedTerm); known && s.Record.Gate(FencedTerm).Phase != GateOpen {
		return wait("finalization of version %d: gate %s must be open first", s.Record.Active, FencedTerm)
	}
	if silent := unknown(s.Members); silent != "" {
		return wait("finalization of version %d: the versions of node %s are not known", s.Record.Active, silent)
	}
	soaked := s.Now.Sub(time.UnixMilli(s.Record.ActivatedMS))
	if left := s.Policy.Soak - soaked; left > 0 {
		return wait("finalization of version %d: it soaks until %s", s.Record.Active, s.Now.Add(left).UTC().Format(time.RFC3339))
	}
	record := s.Record.clone()
	record.Minimum, record.Phase = record.Active, Finalized
	raiseFence(&record)
	return s.change(record, "version %d finalized", record.Active)
}

// GateClosedError tells that a gate may not be used.
type GateClosedError struct{ Gate GateName }

func (e *GateClosedError) Error() string { return fmt.Sprintf("gate %s is not open", e.Gate) }

// BlockedError tells why what depends on a gate can't be undone for now.
type BlockedError struct {
	Gate   GateName
	Reason string
}

func (e *BlockedError) Error() string { return fmt.Sprintf("gate %s: %s", e.Gate, e.Reason) }

// MarkGateUsed notes that something is about to depend on a gate, and raises the fence with it.
func MarkGateUsed(r Record, name GateName, term uint64) (Record, error) {
	gate := r.Gate(name)
	if gate.Phase != GateOpen {
		return Record{}, &GateClosedError{Gate: name}
	}
	next := r.clone()
	gate.Used = true
	next.Gates[name] = gate
	next.Term = term
	raiseFence(&next)
	return next, nil
}
