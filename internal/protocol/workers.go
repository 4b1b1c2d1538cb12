package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"sagevale/internal/coordination"
)

// machinePrefix begins every machine's name.
const machinePrefix = "host-"

// MachineName is a machine's name on the wire; numbers have six digits at the
// least, so names sort as they were created.
func MachineName(n int) string { return fmt.Sprintf("%s%06d", machinePrefix, n) }

// ParseMachine reads a machine's name.
func ParseMachine(s string) (int, error) {
	rest, ok := strings.CutPrefix(s, machinePrefix)
	n, err := strconv.Atoi(rest)
	if !ok || err != nil || n < 0 || MachineName(n) != s {
		return 0, fmt.Errorf("%q is not a machine's name", s)
	}
	return n, nil
}

func taskName(id coordination.TaskID) string {
	return idPrefix + id.Job + "/" + strconv.Itoa(id.Task)
}

func parseTask(s string) (coordination.TaskID, error) {
	job, task, ok := strings.Cut(s, "/")
	id, valid := JobID(job)
	n, err := strconv.Atoi(task)
	if !ok || !valid || err != nil || n < 0 {
		return coordination.TaskID{}, fmt.Errorf("%q is not a task's name", s)
	}
	return coordination.TaskID{Job: id, Task: n}, nil
}

// report is a worker's report on the wire.
type report struct {
	Machine string       `json:"Mount"`
	Addr    string       `json:"Addr"`
	Type    string       `json:"Breed"`
	Zone    string       `json:"Pasture"`
	Spot    bool         `json:"Loaner"`
	Session uint64       `json:"Ride"`
	Seq     uint64       `json:"Tally"`
	Token   uint64       `json:"Baton"`
	NoticeS *float64     `json:"WarningS"`
	Tasks   []taskReport `json:"Chores"`
}

type taskReport struct {
	Task  string `json:"Chore"`
	Try   uint64 `json:"Try"`
	State string `json:"Standing"`
	Cause string `json:"Cause"`
	Saved bool   `json:"Stored"`
}

var taskStates = map[string]coordination.TaskState{
	"pulling": coordination.Pulling, "running": coordination.Running, "saving": coordination.Saving, "ended": coordination.Ended,
	"gathering": coordination.Gathering,
}

var causes = map[string]coordination.EndCause{
	"done": coordination.CauseDone, "stopped": coordination.CauseStopped, "error": coordination.CauseError,
	"full": coordination.CauseFull, "busy": coordination.CauseBusy, "unknown": coordination.CauseUnknown,
	"peers": coordination.CausePeers, "alone": coordination.CausePeers,
}

// leastNoticeS stands for a notice that has run out.
const leastNoticeS = 0.001

// ParseReport checks a worker's report. One that can't be understood in full
// is refused in full: a task that we overlooked would seem to be gone.
func ParseReport(body []byte) (*coordination.Report, error) {
	var r report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	machine, err := ParseMachine(r.Machine)
	if err != nil {
		return nil, err
	}
	if r.Session == 0 || r.Seq == 0 {
		return nil, errors.New("report without Ride or Tally")
	}
	out := &coordination.Report{
		Machine: machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Session, Seq: r.Seq, Token: r.Token, Notice: r.NoticeS,
		Tasks: make([]coordination.TaskReport, 0, len(r.Tasks)),
	}
	if r.NoticeS != nil {
		// A gob between nodes would drop a zero.
		*out.Notice = max(*r.NoticeS, leastNoticeS)
	}
	for _, t := range r.Tasks {
		id, err := parseTask(t.Task)
		if err != nil {
			return nil, err
		}
		state, ok := taskStates[t.State]
		if !ok {
			return nil, fmt.Errorf("unknown task state %q", t.State)
		}
		cause, ok := causes[t.Cause]
		if state == coordination.Ended && !ok {
			return nil, fmt.Errorf("unknown cause %q", t.Cause)
		}
		out.Tasks = append(out.Tasks, coordination.TaskReport{ID: id, Try: t.Try, State: state, Cause: cause, Saved: t.Saved})
	}
	return out, nil
}

type order struct {
	Verb   string   `json:"Verb"`
	Task   string   `json:"Chore"`
	Try    uint64   `json:"Try"`
	GraceS *float64 `json:"LeewayS,omitempty"`
}

// HeartbeatResponse is the answer to a report.
type HeartbeatResponse struct {
	Token  uint64  `json:"Baton"`
	Orders []order `json:"Orders"`
}

// NewHeartbeatResponse puts the answer to a report on the wire.
func NewHeartbeatResponse(a coordination.HeartbeatResponse) HeartbeatResponse {
	return HeartbeatResponse{Token: a.Token, Orders: newOrders(a.Orders)}
}

// Redirect tells a worker where to report.
type Redirect struct {
	Leader string `json:"Steward,omitempty"`
	Error  string `json:"error"`
}

// DirectOrders is the body of orders sent straight to a worker.
type DirectOrders struct {
	Token   uint64  `json:"Baton"`
	Session uint64  `json:"Ride"`
	Orders  []order `json:"Orders"`
}

// NewDirectOrders puts direct orders on the wire.
func NewDirectOrders(token, session uint64, orders []coordination.Order) DirectOrders {
	return DirectOrders{Token: token, Session: session, Orders: newOrders(orders)}
}

var verbs = map[coordination.Verb]string{
	coordination.Start: "run", coordination.Stop: "stop", coordination.Forget: "forget",
}

func newOrders(in []coordination.Order) []order {
	out := make([]order, 0, len(in))
	for _, o := range in {
		w := order{Verb: verbs[o.Verb], Task: taskName(o.ID), Try: o.Try}
		if o.Verb == coordination.Stop {
			w.GraceS = &o.GraceS
		}
		out = append(out, w)
	}
	return out
}
