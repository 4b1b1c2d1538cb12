package fleetload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FaultKind is a kind of fault. Its value is the kind's name in the flag --fault.
type FaultKind string

// The kinds of faults.
const (
	LeaderKilled        FaultKind = "leader"     // kills and restarts the leader's process
	AllKilled           FaultKind = "all"        // kills and restarts the processes of all controllers
	WorkersUnresponsive FaultKind = "silent"     // makes a share of the workers unresponsive for a duration
	StoreOutage         FaultKind = "state-out"  // makes the key-value store refuse all requests for a duration
	StoreSlow           FaultKind = "state-slow" // delays each request to the key-value store by Amount seconds for a duration
	ZoneLost            FaultKind = "zone"       // deletes all machines of a zone
	Burst               FaultKind = "burst"      // submits jobs of one task each at the same time
)

// Fault is a fault to inject.
type Fault struct {
	Kind     FaultKind     `json:"kind"`
	Amount   float64       `json:"amount,omitempty"` // share of the workers, seconds, or number of jobs, depending on the kind
	Start    time.Duration `json:"at_ns"`            // time from the start of the measurement, or of the first wake (see WakeConfig)
	Duration time.Duration `json:"for_ns,omitempty"` // 0 for kinds without a duration
}

// String returns the fault in the syntax that ParseFault reads.
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

// needsAmount and needsDuration report whether a kind of fault requires an amount or a duration. A kind that requires none
// accepts none. needsAmount contains every kind, so that ParseFault can reject unknown kinds.
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
		return invalid("has no time; an example with a time is leader@10s")
	}
	kind, amount, hasAmount := strings.Cut(kindAndAmount, ":")
	f := Fault{Kind: FaultKind(kind)}
	amountRequired, known := needsAmount[f.Kind]
	if !known {
		return invalid("unknown kind")
	}
	if hasAmount != amountRequired {
		return invalid("only silent (share), state-slow (seconds) and burst (jobs) take an amount, and they require one")
	}
	var err error
	if hasAmount {
		if f.Amount, err = strconv.ParseFloat(amount, 64); err != nil || f.Amount <= 0 || f.Kind == WorkersUnresponsive && f.Amount > 1 {
			return invalid("the amount must be above 0, and a share must be at most 1")
		}
	}
	start, duration, hasDuration := strings.Cut(timeAndDuration, "+")
	if hasDuration != needsDuration[f.Kind] {
		return invalid("only silent, state-out and state-slow take a duration, and they require one")
	}
	if f.Start, err = time.ParseDuration(start); err != nil || f.Start < 0 {
		return invalid("the time must be a duration such as 10s, and not negative")
	}
	if hasDuration {
		if f.Duration, err = time.ParseDuration(duration); err != nil || f.Duration <= 0 {
			return invalid("the duration must be above 0, such as 5s")
		}
	}
	return f, nil
}
