//go:build review

// Command full-zone submits a gang that has to run in one zone while the cloud has no machine left in the zone with the most
// free room. It watches for 100 s whether the gang starts in the other zone. TROUBLE=0: the cloud has machines in both.
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
	log, err := standin2.NewLog(filepath.Join(root, "review", "also", "full-zone", "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	zones := []string{"blue-mountain", "cockpit"}
	o := standin2.Options{
		Root: root, Zones: zones, NodeZones: []string{"blue-mountain", "cockpit", "blue-mountain"},
		Teams:   []standin2.Team{{Name: "lifeline-desk"}},
		ReportS: 2, LeaseS: 12, CancelS: 42, RPS: 250, WriteRPS: 20, ValueKB: 8, TxnOps: 12, CPUShare: 0.24, MemoryMB: 98, Sockets: 800,
		ListLagS: 5, CloudRPS: 3, LogLevel: "info",
		Types: []standin2.MachineType{
			{Sku: "ackee-small", Cpus: 32, MemoryGb: 128, LocalGb: 80, PullGbPerS: 0.6, Hourly: 2.5, LowPrice: 0.75, BootS: 25, Pastures: zones},
		},
		AtStart: []standin2.Machine{{Type: "ackee-small", Zone: zones[0]}},
	}
	if os.Getenv("TROUBLE") != "0" {
		o.FullZone = zones[0]
	}
	f, err := standin2.NewFleet(log, o)
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
		Owner: "lifeline-desk", Kit: "img-01", ImageGb: 1, ID: "job-001001", Bracket: "donor-gateway", Shape: "service", Urgency: "prod", Chores: 1, Cpus: 12,
		MemoryGb: 6,
	}
	if a := f.Submit(job, 20*time.Second); a.Status != 200 && a.Status != 201 {
		return 2
	}
	time.Sleep(4 * time.Second)
	job.ID, job.Bracket, job.Shape, job.Urgency, job.Chores, job.Cpus, job.ExpectedS, job.RunS = "job-001002", "drive-planner", "group", "normal", 4, 10, 5, 5
	job.SamePlace = true
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
	log.Print("not started, and no machine in the other zone asked for, for 100 s")
	return 1
}
