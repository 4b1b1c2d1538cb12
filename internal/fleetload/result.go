package fleetload

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"sagevale/internal/loopbacktest"
)

// maxBrokenShown bounds the broken rules that WriteText lists.
const maxBrokenShown = 20

// Result is what an experiment has measured, all on the loopback interface.
type Result struct {
	Config         Config                               `json:"config"`
	FillS          float64                              `json:"fill_s"`
	MeasuredS      float64                              `json:"measured_s"`
	StartsPerS     float64                              `json:"starts_per_s"`
	RunningTasks   int                                  `json:"present"` // running tasks at the end
	Submitted      int                                  `json:"submitted"`
	DoneJobs       int                                  `json:"done_jobs"`
	CancelledJobs  int                                  `json:"cancelled_jobs"`
	SkippedJobs    int                                  `json:"not_offered"` // skipped jobs: too many submissions were in flight
	FailedRequests int                                  `json:"failed_requests"`
	Roles          map[string]RoleFigures               `json:"roles"`
	State          StateFigures                         `json:"state"`
	Traffic        map[loopbacktest.Kind]TrafficFigures `json:"traffic"`
	Latencies      map[string]Quantiles                 `json:"latencies"`
	FailoverS      []float64                            `json:"take_over_s"`              // from the kill to the first answer to a user
	FailoverLoadMS []float64                            `json:"take_over_load_ms"`        // of loading the state, as new leaders logged it
	LeaderHeapMB   float64                              `json:"leader_heap_mb,omitempty"` // live, as the last leader logged it at debug; 0: not logged
	Bursts         BurstFigures                         `json:"bursts"`
	WorkerBPerS    []float64                            `json:"worker_b_per_s"` // of a worker, both directions, by tenths of the measured time
	Broken         []string                             `json:"broken"`         // rules, with the evidence
}

// RoleFigures is the resource usage of the process of a role.
type RoleFigures struct {
	Cores     float64 `json:"cores"`
	MemoryMB  float64 `json:"memory_mb"`
	PeakMB    float64 `json:"peak_mb"`
	OpenFiles int     `json:"open_files"`
}

// StateFigures is the load of the key-value store.
type StateFigures struct {
	RequestsPerS float64 `json:"requests_per_s"`
	ChangesPerS  float64 `json:"changes_per_s"`
	KBPerS       float64 `json:"kb_per_s"`
	StoredKB     float64 `json:"stored_kb"`
	StoredKeys   int     `json:"stored_keys"`
}

// TrafficFigures is the traffic of one kind of message.
type TrafficFigures struct {
	PerS          float64 `json:"per_s"`
	RequestBytes  float64 `json:"request_bytes"`  // mean
	ResponseBytes float64 `json:"response_bytes"` // mean
	WorkerBPerS   float64 `json:"worker_b_per_s"` // both directions, per worker
}

// WriteJSON writes the result as JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the result as tables for people.
func (r *Result) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "measured\t%.1f s, loopback\n", r.MeasuredS)
	fmt.Fprintf(w, "workers, tasks on them\t%d, %d\n", r.Config.Workers, r.RunningTasks)
	fmt.Fprintf(w, "starts a second\t%.1f of %.1f asked for\n", r.StartsPerS, r.Config.StartsPerS)
	fmt.Fprintf(w, "jobs accepted, done, cancelled, not offered\t%d, %d, %d, %d\n", r.Submitted, r.DoneJobs, r.CancelledJobs, r.SkippedJobs)
	fmt.Fprintf(w, "requests that failed\t%d\n", r.FailedRequests)
	fmt.Fprintf(w, "bursts: refused, accepted at the first return, never\t%d (%d requests), %d, %d\n", r.Bursts.Refused, r.Bursts.Refusals, r.Bursts.AcceptedOnRetry, r.Bursts.Abandoned)
	fmt.Fprintf(w, "a worker's B/s, by tenths of the time\t%.0f\n", r.WorkerBPerS)
	fmt.Fprintf(w, "take-overs, s until answered\t%.3f\n", r.FailoverS)
	fmt.Fprintf(w, "state loaded, ms\t%.1f\n", r.FailoverLoadMS)
	fmt.Fprintf(w, "leader's live heap, MB\t%.1f\n\n", r.LeaderHeapMB)
	fmt.Fprintln(w, "ROLE\tCORES\tMB\tPEAK MB\tFILES")
	for _, role := range slices.Sorted(maps.Keys(r.Roles)) {
		f := r.Roles[role]
		fmt.Fprintf(w, "%s\t%.3f\t%.1f\t%.1f\t%d\n", role, f.Cores, f.MemoryMB, f.PeakMB, f.OpenFiles)
	}
	fmt.Fprintf(w, "\nSTATE SERVICE\t%.1f requests/s\t%.1f changes/s\t%.1f KB/s\t%.0f KB in %d keys\n\n", r.State.RequestsPerS, r.State.ChangesPerS, r.State.KBPerS, r.State.StoredKB, r.State.StoredKeys)
	fmt.Fprintln(w, "MESSAGE\tPER S\tREQUEST B\tRESPONSE B\tB/S A WORKER")
	for _, kind := range slices.Sorted(maps.Keys(r.Traffic)) {
		f := r.Traffic[kind]
		fmt.Fprintf(w, "%s\t%.1f\t%.0f\t%.0f\t%.1f\n", kind, f.PerS, f.RequestBytes, f.ResponseBytes, f.WorkerBPerS)
	}
	fmt.Fprintln(w, "\nLATENCY, MS\tN\tMEAN\t50%\t90%\t99%\tMOST")
	for _, name := range slices.Sorted(maps.Keys(r.Latencies)) {
		q := r.Latencies[name]
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", name, q.Count, q.MeanMS, q.P50MS, q.P90MS, q.P99MS, q.MaxMS)
	}
	fmt.Fprintf(w, "\nrules broken\t%d\n", len(r.Broken))
	for _, broken := range r.Broken[:min(len(r.Broken), maxBrokenShown)] {
		fmt.Fprintf(w, "  %s\n", broken)
	}
	return w.Flush()
}
