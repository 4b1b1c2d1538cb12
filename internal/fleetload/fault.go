package fleetload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FaultKind is a kind of trouble.
type FaultKind string

// The kinds of trouble.
const (
	LeaderEnds FaultKind = "leader"     // the leader's process is killed, and started again
	AllEnd     FaultKind = "all"        // all controllers' processes likewise
	Silent     FaultKind = "silent"     // a share of the workers is silent for a while
	StateOut   FaultKind = "state-out"  // the state service refuses everything for a while
	StateSlow  FaultKind = "state-slow" // it takes so many seconds longer for a while
	ZoneLost   FaultKind = "zone"       // all workers of a zone are gone
	Burst      FaultKind = "burst"      // so many jobs of one task are submitted at once
)

// Fault is one trouble at its time within the measured part of the run.
type Fault struct {
	Kind   FaultKind     `json:"kind"`
	Amount float64       `json:"amount,omitempty"` // a share of the workers, seconds, or jobs
	At     time.Duration `json:"at_ns"`
	For    time.Duration `json:"for_ns,omitempty"`
}

func (f Fault) String() string {
	text := string(f.Kind)
	if f.Amount != 0 {
		text += ":" + strconv.FormatFloat(f.Amount, 'g', -1, 64)
	}
	text += "@" + f.At.String()
	if f.For != 0 {
		text += "+" + f.For.String()
	}
	return text
}

// takesAmount and takesTime tell what each kind needs beside its time.
var (
	takesAmount = map[FaultKind]bool{LeaderEnds: false, AllEnd: false, Silent: true, StateOut: false, StateSlow: true, ZoneLost: false, Burst: true}
	takesTime   = map[FaultKind]bool{Silent: true, StateOut: true, StateSlow: true}
)

// ParseFault reads KIND[:AMOUNT]@TIME[+DURATION], such as silent:0.1@10s+5s.
func ParseFault(text string) (Fault, error) {
	bad := func(reason string) (Fault, error) {
		return Fault{}, &FlagError{"fault", fmt.Sprintf("%q: %s", text, reason)}
	}
	what, when, ok := strings.Cut(text, "@")
	if !ok {
		return bad("has no time, as in leader@10s")
	}
	kind, amount, hasAmount := strings.Cut(what, ":")
	f := Fault{Kind: FaultKind(kind)}
	needsAmount, known := takesAmount[f.Kind]
	if !known {
		return bad("unknown kind")
	}
	if hasAmount != needsAmount {
		return bad("takes an amount only if it is silent (a share), state-slow (seconds) or burst (jobs)")
	}
	var err error
	if hasAmount {
		if f.Amount, err = strconv.ParseFloat(amount, 64); err != nil || f.Amount <= 0 || f.Kind == Silent && f.Amount > 1 {
			return bad("the amount must be above 0, and a share at most 1")
		}
	}
	at, length, hasLength := strings.Cut(when, "+")
	if hasLength != takesTime[f.Kind] {
		return bad("silent, state-out and state-slow last for a while, the others don't")
	}
	if f.At, err = time.ParseDuration(at); err != nil || f.At < 0 {
		return bad("the time must be a duration such as 10s")
	}
	if hasLength {
		if f.For, err = time.ParseDuration(length); err != nil || f.For <= 0 {
			return bad("it must last for a duration such as 5s")
		}
	}
	return f, nil
}
