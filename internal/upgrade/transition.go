package upgrade

import (
	"fmt"
	"time"
)

// Usage is the number of dependants of each gate in the leader's state. A nil Usage means that they
// haven't been counted, and no gate in use can be closed then.
type Usage map[GateName]int

// Situation is the input of a decision.
type Situation struct {
	Record   Record
	Members  []Member // every controller of the fleet, including the leader
	Versions Range    // the leader's compatibility range
	Known    GateList // the gates that the leader knows
	Usage    Usage
	Unused   map[GateName]time.Duration // how long each gate has had no dependants
	Blocked  *BlockedError              // why the uses of a gate can't be ended; nil: they can
	Policy   Policy
	Now      time.Time
	Term     uint64 // the leader's term
}

// Step is one transition of the cluster record, or the reason why there is none.
type Step struct {
	Changed     bool
	Record      Record // the next record, if Changed
	Description string // what the step does, for operators
	// Releases is the gate that no longer counts as used after the step, or "". Before the step is
	// stored, the caller must prevent new dependants of that gate.
	Releases GateName
	Waiting  string // if not Changed: what the next step waits for, for operators; "": nothing is left to do
}

// rules are the transitions in order of precedence. Each returns the step that it allows in a
// situation, what it waits for, or the zero Step if it doesn't apply.
var rules = []func(*Situation) Step{
	rollBack,
	removeFence,
	cancelRollback,
	openGates,
	adoptGate,
	releaseGate,
	activateNext,
	finalize,
}

// Next returns the next transition. It depends on the situation only, so that a later leader continues
// where an earlier one stopped.
func Next(s Situation) Step {
	var waiting Step
	for _, rule := range rules {
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

// change returns the step to a record.
func (s *Situation) change(r Record, format string, args ...any) Step {
	r.Term = s.Term
	return Step{Changed: true, Record: r, Description: fmt.Sprintf(format, args...)}
}

// wait returns the step that waits for something.
func wait(format string, args ...any) Step {
	return Step{Waiting: fmt.Sprintf(format, args...)}
}

// commonVersion returns the highest version that every member whose versions are known supports, and
// the member that limits it. Members below the finalized version don't count, because they are
// refused.
func (s *Situation) commonVersion() (node string, version Version) {
	node, version, ok := oldestMember(s.Members)
	if !ok {
		return "", s.Record.Active
	}
	return node, max(version, s.Record.Minimum)
}
