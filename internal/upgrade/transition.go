package upgrade

import (
	"fmt"
	"time"
)

// Usage holds the number of dependents of each gate. The dependents of a gate are stored objects that only
// versions with the gate can handle, such as open gang jobs for GangJobs. A nil Usage means that the
// dependents haven't been counted; a gate that is marked as used can't be closed then.
type Usage map[GateName]int

// Situation is the input from which NextStep chooses a transition.
type Situation struct {
	Record     Record
	Members    []Member // every controller of the fleet, including the leader
	Versions   Range    // the leader's compatibility range
	KnownGates GateList // the gates that the leader supports
	Usage      Usage
	Unused     map[GateName]time.Duration // how long each gate has had no dependents
	Blocked    *BlockedError              // why the uses of a gate can't be ended; nil: they can be ended
	Policy     Policy
	Now        time.Time
	Term       uint64 // the leader's term
}

// Step is one transition of the cluster record, or the reason why there is none.
type Step struct {
	Changed     bool
	Record      Record // the next record, if Changed
	Description string // what the step does, for operators
	// ReleasedGate is the gate that the step marks as unused, or "". Before the caller stores the
	// record, it must prevent new dependents of that gate.
	ReleasedGate GateName
	Waiting      string // if not Changed: what blocks the next step, for operators; "": no step is left
}

// transitionRules lists the transition rules in order of precedence. Each rule returns a step with the
// changed record, a step that only has the Waiting text, or the zero Step if the rule doesn't apply.
var transitionRules = []func(*Situation) Step{
	rollBack,
	removeFence,
	cancelRollback,
	openGates,
	markGateWithDependents,
	releaseGate,
	activateNext,
	finalize,
}

// NextStep returns the step of the first transition rule that changes the record. If no rule changes it,
// NextStep returns the first step with a Waiting text, or the zero Step. The result depends only on the
// situation, so that a new leader continues where the previous one stopped.
func NextStep(s Situation) Step {
	var waiting Step
	for _, rule := range transitionRules {
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

// transitionTo returns a step that changes the cluster record to r, written in the leader's term. The
// step's description is formatted from the other arguments.
func (s *Situation) transitionTo(r Record, format string, args ...any) Step {
	r.Term = s.Term
	return Step{Changed: true, Record: r, Description: fmt.Sprintf(format, args...)}
}

// waitingStep returns a step that changes nothing. Its Waiting text is formatted from the arguments.
func waitingStep(format string, args ...any) Step {
	return Step{Waiting: fmt.Sprintf(format, args...)}
}

// commonVersion returns the lowest of the maximum versions of the members, and the node with this maximum.
// Members whose versions are unknown are left out. If the versions of all members are unknown, it returns
// the active version and no node. The returned version is never below the finalized version, because
// controllers of lower versions are refused.
func (s *Situation) commonVersion() (node string, version Version) {
	node, version, ok := oldestMember(s.Members)
	if !ok {
		return "", s.Record.Active
	}
	return node, max(version, s.Record.Minimum)
}
