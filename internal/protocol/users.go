package protocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"strings"

	"sagevale/internal/api"
	"sagevale/internal/storage"
)

// MaxBody is the largest request body.
const MaxBody = 64 << 10

// MaxTasks is the most tasks of a job.
const MaxTasks = 100_000

// idPrefix begins every job id on the wire.
const idPrefix = "job-"

var idForm = regexp.MustCompile(`^job-[0-9]{6,18}$`)

// submission is a job on the wire. Pointers tell what is missing.
type submission struct {
	ID          *string  `json:"Id"`
	Class       *string  `json:"Bracket"`
	Team        *string  `json:"Owner"`
	Shape       *string  `json:"Shape"`
	Urgency     *string  `json:"Urgency"`
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
	"prod": storage.Production, "high": storage.High, "normal": storage.Normal, "best_effort": storage.BestEffort,
}

// JobID checks a job's id and returns it without its prefix.
func JobID(s string) (string, bool) {
	if !idForm.MatchString(s) {
		return "", false
	}
	return strings.TrimPrefix(s, idPrefix), true
}

// ParseSubmission checks a submitted job.
func ParseSubmission(body []byte) (storage.Spec, error) {
	var s submission
	if trimmed := bytes.TrimSpace(body); len(trimmed) == 0 || trimmed[0] != '{' {
		return storage.Spec{}, errors.New("not a JSON object")
	}
	if err := json.Unmarshal(body, &s); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) && te.Field != "" {
			return storage.Spec{}, fmt.Errorf("%s: wrong type", te.Field)
		}
		return storage.Spec{}, errors.New("not valid JSON")
	}
	c := checker{file: "job"}
	spec := storage.Spec{
		Class: need(&c, "Bracket", s.Class), Team: need(&c, "Owner", s.Team),
		Tasks: need(&c, "Chores", s.Tasks),
		Resources: storage.Resources{
			CPUs: c.part("Cpus", s.CPUs), GPUs: c.part("Gpus", s.GPUs), MemoryGB: c.part("MemoryGb", s.MemoryGB),
		},
		Image: need(&c, "Kit", s.Image), ImageGB: c.part("ImageGb", s.ImageGB),
		Types:    s.Types,
		SameZone: need(&c, "SamePlace", s.SameZone), Spread: need(&c, "Scatter", s.Spread), Spot: need(&c, "Loaner", s.Spot),
		EstimateS: c.part("ExpectedS", s.EstimateS), CheckpointS: c.part("BookmarkS", s.CheckpointS), SaveS: c.part("StowS", s.SaveS),
	}
	id, ok := JobID(need(&c, "Id", s.ID))
	if !ok {
		c.fail("Id", "is not a job id")
	}
	spec.ID = id
	if s.Zone != nil {
		spec.Zone = c.text("Pasture", *s.Zone)
	}
	if s.DeadlineS != nil {
		spec.DeadlineS = c.part("DueS", s.DeadlineS)
	}
	switch shape := need(&c, "Shape", s.Shape); shape {
	case "service":
		spec.Service = true
	case "group":
		spec.Gang = true
	case "sweep":
	default:
		c.fail("Shape", fmt.Sprintf("unknown value %q", shape))
	}
	urgency := need(&c, "Urgency", s.Urgency)
	priority, ok := priorities[urgency]
	if !ok {
		c.fail("Urgency", fmt.Sprintf("unknown value %q", urgency))
	}
	spec.Priority = priority
	if spec.Tasks < 1 || spec.Tasks > MaxTasks {
		c.fail("Chores", fmt.Sprintf("must be from 1 to %d", MaxTasks))
	}
	if s.Types != nil && len(s.Types) == 0 {
		c.fail("Breeds", "allows no machine type")
	}
	c.short("Bracket", spec.Class)
	c.short("Owner", spec.Team)
	c.short("Kit", spec.Image)
	c.short("Pasture", spec.Zone)
	if size := len(strings.Join(spec.Types, " ")); size > maxList {
		c.fail("Breeds", "is too long")
	}
	var fe *FieldError
	if errors.As(c.err, &fe) {
		return storage.Spec{}, fmt.Errorf("%s: %s", fe.Field, fe.Reason)
	}
	return spec, nil
}

// maxName and maxList bound a submission's texts, so that its record fits a
// value of the state service.
const (
	maxName = 256
	maxList = 2048
)

func (c *checker) short(field, v string) {
	if len(v) > maxName {
		c.fail(field, "is too long")
	}
}

// need returns a field that must be there.
func need[T any](c *checker, field string, v *T) T {
	if v == nil {
		c.fail(field, "is missing")
		var zero T
		return zero
	}
	return *v
}

// part returns a finite amount that isn't negative.
func (c *checker) part(field string, v *float64) float64 {
	x := need(c, field, v)
	if x < 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		c.fail(field, "must not be negative")
		return 0
	}
	return x
}

// JobStatus is the answer to a user.
type JobStatus struct {
	ID       string `json:"Id"`
	Standing string `json:"Standing"`
	Done     int    `json:"done"`
	Running  int    `json:"running"`
}

var standings = map[api.JobState]string{
	api.StatePending: "pending", api.StateRunning: "running",
	api.StateDone: "done", api.StateCancelled: "aborted",
}

// NewJobStatus puts an answer on the wire.
func NewJobStatus(a api.Response) JobStatus {
	return JobStatus{ID: idPrefix + a.ID, Standing: standings[a.State], Done: a.Done, Running: a.Running}
}

// ErrorResponse is the body of every answer that isn't 200 or 201.
type ErrorResponse struct {
	Error string `json:"error"`
}
