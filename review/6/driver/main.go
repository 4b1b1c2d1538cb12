//go:build review

// Command driver runs the sixth case: a submission carries a field that the controllers don't know.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"sagevale/review/standin2"
)

const (
	held   = 0
	broken = 1
	failed = 2 // the case couldn't run

	limit    = 32.0 // the team's cpus_max
	watchFor = 30 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	root, err := os.Getwd()
	if err != nil {
		return failed
	}
	log, err := standin2.NewLog(filepath.Join(root, "review", "6", "record.txt"))
	if err != nil {
		fmt.Println(err)
		return failed
	}
	f, err := standin2.NewFleet(log, standin2.Options{
		Root: root, Zones: []string{"blue-mountain", "cockpit"}, NodeZones: []string{"blue-mountain", "cockpit", "blue-mountain"},
		Teams:   []standin2.Team{{Name: "lifeline-desk", CPUsMax: limit}},
		ReportS: 2, LeaseS: 12, CancelS: 42, RPS: 250, WriteRPS: 20, ValueKB: 8, TxnOps: 12, CPUShare: 0.24, MemoryMB: 98, Sockets: 800,
		ListLagS: 5, CloudRPS: 3, LogLevel: "info",
		Types: []standin2.MachineType{{
			Sku: "ackee-large", Cpus: 64, MemoryGb: 256, LocalGb: 60, PullGbPerS: 0.6, Hourly: 4.84, LowPrice: 1.42, BootS: 30,
			Pastures: []string{"blue-mountain", "cockpit"},
		}},
		AtStart: []standin2.Machine{{Type: "ackee-large", Zone: "blue-mountain"}, {Type: "ackee-large", Zone: "cockpit"}},
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
	// An array of twelve tasks of 8 CPUs each: four of them fit the team's limit at a time.
	job := standin2.Job{
		ID: "job-000412", Bracket: "reminder-batch", Owner: "lifeline-desk", Shape: "sweep", Urgency: "normal", Chores: 12, Cpus: 8, MemoryGb: 25,
		Kit: "img-07", ImageGb: 1, ExpectedS: 15, RunS: 15,
	}
	if os.Getenv("TROUBLE") != "0" {
		// The user's tool keeps the CPUs that such a task used last time with its jobs, in a field of its own.
		job.SubmitExtra = `"cpus":0.5`
		log.Print("trouble: the submission has the unknown field %s", job.SubmitExtra)
	}
	if a := f.Submit(job, 20*time.Second); a.Status != 200 && a.Status != 201 {
		log.Print("the job wasn't accepted: %d %s", a.Status, a.Body)
		return failed
	}
	highest := 0.0
	for start := time.Now(); time.Since(start) < watchFor; time.Sleep(100 * time.Millisecond) {
		if used := float64(f.Workers.OnMachines(job.ID)) * job.Cpus; used > highest {
			highest = used
			log.Event("the team's tasks use", "cpus", used)
		}
	}
	a := f.Ask(f.Nodes[0], http.MethodGet, "/v1/jobs/"+job.ID, nil, 2*time.Second)
	tasks, _ := f.Workers.Started()
	log.Print("%d tasks ran; the team's tasks used up to %g CPUs, its limit is %g; the job: %d %s", tasks, highest, limit, a.Status, a.Body)
	switch {
	case highest > limit:
		log.Print("BROKEN: quota")
		return broken
	case highest == 0:
		log.Print("no task ran")
		return failed
	}
	log.Print("held")
	return held
}
