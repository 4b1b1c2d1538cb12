package fleetload

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sagevale/internal/loopbacktest"
)

// Result is what an experiment has measured, all of it on the loopback.
type Result struct {
	Config         Config                               `json:"config"`
	FillS          float64                              `json:"fill_s"`
	MeasuredS      float64                              `json:"measured_s"`
	StartsPerS     float64                              `json:"starts_per_s"`
	Present        int                                  `json:"present"` // tasks on their machines at the end
	Submitted      int                                  `json:"submitted"`
	DoneJobs       int                                  `json:"done_jobs"`
	CancelledJobs  int                                  `json:"cancelled_jobs"`
	NotOffered     int                                  `json:"not_offered"` // too many requests were under way
	FailedRequests int                                  `json:"failed_requests"`
	Roles          map[string]RoleFigures               `json:"roles"`
	State          StateFigures                         `json:"state"`
	Traffic        map[loopbacktest.Kind]TrafficFigures `json:"traffic"`
	Latencies      map[string]Quantiles                 `json:"latencies"`
	TakeOverS      []float64                            `json:"take_over_s"`              // from the kill to the first answer
	TakeOverLoads  []float64                            `json:"take_over_load_ms"`        // what leaders logged of loading the state
	LeaderHeapMB   float64                              `json:"leader_heap_mb,omitempty"` // live, as the last leader logged it at debug; 0: it didn't
	Bursts         BurstFigures                         `json:"bursts"`
	WorkerBPerS    []float64                            `json:"worker_b_per_s"` // both directions, over tenths of the measured time
	Broken         []string                             `json:"broken"`         // rules
}

// BurstFigures is what the users of bursts have seen.
type BurstFigures struct {
	Refusals  int `json:"refusals"`  // requests that were refused
	Refused   int `json:"refused"`   // submissions that were refused at least once
	AtReturn  int `json:"at_return"` // of those, accepted when they returned for the first time
	Abandoned int `json:"abandoned"` // never accepted
}

// RoleFigures is what the process of a role spends.
type RoleFigures struct {
	Cores     float64 `json:"cores"`
	MemoryMB  float64 `json:"memory_mb"`
	PeakMB    float64 `json:"peak_mb"`
	OpenFiles int     `json:"open_files"`
}

// StateFigures is what the state service sees.
type StateFigures struct {
	RequestsPerS float64 `json:"requests_per_s"`
	ChangesPerS  float64 `json:"changes_per_s"`
	KBPerS       float64 `json:"kb_per_s"`
	StoredKB     float64 `json:"stored_kb"`
	StoredKeys   int     `json:"stored_keys"`
}

// TrafficFigures is one kind of message.
type TrafficFigures struct {
	PerS          float64 `json:"per_s"`
	RequestBytes  float64 `json:"request_bytes"`  // of one
	ResponseBytes float64 `json:"response_bytes"` // of one
	WorkerBPerS   float64 `json:"worker_b_per_s"` // both directions, for each worker
}

