package fleetload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	LeaderKilled        FaultKind = "leader"     // the leader's process is killed and restarted
	AllKilled           FaultKind = "all"        // all controllers' processes are killed and restarted
	WorkersUnresponsive FaultKind = "silent"     // a share of the workers is unresponsive for a while
	StoreOutage         FaultKind = "state-out"  // the key-value store refuses all requests for a while
	StoreSlow           FaultKind = "state-slow" // each of its requests takes longer, in seconds, for a while
	ZoneLost            FaultKind = "zone"       // all machines of a zone are lost
	Burst               FaultKind = "burst"      // jobs of one task each are submitted at the same time
)

// Fault is a fault to inject at a time after the beginning of the measured part.
type Fault struct {
	Kind     FaultKind     `json:"kind"`
	Amount   float64       `json:"amount,omitempty"` // a share of the workers, seconds, or jobs, by the kind
	Start    time.Duration `json:"at_ns"`
	Duration time.Duration `json:"for_ns,omitempty"`
}

// String returns the form that ParseFault reads.
func (f Fault) String() string {
	text := string(f.Kind)
	if f.Amount != 0 {
		text += ":" + strconv.FormatFloat(f.Amount, 'g', -1, 64)
	}
	text += "@" + f.Start.String()
	if f.Duration != 0 {
		text += "+" + f.Duration.String()
	}
	return text
}

// Which kinds need an amount and a duration besides the time. All kinds are keys of needsAmount.
var (
	needsAmount   = map[FaultKind]bool{LeaderKilled: false, AllKilled: false, WorkersUnresponsive: true, StoreOutage: false, StoreSlow: true, ZoneLost: false, Burst: true}
	needsDuration = map[FaultKind]bool{WorkersUnresponsive: true, StoreOutage: true, StoreSlow: true}
)

// ParseFault parses KIND[:AMOUNT]@TIME[+DURATION], such as silent:0.1@10s+5s. Its errors are of type *FlagError.
func ParseFault(text string) (Fault, error) {
	invalid := func(reason string) (Fault, error) {
		return Fault{}, &FlagError{"fault", fmt.Sprintf("%q: %s", text, reason)}
	}
	kindAndAmount, timeAndDuration, ok := strings.Cut(text, "@")
	if !ok {
		return invalid("has no time, as in leader@10s")
	}
	kind, amount, hasAmount := strings.Cut(kindAndAmount, ":")
	f := Fault{Kind: FaultKind(kind)}
	wantAmount, known := needsAmount[f.Kind]
	if !known {
		return invalid("unknown kind")
	}
	if hasAmount != wantAmount {
		return invalid("takes an amount only if it is silent (a share), state-slow (seconds) or burst (jobs)")
	}
	var err error
	if hasAmount {
		if f.Amount, err = strconv.ParseFloat(amount, 64); err != nil || f.Amount <= 0 || f.Kind == WorkersUnresponsive && f.Amount > 1 {
			return invalid("the amount must be above 0, and a share at most 1")
		}
	}
	at, duration, hasDuration := strings.Cut(timeAndDuration, "+")
	if hasDuration != needsDuration[f.Kind] {
		return invalid("silent, state-out and state-slow last for a while, the others don't")
	}
	if f.Start, err = time.ParseDuration(at); err != nil || f.Start < 0 {
		return invalid("the time must be a duration such as 10s")
	}
	if hasDuration {
		if f.Duration, err = time.ParseDuration(duration); err != nil || f.Duration <= 0 {
			return invalid("it must last for a duration such as 5s")
		}
	}
	return f, nil
}
