//go:build review

// Command unknown-field submits a job with a field that the controllers don't know, and asks for the job.
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

	askFor    = 30 * time.Second
	askEvery  = 5 * time.Second
	submitted = "job-000412"
	ownNumber = "job-00000017" // the number of the job in the tool's own list
)

func main() { os.Exit(run()) }

func run() int {
	root, err := os.Getwd()
	if err != nil {
		return failed
	}
	log, err := standin2.NewLog(filepath.Join(root, "review", "also", "unknown-field", "record.txt"))
	if err != nil {
		fmt.Println(err)
		return failed
	}
	f, err := standin2.NewFleet(log, standin2.Options{
		Root: root, Zones: []string{"blue-mountain", "cockpit"}, NodeZones: []string{"blue-mountain", "cockpit", "blue-mountain"},
		Teams:   []standin2.Team{{Name: "lifeline-desk"}},
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
	job := standin2.Job{
		ID: submitted, Bracket: "reminder-batch", Owner: "lifeline-desk", Shape: "sweep", Urgency: "normal", Chores: 4, Cpus: 8, MemoryGb: 25,
		Kit: "img-07", ImageGb: 1, ExpectedS: 5, RunS: 5,
	}
	if os.Getenv("TROUBLE") != "0" {
		// The user's tool adds its own number of the job, in a field that the protocol doesn't have.
		job.SubmitExtra = `"id":"` + ownNumber + `"`
		log.Print("trouble: the submission has the unknown field %s", job.SubmitExtra)
	}
	if a := f.Submit(job, 20*time.Second); a.Status != 200 && a.Status != 201 {
		log.Print("the job wasn't accepted: %d %s", a.Status, a.Body)
		return failed
	}
	log.Print("%s was accepted", submitted)
	answers := map[string]int{}
	invented := 0
	for start := time.Now(); time.Since(start) < askFor; time.Sleep(askEvery) {
		for _, n := range f.Nodes {
			a := f.Ask(n, http.MethodGet, "/v1/jobs/"+submitted, nil, 2*time.Second)
			answers[fmt.Sprint(a.Status, " ", a.Standing)]++
			if a := f.Ask(n, http.MethodGet, "/v1/jobs/"+ownNumber, nil, 2*time.Second); a.Status == http.StatusOK {
				invented++
			}
		}
	}
	tasks, _ := f.Workers.Started()
	log.Print("the accepted job was answered: %v; %d of its tasks ran; %s, which nobody submitted, was answered 200 %d times",
		answers, tasks, ownNumber, invented)
	switch {
	case answers["404 "] > 0:
		log.Print("BROKEN: forgotten")
		return broken
	case invented > 0:
		log.Print("BROKEN: invented")
		return broken
	case answers["200 done"] == 0:
		log.Print("the job wasn't done")
		return failed
	}
	log.Print("held")
	return held
}
