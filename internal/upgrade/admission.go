package upgrade

import (
	"errors"
	"fmt"
)

// TooOldError reports that this program is too old to support the finalized version.
type TooOldError struct{ Has, Needs Version }

func (e *TooOldError) Error() string {
	return fmt.Sprintf("this program is of version %d, but version %d is finalized: version %d or later is needed", e.Has, e.Needs, e.Needs)
}

// TooNewError reports that this program is too new to support the active version.
type TooNewError struct {
	Supports Range
	Active   Version
}

func (e *TooNewError) Error() string {
	return fmt.Sprintf("this program reads versions %s, but version %d is active: upgrade to version %d first", e.Supports, e.Active, e.Supports.Min)
}

// TargetError reports that the target version that the operators set is below the active version.
type TargetError struct{ Target, Active Version }

func (e *TargetError) Error() string {
	return fmt.Sprintf("upgrade.target: version %d is below version %d, which is active", e.Target, e.Active)
}

// UnreadableGateError reports that this program must not lead, because stored data may depend on a
// gate that it doesn't support.
type UnreadableGateError struct {
	Gate  GateName
	Since Version
}

func (e *UnreadableGateError) Error() string {
	return fmt.Sprintf("gate %s is in use: a controller of version %d or later must lead, or withdraw the gate", e.Gate, e.Since)
}

// Admit checks whether a process with the given compatibility range and policy may join the fleet. If not,
// Admit returns a *TooOldError, a *TooNewError or a *TargetError, and the process must exit with that
// error: see IsRefusal.
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

// MayLead checks whether a process may become the leader. A process may lead if it supports every gate
// that is marked as used, because it can then read all stored data. It need not support the unused gates,
// because no data depends on them. MayLead returns an *UnreadableGateError if the process must not lead.
func MayLead(r Record, versions Range, known GateList) error {
	for _, name := range r.GateNames() {
		g := r.Gates[name]
		if _, ok := known.find(name); g.Used && (!ok || g.Since > versions.Max) {
			return &UnreadableGateError{Gate: name, Since: g.Since}
		}
	}
	return nil
}

// IsRefusal reports whether err is, or wraps, an error that Admit returns. The process must then exit.
func IsRefusal(err error) bool {
	var tooOld *TooOldError
	var tooNew *TooNewError
	var target *TargetError
	return errors.As(err, &tooOld) || errors.As(err, &tooNew) || errors.As(err, &target)
}
