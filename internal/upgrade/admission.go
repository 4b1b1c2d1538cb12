package upgrade

import (
	"errors"
	"fmt"
)

// TooOldError tells that a finalized version refuses this program.
type TooOldError struct{ Has, Needs Version }

func (e *TooOldError) Error() string {
	return fmt.Sprintf("this program is of version %d, but version %d is finalized: version %d or later is needed", e.Has, e.Needs, e.Needs)
}

// TooNewError tells that the active version is one that this program no longer reads.
type TooNewError struct {
	Supports Range
	Active   Version
}

func (e *TooNewError) Error() string {
	return fmt.Sprintf("this program reads versions %s, but version %d is active: upgrade to version %d first", e.Supports, e.Active, e.Supports.Min)
}

// TargetError tells that the operators' target lies below the active version.
type TargetError struct{ Target, Active Version }

func (e *TargetError) Error() string {
	return fmt.Sprintf("upgrade.target: version %d is below version %d, which is active", e.Target, e.Active)
}

// UnreadableGateError tells that something may depend on a gate that this program doesn't
// know, so that it must not lead.
type UnreadableGateError struct {
	Gate  GateName
	Since Version
}

func (e *UnreadableGateError) Error() string {
	return fmt.Sprintf("gate %s is in use: a controller of version %d or later must lead, or withdraw it", e.Gate, e.Since)
}

// Admit tells whether a process of these versions may serve beside the record at all. An
// error is final for the process: it must end and say why.
func Admit(r Record, versions Range, policy Policy) error {
	switch {
	case versions.Max < r.Minimum:
		return &TooOldError{Has: versions.Max, Needs: r.Minimum}
	case versions.Min > r.Active:
		return &TooNewError{Supports: versions, Active: r.Active}
	case policy.Target != 0 && policy.Target < r.Active:
		return &TargetError{Target: policy.Target, Active: r.Active}
	}
	return nil
}

// MayLead tells whether a process may lead: it reads all that may have been written under
// the gates. A gate that was never used doesn't keep an older version from leading, for
// nothing depends on it yet.
func MayLead(r Record, versions Range, known GateList) error {
	for _, name := range r.GateNames() {
		g := r.Gates[name]
		if _, ok := known.find(name); g.Used && (!ok || g.Since > versions.Max) {
			return &UnreadableGateError{Gate: name, Since: g.Since}
		}
	}
	return nil
}

// IsRefusal tells whether an error of Admit is the cause: the process must end.
func IsRefusal(err error) bool {
	var tooOld *TooOldError
	var tooNew *TooNewError
	var target *TargetError
	return errors.As(err, &tooOld) || errors.As(err, &tooNew) || errors.As(err, &target)
}