// Quantiles are a latency's, in milliseconds.
type Quantiles struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P99MS  float64 `json:"p99_ms"`
	MostMS float64 `json:"most_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), MeanMS: h.Mean() / 1000, P50MS: ms(h.ValueAtQuantile(50)), P90MS: ms(h.ValueAtQuantile(90)),
		P99MS: ms(h.ValueAtQuantile(99)), MostMS: ms(h.Max()),
	}
}

// The roles whose processes are measured. The stand-ins, users and hollow workers share one.
const (
	leaderRole   = "leader"
	followerRole = "follower"
	standInRole  = "stand-ins and workers"
)

// roles works out what each role's process has spent since before; processes that
// were started meanwhile are left out.
func (e *Experiment) roles(before []*loopbacktest.ProcessUsage, took float64) map[string]RoleFigures {
	leader := e.fleet.Leader()
	figures := make(map[string]RoleFigures)
	for i, after := range e.usage() {
		if after == nil || before[i] == nil || after.CPU < before[i].CPU {
			continue
		}
		role := standInRole
		if i < len(e.fleet.Controllers) {
			role = followerRole
			if e.fleet.Controllers[i] == leader {
				role = leaderRole
			}
		}
		now := RoleFigures{
			Cores: (after.CPU - before[i].CPU).Seconds() / took, MemoryMB: float64(after.MemoryKB) / 1024, PeakMB: float64(after.PeakKB) / 1024, OpenFiles: after.OpenFiles,
		}
		if figures[role].Cores <= now.Cores { // of the followers the busiest
			figures[role] = now
		}
	}
	return figures
}

func trafficFigures(flows map[loopbacktest.Kind]loopbacktest.Flow, took float64, workers int) map[loopbacktest.Kind]TrafficFigures {
	out := make(map[loopbacktest.Kind]TrafficFigures)
	for kind, f := range flows {
		n := float64(max(f.Messages, 1))
		out[kind] = TrafficFigures{
			PerS: float64(f.Messages) / took, RequestBytes: float64(f.RequestBytes) / n, ResponseBytes: float64(f.ResponseBytes) / n,
			WorkerBPerS: float64(f.RequestBytes+f.ResponseBytes) / took / float64(workers),
		}
	}
	return out
}

// tookOver finds what leaders log of a take-over.
var tookOver = regexp.MustCompile(`msg=take-over .* took=(\S+)`)

// liveHeap finds what a leader logs of its heap.
var liveHeap = regexp.MustCompile(`msg=usage .*heap_live_mb=(\S+) .*role=leader`)

// leaderHeapMB is the live heap that the present leader logged last; 0: it logged none.
func leaderHeapMB(f *loopbacktest.Fleet) (mb float64) {
	leader := f.Leader()
	if leader == nil {
		return 0
	}
	for _, match := range liveHeap.FindAllStringSubmatch(f.Log(leader), -1) {
		if live, err := strconv.ParseFloat(match[1], 64); err == nil {
			mb = live
		}
	}
	return mb
}

// takeOverLoads are the times that leaders logged of loading the state, in milliseconds.
func takeOverLoads(f *loopbacktest.Fleet) (loads []float64) {
	for _, c := range f.Controllers {
		for _, match := range tookOver.FindAllStringSubmatch(f.Log(c), -1) {
			if took, err := time.ParseDuration(match[1]); err == nil {
				loads = append(loads, float64(took.Microseconds())/1000)
			}
		}
	}
	return loads
}

// WriteJSON writes the result for other programs.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the result for people.
func (r *Result) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "measured\t%.1f s, loopback\n", r.MeasuredS)
	fmt.Fprintf(w, "workers, tasks on them\t%d, %d\n", r.Config.Workers, r.Present)
	fmt.Fprintf(w, "starts a second\t%.1f of %.1f asked for\n", r.StartsPerS, r.Config.StartsPerS)
	fmt.Fprintf(w, "jobs accepted, done, cancelled, not offered\t%d, %d, %d, %d\n", r.Submitted, r.DoneJobs, r.CancelledJobs, r.NotOffered)
	fmt.Fprintf(w, "requests that failed\t%d\n", r.FailedRequests)
	fmt.Fprintf(w, "bursts: refused, accepted at the first return, never\t%d (%d requests), %d, %d\n", r.Bursts.Refused, r.Bursts.Refusals, r.Bursts.AtReturn, r.Bursts.Abandoned)
	fmt.Fprintf(w, "a worker's B/s, by tenths of the time\t%.0f\n", r.WorkerBPerS)
	fmt.Fprintf(w, "take-overs, s until answered\t%.3f\n", r.TakeOverS)
	fmt.Fprintf(w, "state loaded, ms\t%.1f\n", r.TakeOverLoads)
	fmt.Fprintf(w, "leader's live heap, MB\t%.1f\n\n", r.LeaderHeapMB)
	fmt.Fprintln(w, "ROLE\tCORES\tMB\tPEAK MB\tFILES")
	for _, role := range sorted(r.Roles) {
		f := r.Roles[role]
		fmt.Fprintf(w, "%s\t%.3f\t%.1f\t%.1f\t%d\n", role, f.Cores, f.MemoryMB, f.PeakMB, f.OpenFiles)
	}
	fmt.Fprintf(w, "\nSTATE SERVICE\t%.1f requests/s\t%.1f changes/s\t%.1f KB/s\t%.0f KB in %d keys\n\n", r.State.RequestsPerS, r.State.ChangesPerS, r.State.KBPerS, r.State.StoredKB, r.State.StoredKeys)
	fmt.Fprintln(w, "MESSAGE\tPER S\tREQUEST B\tRESPONSE B\tB/S A WORKER")
	for _, kind := range sorted(r.Traffic) {
		f := r.Traffic[kind]
		fmt.Fprintf(w, "%s\t%.1f\t%.0f\t%.0f\t%.1f\n", kind, f.PerS, f.RequestBytes, f.ResponseBytes, f.WorkerBPerS)
	}
	fmt.Fprintln(w, "\nLATENCY, MS\tN\tMEAN\t50%\t90%\t99%\tMOST")
	for _, name := range sorted(r.Latencies) {
		q := r.Latencies[name]
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", name, q.Count, q.MeanMS, q.P50MS, q.P90MS, q.P99MS, q.MostMS)
	}
	fmt.Fprintf(w, "\nrules broken\t%d\n", len(r.Broken))
	for _, b := range r.Broken[:min(len(r.Broken), 20)] {
		fmt.Fprintf(w, "  %s\n", b)
	}
	return w.Flush()
}

func sorted[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(a, b int) bool { return strings.Compare(string(keys[a]), string(keys[b])) < 0 })
	return slices.Compact(keys)
}
