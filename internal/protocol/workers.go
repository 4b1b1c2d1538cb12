package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"sagevale/internal/worker"
)

// machinePrefix is the prefix of every machine name in the external interfaces.
const machinePrefix = "host-"

// MachineName returns the name of a machine in the external interfaces. The number in the name has at least six digits,
// so that the names of the first million machines sort by ID and thus by age.
func MachineName(id int) string { return fmt.Sprintf("%s%06d", machinePrefix, id) }

// ParseMachineName returns the ID of the machine with the given name.
func ParseMachineName(name string) (int, error) {
	digits, ok := strings.CutPrefix(name, machinePrefix)
	id, err := strconv.Atoi(digits)
	if !ok || err != nil || id < 0 || MachineName(id) != name {
		return 0, fmt.Errorf("%q is not a machine's name", name)
	}
	return id, nil
}

func taskName(id worker.TaskID) string {
	return jobIDPrefix + id.Job + "/" + strconv.Itoa(id.Task)
}

func parseTaskName(name string) (worker.TaskID, error) {
	job, index, ok := strings.Cut(name, "/")
	id, valid := ParseJobID(job)
	n, err := strconv.Atoi(index)
	if !ok || !valid || err != nil || n < 0 {
		return worker.TaskID{}, fmt.Errorf("%q is not a task's name", name)
	}
	return worker.TaskID{Job: id, Task: n}, nil
}

// report is a worker's report about itself and its tasks. It is the body of a heartbeat and of a response to commands.
type report struct {
	Machine       string       `json:"Mount"`
	Addr          string       `json:"Addr"`
	Type          string       `json:"Breed"`
	Zone          string       `json:"Pasture"`
	Spot          bool         `json:"Loaner"`
	Incarnation   uint64       `json:"Ride"`
	Seq           uint64       `json:"Tally"`
	Token         uint64       `json:"Baton"`
	NoticeSeconds *float64     `json:"WarningS"`
	Tasks         []taskReport `json:"Chores"`
}

type taskReport struct {
	Task    string `json:"Chore"`
	Attempt uint64 `json:"Try"`
	State   string `json:"Standing"`
	Cause   string `json:"Cause"`
	Saved   bool   `json:"Stored"`
}

var taskStates = map[string]worker.TaskState{
	"pulling": worker.Pulling, "running": worker.Running, "saving": worker.Saving, "ended": worker.Exited,
	"gathering": worker.Gathering,
}

var exitCauses = map[string]worker.ExitCause{
	"done": worker.CauseDone, "stopped": worker.CauseStopped, "error": worker.CauseError,
	"full": worker.CauseFull, "busy": worker.CauseBusy, "unknown": worker.CauseUnknownJob,
	"peers": worker.CauseGangMissing, "alone": worker.CauseGangMissing,
}

// minNoticeSeconds is the smallest notice period that ParseReport returns: it replaces shorter ones. The notice period is the
// time until the cloud reclaims the machine. Controllers exchange reports in gob, which omits a pointer to zero, so a notice
// of 0 seconds would be lost.
const minNoticeSeconds = 0.001

// ParseReport decodes and checks a worker's report. If one task of the report is invalid, it rejects the whole report: a
// report from which the task was left out would mean that the task no longer runs.
func ParseReport(body []byte) (*worker.Report, error) {
	var r report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	machine, err := ParseMachineName(r.Machine)
	if err != nil {
		return nil, err
	}
	if r.Incarnation == 0 || r.Seq == 0 {
		return nil, errors.New("report without Ride or Tally")
	}
	out := &worker.Report{
		Machine: machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Incarnation: r.Incarnation, Seq: r.Seq, Token: r.Token, NoticeSeconds: r.NoticeSeconds,
		Tasks: make([]worker.TaskReport, 0, len(r.Tasks)),
	}
	if r.NoticeSeconds != nil {
		*out.NoticeSeconds = max(*r.NoticeSeconds, minNoticeSeconds)
	}
	for i := range r.Tasks {
		task, err := r.Tasks[i].parse()
		if err != nil {
			return nil, err
		}
		out.Tasks = append(out.Tasks, task)
	}
	return out, nil
}

// parse checks the report of one task.
func (t *taskReport) parse() (worker.TaskReport, error) {
	id, err := parseTaskName(t.Task)
	if err != nil {
		return worker.TaskReport{}, err
	}
	state, ok := taskStates[t.State]
	if !ok {
		return worker.TaskReport{}, fmt.Errorf("unknown task state %q", t.State)
	}
	cause, ok := exitCauses[t.Cause]
	if state == worker.Exited && !ok {
		return worker.TaskReport{}, fmt.Errorf("unknown cause %q", t.Cause)
	}
	return worker.TaskReport{ID: id, Attempt: t.Attempt, State: state, Cause: cause, Saved: t.Saved}, nil
}

// command is the JSON form of a command to a worker.
type command struct {
	Verb         string   `json:"Verb"`
	Task         string   `json:"Chore"`
	Attempt      uint64   `json:"Try"`
	GraceSeconds *float64 `json:"LeewayS,omitempty"` // only in stop commands
}

var verbs = map[worker.Verb]string{
	worker.Start: "run", worker.Stop: "stop", worker.Forget: "forget",
}

// newCommands converts commands to the JSON form. The result is never nil, because nil would be encoded as null.
func newCommands(commands []worker.Command) []command {
	sent := make([]command, 0, len(commands))
	for _, c := range commands {
		s := command{Verb: verbs[c.Verb], Task: taskName(c.ID), Attempt: c.Attempt}
		if c.Verb == worker.Stop {
			s.GraceSeconds = &c.GraceSeconds
		}
		sent = append(sent, s)
	}
	return sent
}

// HeartbeatResponse is the body of the response to an accepted heartbeat.
type HeartbeatResponse struct {
	Token    uint64    `json:"Baton"`
	Commands []command `json:"Orders"`
}

// NewHeartbeatResponse returns the body of the response to an accepted heartbeat.
func NewHeartbeatResponse(r worker.HeartbeatResponse) HeartbeatResponse {
	return HeartbeatResponse{Token: r.Token, Commands: newCommands(r.Commands)}
}

// Redirect is the body of the response that redirects a worker's heartbeat to another controller.
type Redirect struct {
	Leader string `json:"Steward,omitempty"` // name of the leader; empty: unknown
	Error  string `json:"error"`
}

// Commands is the body of a request that sends commands to a worker.
type Commands struct {
	Token       uint64    `json:"Baton"`
	Incarnation uint64    `json:"Ride"`
	Commands    []command `json:"Orders"`
}

// NewCommands returns the body of a request that sends commands to one incarnation of a worker, with a fencing token.
func NewCommands(token, incarnation uint64, commands []worker.Command) Commands {
	return Commands{Token: token, Incarnation: incarnation, Commands: newCommands(commands)}
}
