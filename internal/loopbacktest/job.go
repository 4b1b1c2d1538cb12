package loopbacktest

import "time"

// Class is a class of jobs. The latencies of each class are recorded separately.
type Class string

// The classes of jobs.
const (
	UrgentJobs Class = "urgent"
	OtherJobs  Class = "other"
)

// Shapes of jobs on the wire.
const (
	serviceShape = "service"
	gangShape    = "group"
)

// Job is a job to submit, together with what its tasks do on a worker.
type Job struct {
	ID      string
	Shape   string        // sweep, service or group
	Tasks   int           // number of tasks
	RunTime time.Duration // run time of a task; services run until they are stopped
	Team    string        // empty: the fleet's first team
	CPUs    float64       // processors per task; 0: one
	Urgent  bool

	acceptedAt time.Time // when the user received the acceptance
}

// Class returns the class under which the job's latencies are recorded.
func (j Job) Class() Class {
	if j.Urgent {
		return UrgentJobs
	}
	return OtherJobs
}

func (j Job) isService() bool { return j.Shape == serviceShape }
func (j Job) isGang() bool    { return j.Shape == gangShape }

// submission is the body of a request that submits a job.
type submission struct {
	ID          string  `json:"Id"`
	Class       string  `json:"Bracket"`
	Team        string  `json:"Owner"`
	Shape       string  `json:"Shape"`
	Urgency     string  `json:"Urgency"`
	Tasks       int     `json:"Chores"`
	CPUs        float64 `json:"Cpus"`
	GPUs        float64 `json:"Gpus"`
	MemoryGB    float64 `json:"MemoryGb"`
	Image       string  `json:"Kit"`
	ImageGB     float64 `json:"ImageGb"`
	SameZone    bool    `json:"SamePlace"`
	Spread      bool    `json:"Scatter"`
	Spot        bool    `json:"Loaner"`
	EstimateS   float64 `json:"ExpectedS"`
	CheckpointS float64 `json:"BookmarkS"`
	SaveS       float64 `json:"StowS"`
}

func (j Job) submission() submission {
	urgency := "normal"
	if j.Urgent {
		urgency = "prod"
	}
	return submission{
		ID: j.ID, Class: j.Shape, Team: j.Team, Shape: j.Shape, Urgency: urgency, Tasks: j.Tasks,
		CPUs: j.CPUs, MemoryGB: 2 * j.CPUs, Image: "img", ImageGB: 0.1, EstimateS: j.RunTime.Seconds(),
	}
}
