//go:build review

// Command driver runs the case of a prod job that needs the room of a large gang.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"sagevale/review/standin"
)

// silence is the time without an answer after which a job counts as forgotten.
const silence = 75 * time.Second

func main() { os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0")) }

func run(dir string, trouble bool) int {
	f, err := standin.New(standin.IDBA(), filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close(os.Getenv("KEEP") != "")
	f.Cloud.Types = []standin.Type{{Name: "ackee-large", CPUs: 64, MemoryGB: 256, LocalGB: 60, PullGBPerS: 0.2, Price: 4.84, Low: 1.42, BootS: 30, Zones: f.Settings.Zones}}
	for i := range 40 {
		if _, err := f.Cloud.Add("ackee-large", f.Settings.Zones[i%2], false); err != nil {
			return 2
		}
	}
	if err := f.StartAll(); err != nil {
		return 2
	}
	if err := f.AwaitUp(15 * time.Second); err != nil {
		f.Logf("%v", err)
		return 2
	}
	service := standin.Job{ID: "job-000001", Class: "donor-gateway", Team: "lifeline-desk", Shape: "service", Urgency: "prod", Tasks: 2, CPUs: 2, MemoryGB: 6.7, Image: "img-01", ImageGB: 0.1, Spread: true}
	gang := standin.Job{ID: "job-000002", Class: "stock-forecast", Team: "lifeline-desk", Shape: "group", Urgency: "normal", Tasks: 6300, CPUs: 0.4, MemoryGB: 0.8, Image: "img-02", ImageGB: 0.1, RunS: 600, BookmarkS: 20, StowS: 2}
	urgent := standin.Job{ID: "job-000003", Class: "booking-assistant", Team: "lifeline-desk", Shape: "service", Urgency: "prod", Tasks: 1, CPUs: 60, MemoryGB: 50, Image: "img-03", ImageGB: 0.1}
	for _, j := range []standin.Job{service, gang} {
		if a := f.Submit(j, 20*time.Second); a.Status != 201 {
			f.Logf("%s isn't accepted", j.ID)
			return 2
		}
	}
	for f.Since() < 30 && f.Audit.Present(gang.ID) < gang.Tasks {
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	f.Logf("%s: %d on machines", gang.ID, f.Audit.Present(gang.ID))
	f.Logf("user: %v", f.AskUntil("GET", "/v1/jobs/"+gang.ID, nil, 10*time.Second))
	if trouble {
		go f.Submit(urgent, 60*time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	answered, longest, refused := time.Now(), time.Duration(0), 0
	for f.Since() < 109 && longest < silence {
		for i, c := range f.Controllers {
			a := f.Ask(i, "GET", "/v1/jobs/"+service.ID, nil, 2*time.Second)
			f.Logf("user: GET /v1/jobs/%s at %s -> %v", service.ID, c.Name, a)
			if a.Status == 200 {
				answered = time.Now()
			} else {
				refused++
			}
			if c.Exited() {
				f.Logf("controller %s ended by itself", c.Name)
			}
		}
		longest = max(longest, time.Since(answered))
		f.Logf("on machines: %s %d, %s %d, %s %d", service.ID, f.Audit.Present(service.ID), gang.ID, f.Audit.Present(gang.ID), urgent.ID, f.Audit.Present(urgent.ID))
		time.Sleep(1500 * time.Millisecond)
	}
	lost := 0
	for _, w := range f.Cloud.Workers() {
		leases, _, _ := w.Counts()
		lost += leases
	}
	f.Logf("longest time without an answer about %s: %.1f s; %d questions without one; %d leases ran out", service.ID, longest.Seconds(), refused, lost)
	fmt.Printf("longest time without an answer: %.1f s; %d questions without one; %d leases ran out; %s on machines: %d\n", longest.Seconds(), refused, lost, urgent.ID, f.Audit.Present(urgent.ID))
	if longest >= silence {
		fmt.Println("broken")
		return 1
	}
	return 0
}
