//go:build review

// Command driver runs the case of an array whose tasks take nothing of their machines.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
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
	array := standin.Job{ID: "job-000002", Class: "reminder-batch", Team: "lifeline-desk", Shape: "sweep", Urgency: "normal", Tasks: 20_000, CPUs: 1, MemoryGB: 2, Image: "img-02", ImageGB: 0.1, Spot: true, RunS: 604_800}
	if trouble {
		array.CPUs, array.MemoryGB = 0, 0
	}
	if a := f.Submit(service, 20*time.Second); a.Status != 201 {
		return 2
	}
	time.Sleep(13 * time.Second)
	if f.Audit.Present(service.ID) != 2 {
		f.Logf("the service isn't up")
		return 2
	}
	if a := f.Submit(array, 20*time.Second); a.Status != 201 {
		f.Logf("the array isn't accepted")
		return 0 // nothing was accepted, so nothing is owed
	}
	answered, longest, refused := time.Now(), time.Duration(0), 0
	for n := 0; f.Since() < 111 && longest < silence; n++ {
		i := n % len(f.Controllers) // as a load balancer spreads a user's connections
		a := f.Ask(i, "GET", "/v1/jobs/"+service.ID, nil, 2*time.Second)
		f.Logf("user: GET /v1/jobs/%s at %s -> %v", service.ID, f.Controllers[i].Name, a)
		if a.Status == 200 {
			answered = time.Now()
		} else {
			refused++
		}
		for i, c := range f.Controllers {
			if c.Exited() {
				f.Logf("controller %s ended by itself", c.Name)
			}
			mb := memory(c.Process())
			if mb > 200 {
				f.Logf("controller %s holds %d MB; ram_mb is %.0f", c.Name, mb, f.Settings.MemoryMB)
			}
			if mb > 6000 {
				f.Logf("controller %s is ended here, to spare the machine", c.Name)
				f.Kill(i)
			}
		}
		longest = max(longest, time.Since(answered))
		time.Sleep(4 * time.Second)
	}
	f.Logf("leader is %d; longest time without an answer about %s: %.1f s; %d questions without one", f.Leader(), service.ID, longest.Seconds(), refused)
	fmt.Printf("longest time without an answer: %.1f s; %d questions without one\n", longest.Seconds(), refused)
	if longest >= silence {
		fmt.Println("broken")
		return 1
	}
	return 0
}

// memory returns the anonymous resident memory of a process in MB.
func memory(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb / 1024
		}
	}
	return 0
}
