//go:build review

// Command late-start cancels jobs whose start command is held up on its way, and looks for starts after the confirmation.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"sagevale/review/standin2"
)

const (
	held   = 0
	broken = 1
	failed = 2 // the case couldn't run

	rounds    = 8
	lateBy    = 6 * time.Second // late_commands: 2 to 16 s late
	roundTime = 8 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	root, err := os.Getwd()
	if err != nil {
		return failed
	}
	log, err := standin2.NewLog(filepath.Join(root, "review", "also", "late-start", "record.txt"))
	if err != nil {
		fmt.Println(err)
		return failed
	}
	f, err := standin2.NewFleet(log, standin2.Options{
		Root: root, Zones: []string{"blue-mountain", "cockpit"}, NodeZones: []string{"blue-mountain", "cockpit", "blue-mountain"},
		Teams:   []standin2.Team{{Name: "lifeline-desk"}},
		ReportS: 2, LeaseS: 12, CancelS: 42, RPS: 250, WriteRPS: 20, ValueKB: 8, TxnOps: 12, CPUShare: 0.24, MemoryMB: 98, Sockets: 800,
		ListLagS: 5, CloudRPS: 3, LogLevel: "debug", Capacity: 1,
		Types: []standin2.MachineType{{
			Sku: "ackee-small", Cpus: 32, MemoryGb: 128, LocalGb: 80, PullGbPerS: 6, Hourly: 2.5, LowPrice: 0.75, BootS: 25,
			Pastures: []string{"blue-mountain", "cockpit"},
		}},
		AtStart: []standin2.Machine{{Type: "ackee-small", Zone: "blue-mountain"}},
	})
	if err != nil {
		log.Print("can't start the stand-ins: %v", err)
		return failed
	}
	defer f.Close()
	for _, n := range f.Nodes {
		if err := f.Start(n); err != nil {
			log.Print("can't start a controller: %v", err)
			return failed
		}
	}
	started := make(map[string]time.Time) // the last start of a job's only task
	f.Workers.Starts = func(chore, _, _ string, _ standin2.Job) {
		id, _, _ := strings.Cut(chore, "/")
		started[id] = time.Now()
	}
	job := standin2.Job{
		ID: "job-000400", Bracket: "donor-gateway", Owner: "lifeline-desk", Shape: "service", Urgency: "prod", Chores: 1, Cpus: 2, MemoryGb: 6.7,
		Kit: "img-01", ImageGb: 1.5,
	}
	if a := f.Submit(job, 20*time.Second); a.Status != 200 && a.Status != 201 {
		return failed
	}
	for start := time.Now(); !f.Workers.Ran(job.ID); time.Sleep(100 * time.Millisecond) {
		if time.Since(start) > 15*time.Second {
			log.Print("the first service doesn't run")
			return failed
		}
	}
	time.Sleep(5 * time.Second)
	var late atomic.Bool
	if os.Getenv("TROUBLE") != "0" {
		log.Print("trouble: direct commands to workers are held up on their way for %v, unanswered, and then carried out", lateBy)
		late.Store(true)
	}
	f.Workers.HoldUp = func() time.Duration {
		if late.Load() {
			return lateBy
		}
		return 0
	}
	confirmed := make(map[string]time.Time)
	for i := range rounds {
		job.ID = fmt.Sprintf("job-%06d", 401+i)
		began := time.Now()
		if a := f.Submit(job, 20*time.Second); a.Status != 200 && a.Status != 201 {
			return failed
		}
		time.Sleep(200 * time.Millisecond)
		for try := 0; try < 5; try++ {
			if a := f.Ask(f.Nodes[try%3], http.MethodPost, "/v1/jobs/"+job.ID+"/cancel", nil, 5*time.Second); a.Status == 200 && a.Standing == "aborted" {
				confirmed[job.ID] = time.Now()
				break
			}
			time.Sleep(time.Second)
		}
		time.Sleep(roundTime - time.Since(began))
	}
	f.Workers.Lock()
	defer f.Workers.Unlock()
	after := 0
	for id, at := range confirmed {
		if s, ran := started[id]; ran && s.After(at) {
			after++
			log.Print("the task of %s was started %v after its user had been told that it is cancelled", id, s.Sub(at).Round(time.Millisecond))
		}
	}
	log.Print("%d cancellations confirmed, %d starts after that", len(confirmed), after)
	if after > 0 {
		log.Print("BROKEN: started after the cancellation")
		return broken
	}
	log.Print("held")
	return held
}
