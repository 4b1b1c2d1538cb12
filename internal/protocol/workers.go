package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"sagevale/internal/worker"
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

func taskName(id worker.TaskID) string {
	return idPrefix + id.Job + "/" + strconv.Itoa(id.Task)
}

func parseTask(s string) (worker.TaskID, error) {
	job, task, ok := strings.Cut(s, "/")
	id, valid := JobID(job)
	n, err := strconv.Atoi(task)
	if !ok || !valid || err != nil || n < 0 {
		return worker.TaskID{}, fmt.Errorf("%q is not a task's name", s)
	}
	return worker.TaskID{Job: id, Task: n}, nil
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

var taskStates = map[string]worker.TaskState{
	"pulling": worker.Pulling, "running": worker.Running, "saving": worker.Saving, "ended": worker.Exited,
	"gathering": worker.Gathering,
}

var causes = map[string]worker.ExitCause{
	"done": worker.CauseDone, "stopped": worker.CauseStopped, "error": worker.CauseError,
	"full": worker.CauseFull, "busy": worker.CauseBusy, "unknown": worker.CauseUnknown,
	"peers": worker.CausePeers, "alone": worker.CausePeers,
}

// leastNoticeS stands for a notice that has run out.
const leastNoticeS = 0.001

// ParseReport checks a worker's report. One that can't be understood in full
// is refused in full: a task that we overlooked would seem to be gone.
func ParseReport(body []byte) (*worker.Report, error) {
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
	out := &worker.Report{
		Machine: machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Incarnation: r.Session, Seq: r.Seq, Token: r.Token, NoticeSeconds: r.NoticeS,
		Tasks: make([]worker.TaskReport, 0, len(r.Tasks)),
	}
	if r.NoticeS != nil {
		// A gob between nodes would drop a zero.
		*out.NoticeSeconds = max(*r.NoticeS, leastNoticeS)
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
		if state == worker.Exited && !ok {
			return nil, fmt.Errorf("unknown cause %q", t.Cause)
		}
		out.Tasks = append(out.Tasks, worker.TaskReport{ID: id, Attempt: t.Try, State: state, Cause: cause, Saved: t.Saved})
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
func NewHeartbeatResponse(a worker.HeartbeatResponse) HeartbeatResponse {
	return HeartbeatResponse{Token: a.Token, Orders: newOrders(a.Commands)}
}

// Redirect tells a worker where to report.
type Redirect struct {
	Leader string `json:"Steward,omitempty"`
	Error  string `json:"error"`
}

// Commands is the body of orders sent straight to a worker.
type Commands struct {
	Token   uint64  `json:"Baton"`
	Session uint64  `json:"Ride"`
	Orders  []order `json:"Orders"`
}

// NewCommands puts direct orders on the wire.
func NewCommands(token, session uint64, orders []worker.Command) Commands {
	return Commands{Token: token, Session: session, Orders: newOrders(orders)}
}

var verbs = map[worker.Verb]string{
	worker.Start: "run", worker.Stop: "stop", worker.Forget: "forget",
}

func newOrders(in []worker.Command) []order {
	out := make([]order, 0, len(in))
	for _, o := range in {
		w := order{Verb: verbs[o.Verb], Task: taskName(o.ID), Try: o.Attempt}
		if o.Verb == worker.Stop {
			w.GraceS = &o.GraceSeconds
		}
		out = append(out, w)
	}
	return out
}
