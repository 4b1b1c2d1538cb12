//go:build review

// Command slots submits a job that needs a machine with GPUs while four long tasks without GPUs run on the only machine. It
// watches for 100 s whether such a machine is rented and the job starts. LONG_TASKS=0: without the long tasks.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"sagevale/review/standin2"
)

func main() { os.Exit(run()) }

func run() int {
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	log, err := standin2.NewLog(filepath.Join(root, "review", "also", "slots", "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	zones := []string{"blue-mountain", "cockpit"}
	f, err := standin2.NewFleet(log, standin2.Options{
		Root: root, Zones: zones, NodeZones: []string{"blue-mountain", "cockpit", "blue-mountain"},
		Teams:   []standin2.Team{{Name: "lifeline-desk"}},
		ReportS: 2, LeaseS: 12, CancelS: 42, RPS: 250, WriteRPS: 20, ValueKB: 8, TxnOps: 12, CPUShare: 0.24, MemoryMB: 98, Sockets: 800,
		ListLagS: 5, CloudRPS: 3, LogLevel: "info",
		Types: []standin2.MachineType{
			{Sku: "ackee-small", Cpus: 32, MemoryGb: 128, LocalGb: 80, PullGbPerS: 0.6, Hourly: 2.5, LowPrice: 0.75, BootS: 25, Pastures: zones},
			{Sku: "breadfruit-gpu", Cpus: 96, Gpus: 8, MemoryGb: 384, LocalGb: 400, PullGbPerS: 9, Hourly: 30.88, LowPrice: 10.56, BootS: 60, Pastures: zones},
		},
		AtStart: []standin2.Machine{{Type: "ackee-small", Zone: zones[0]}},
	})
	if err != nil {
		log.Print("can't start the stand-ins: %v", err)
		return 2
	}
	defer f.Close()
	for _, n := range f.Nodes {
		if err := f.Start(n); err != nil {
			log.Print("can't start a controller: %v", err)
			return 2
		}
	}
	job := standin2.Job{
		Owner: "lifeline-desk", Shape: "sweep", Urgency: "normal", Kit: "img-01", ImageGb: 1, ID: "job-001001", Bracket: "antigen-array", Chores: 4, Cpus: 2,
		MemoryGb: 6, ExpectedS: 600, RunS: 600,
	}
	if os.Getenv("LONG_TASKS") != "0" {
		if a := f.Submit(job, 20*time.Second); a.Status != 200 && a.Status != 201 {
			return 2
		}
		time.Sleep(5 * time.Second)
	}
	job.ID, job.Bracket, job.Chores, job.Cpus, job.Gpus, job.MemoryGb, job.ExpectedS, job.RunS = "job-001002", "reminder-batch", 1, 8, 1, 25, 5, 5
	if a := f.Submit(job, 20*time.Second); a.Status != 200 && a.Status != 201 {
		return 2
	}
	for start := time.Now(); time.Since(start) < 100*time.Second; time.Sleep(5 * time.Second) {
		f.Ask(f.Nodes[0], http.MethodGet, "/v1/jobs/"+job.ID, nil, 2*time.Second)
		if f.Workers.Ran(job.ID) {
			log.Print("started after %v", time.Since(start).Round(time.Second))
			return 0
		}
	}
	log.Print("not started, and no machine for it rented, for 100 s")
	return 1
}
