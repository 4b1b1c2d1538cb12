package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"sagevale/internal/api"
	"sagevale/internal/storage"
)

// MaxBodyBytes is the largest allowed size, in bytes, of the body of a request from a user or a worker.
const MaxBodyBytes = 64 << 10

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100_000

// Limits on the lengths of a submission's texts, in bytes. They ensure that the job's record fits in one value of the
// key-value store.
const (
	maxNameBytes  = 256
	maxTypesBytes = 2048 // for the names of all allowed machine types, joined with spaces
)

// jobIDPrefix is the prefix of every job ID in the external interfaces.
const jobIDPrefix = "job-"

var jobIDPattern = regexp.MustCompile(`^job-[0-9]{6,18}$`)

// ParseJobID returns the job ID in s without its prefix. ok is false if s is not a job ID.
func ParseJobID(s string) (id string, ok bool) {
	if !jobIDPattern.MatchString(s) {
		return "", false
	}
	return strings.TrimPrefix(s, jobIDPrefix), true
}

// submission is the body of a user's request to submit a job. A field that is missing in the body is nil.
type submission struct {
	ID          *string  `json:"Id"`
	Class       *string  `json:"Bracket"`
	Team        *string  `json:"Owner"`
	Kind        *string  `json:"Shape"`
	Priority    *string  `json:"Urgency"`
	Tasks       *int     `json:"Chores"`
	CPUs        *float64 `json:"Cpus"`
	GPUs        *float64 `json:"Gpus"`
	MemoryGB    *float64 `json:"MemoryGb"`
	Image       *string  `json:"Kit"`
	ImageGB     *float64 `json:"ImageGb"`
	Types       []string `json:"Breeds"`
	Zone        *string  `json:"Pasture"`
	SameZone    *bool    `json:"SamePlace"`
	Spread      *bool    `json:"Scatter"`
	Spot        *bool    `json:"Loaner"`
	EstimateS   *float64 `json:"ExpectedS"`
	CheckpointS *float64 `json:"BookmarkS"`
	SaveS       *float64 `json:"StowS"`
	DeadlineS   *float64 `json:"DueS"`
}

var priorities = map[string]storage.Priority{
	"prod": storage.PriorityProduction, "high": storage.PriorityHigh, "normal": storage.PriorityNormal, "best_effort": storage.PriorityBestEffort,
}

// ParseSubmission decodes and checks a submission. An error that concerns one field is a *FieldError. The error text is
// sent to the user.
func ParseSubmission(body []byte) (storage.Spec, error) {
	var s submission
	if trimmed := bytes.TrimSpace(body); len(trimmed) == 0 || trimmed[0] != '{' {
		return storage.Spec{}, errors.New("not a JSON object")
	}
	if err := json.Unmarshal(body, &s); err != nil {
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) && typeError.Field != "" {
			return storage.Spec{}, &FieldError{Field: typeError.Field, Reason: "wrong type"}
		}
		return storage.Spec{}, errors.New("not valid JSON")
	}
	var v validator
	spec := s.spec(&v)
	if v.err != nil {
		return storage.Spec{}, v.err
	}
	return spec, nil
}

// spec returns the checked specification of the job.
func (s *submission) spec(v *validator) storage.Spec {
	spec := storage.Spec{
		Class: required(v, "Bracket", s.Class),
		Team:  required(v, "Owner", s.Team),
		Tasks: required(v, "Chores", s.Tasks),
		Resources: storage.Resources{
			CPUs: v.nonNegative("Cpus", s.CPUs), GPUs: v.nonNegative("Gpus", s.GPUs), MemoryGB: v.nonNegative("MemoryGb", s.MemoryGB),
		},
		Image:       required(v, "Kit", s.Image),
		ImageGB:     v.nonNegative("ImageGb", s.ImageGB),
		Types:       s.Types,
		SameZone:    required(v, "SamePlace", s.SameZone),
		Spread:      required(v, "Scatter", s.Spread),
		Spot:        required(v, "Loaner", s.Spot),
		EstimateS:   v.nonNegative("ExpectedS", s.EstimateS),
		CheckpointS: v.nonNegative("BookmarkS", s.CheckpointS),
		SaveS:       v.nonNegative("StowS", s.SaveS),
	}
	spec.ID = s.jobID(v)
	if s.Zone != nil {
		spec.Zone = v.nonEmpty("Pasture", *s.Zone)
	}
	if s.DeadlineS != nil {
		spec.DeadlineS = v.nonNegative("DueS", s.DeadlineS)
	}
	spec.Service, spec.Gang = s.parseKind(v)
	spec.Priority = s.priority(v)
	checkSizes(v, &spec)
	return spec
}

func (s *submission) jobID(v *validator) string {
	id, ok := ParseJobID(required(v, "Id", s.ID))
	if !ok {
		v.fail("Id", "is not a job id")
	}
	return id
}

// parseKind reports whether the job is a service, and whether it is a gang. For a job array, both results are false.
func (s *submission) parseKind(v *validator) (service, gang bool) {
	switch kind := required(v, "Shape", s.Kind); kind {
	case "service":
		return true, false
	case "group":
		return false, true
	case "sweep":
	default:
		v.fail("Shape", fmt.Sprintf("unknown value %q", kind))
	}
	return false, false
}

func (s *submission) priority(v *validator) storage.Priority {
	name := required(v, "Urgency", s.Priority)
	priority, ok := priorities[name]
	if !ok {
		v.fail("Urgency", fmt.Sprintf("unknown value %q", name))
	}
	return priority
}

// checkSizes checks the number of tasks and the lengths of a submission's texts, and that a list of machine types, if given,
// isn't empty.
func checkSizes(v *validator, spec *storage.Spec) {
	if spec.Tasks < 1 || spec.Tasks > MaxTasks {
		v.fail("Chores", fmt.Sprintf("must be from 1 to %d", MaxTasks))
	}
	if spec.Types != nil && len(spec.Types) == 0 {
		v.fail("Breeds", "allows no machine type")
	}
	v.maxLength("Bracket", spec.Class, maxNameBytes)
	v.maxLength("Owner", spec.Team, maxNameBytes)
	v.maxLength("Kit", spec.Image, maxNameBytes)
	v.maxLength("Pasture", spec.Zone, maxNameBytes)
	v.maxLength("Breeds", strings.Join(spec.Types, " "), maxTypesBytes)
}

// JobStatus is the body of a successful response to a user.
type JobStatus struct {
	ID      string `json:"Id"`
	State   string `json:"Standing"`
	Done    int    `json:"done"`    // number of tasks that are done
	Running int    `json:"running"` // number of running tasks
}

var jobStates = map[api.JobState]string{
	api.StatePending: "pending", api.StateRunning: "running",
	api.StateDone: "done", api.StateCancelled: "aborted",
}

// NewJobStatus returns the body of a response with a job's state.
func NewJobStatus(r api.Response) JobStatus {
	return JobStatus{ID: jobIDPrefix + r.ID, State: jobStates[r.State], Done: r.Done, Running: r.Running}
}

// ErrorResponse is the body of an error response of the cloud, or of an error response that a controller sends to a user or
// a worker. The only exception is the response that redirects a worker to another controller: its body is a Redirect.
type ErrorResponse struct {
	Error string `json:"error"`
}
