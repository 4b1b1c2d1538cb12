//go:build review

// Command driver runs the sixth case: a user submits a gang that can never run, and another user's job waits for ever.
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

	bound = 90 * time.Second // no job is left waiting for that long while a machine that fits has room
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
		Teams:   []standin2.Team{{Name: "lifeline-desk"}}, // without a limit
		ReportS: 2, LeaseS: 12, CancelS: 42, RPS: 250, WriteRPS: 20, ValueKB: 8, TxnOps: 12, CPUShare: 0.24, MemoryMB: 98, Sockets: 800,
		ListLagS: 5, CloudRPS: 3, LogLevel: "info",
		Types: []standin2.MachineType{{
			Sku: "ackee-small", Cpus: 32, MemoryGb: 128, LocalGb: 80, PullGbPerS: 6, Hourly: 2.5, LowPrice: 0.75, BootS: 5,
			Pastures: []string{"blue-mountain", "cockpit"},
		}},
		AtStart: []standin2.Machine{{Type: "ackee-small", Zone: "blue-mountain"}, {Type: "ackee-small", Zone: "cockpit"}},
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
	submit := func(j standin2.Job) (accepted bool) {
		j.Owner, j.Kit, j.ImageGb = "lifeline-desk", "img-01", 1.5
		a := f.Submit(j, 20*time.Second)
		log.Print("%s (%s): %d %s", j.ID, j.Bracket, a.Status, a.Body)
		return a.Status == 200 || a.Status == 201
	}
	zones := f.Options.Zones
	for i := range zones { // a gateway in each zone keeps its machine
		if !submit(standin2.Job{ID: fmt.Sprintf("job-%06d", 100+i), Bracket: "donor-gateway", Shape: "service", Urgency: "prod", Chores: 1, Cpus: 2, MemoryGb: 6.7, Pasture: &zones[i]}) {
			return failed
		}
	}
	for start := time.Now(); f.Workers.OnMachines("job-000100")+f.Workers.OnMachines("job-000101") < 2; time.Sleep(100 * time.Millisecond) {
		if time.Since(start) > 8*time.Second {
			log.Print("the gateways don't run")
			return failed
		}
	}
	if os.Getenv("TROUBLE") != "0" {
		// All three tasks in one zone, at most two of them in any zone, and all at once.
		log.Print("trouble: a gang that can't run, with SamePlace and with Scatter, is submitted once")
		gang := standin2.Job{
			ID: "job-000200", Bracket: "drive-planner", Shape: "group", Urgency: "normal", Chores: 3, Cpus: 8, MemoryGb: 6.4, SamePlace: true, Scatter: true,
			ExpectedS: 30, RunS: 30,
		}
		if !submit(gang) {
			log.Print("the gang was refused")
		}
	}
	time.Sleep(2 * time.Second)

	// Jobs of another user, each bound to a zone, of one task that fits the free room of the zone's machine.
	var waiting []standin2.Job
	since := make(map[string]time.Time) // since when the job has been waiting while a machine that fits had room
	for i := range zones {
		j := standin2.Job{
			ID: fmt.Sprintf("job-%06d", 300+i), Bracket: "reminder-batch", Shape: "sweep", Urgency: "normal", Chores: 1, Cpus: 16, MemoryGb: 50, ExpectedS: 5,
			RunS: 5, Pasture: &zones[i],
		}
		if !submit(j) {
			return failed
		}
		waiting, since[j.ID] = append(waiting, j), time.Now()
	}
	lastPoll := time.Now()
	for start := time.Now(); len(waiting) > 0 && time.Since(start) < bound+5*time.Second; time.Sleep(200 * time.Millisecond) {
		var still []standin2.Job
		for _, j := range waiting {
			if f.Workers.Ran(j.ID) {
				log.Print("%s started", j.ID)
				continue
			}
			still = append(still, j)
			if !f.Workers.HasRoom(j) {
				since[j.ID] = time.Now()
			}
			if time.Since(since[j.ID]) > bound {
				a := f.Ask(f.Nodes[0], http.MethodGet, "/v1/jobs/"+j.ID, nil, 2*time.Second)
				log.Print("BROKEN: %s (%d %s) has waited for %v while a machine in %s had room for it, and its team has no limit",
					j.ID, a.Status, a.Body, bound, *j.Pasture)
				return broken
			}
		}
		waiting = still
		if time.Since(lastPoll) > 5*time.Second {
			lastPoll = time.Now()
			for _, j := range waiting {
				f.Ask(f.Nodes[1], http.MethodGet, "/v1/jobs/"+j.ID, nil, 2*time.Second)
			}
		}
	}
	if len(waiting) > 0 {
		log.Print("a job waited, but no machine had room all the time")
		return failed
	}
	log.Print("held")
	return held
}
