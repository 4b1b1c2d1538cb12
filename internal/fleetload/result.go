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

// maxViolationsShown limits the number of rule violations that WriteText lists.
const maxViolationsShown = 20

// Result holds the measurements of an experiment. All its traffic goes over the loopback interface.
type Result struct {
	Config         Config                                      `json:"config"`
	FillS          float64                                     `json:"fill_s"` // from the first submission until all standing tasks ran
	MeasuredS      float64                                     `json:"measured_s"`
	StartsPerS     float64                                     `json:"starts_per_s"` // started tasks per second
	RunningTasks   int                                         `json:"present"`      // running tasks at the end
	AcceptedJobs   int                                         `json:"submitted"`    // accepted short jobs
	DoneJobs       int                                         `json:"done_jobs"`
	CancelledJobs  int                                         `json:"cancelled_jobs"`
	SkippedJobs    int                                         `json:"not_offered"` // short jobs that were not submitted because of the limit maxInFlight
	FailedRequests int                                         `json:"failed_requests"`
	Roles          map[string]RoleFigures                      `json:"roles"`
	Store          StoreFigures                                `json:"state"`
	Traffic        map[loopbacktest.MessageKind]TrafficFigures `json:"traffic"`
	Latencies      map[string]Quantiles                        `json:"latencies"`                // keyed by the kind of latency
	FailoverS      []float64                                   `json:"take_over_s"`              // from each kill of controllers to the first response to a user
	FailoverLoadMS []float64                                   `json:"take_over_load_ms"`        // time to load the state, as new leaders logged it
	LeaderHeapMB   float64                                     `json:"leader_heap_mb,omitempty"` // live heap that the leader logged last at level debug; 0: none found
	Bursts         BurstFigures                                `json:"bursts"`
	WorkerBPerS    []float64                                   `json:"worker_b_per_s"` // mean per worker, both directions; one value for each tenth of the measured time
	Violations     []string                                    `json:"broken"`         // violated rules, with the evidence
}

// RoleFigures is the resource usage of one process, such as the leader's.
type RoleFigures struct {
	Cores     float64 `json:"cores"`     // mean number of processors in use
	MemoryMB  float64 `json:"memory_mb"` // resident memory at the end
	PeakMB    float64 `json:"peak_mb"`   // maximum resident memory since the process started
	OpenFiles int     `json:"open_files"`
}

// StoreFigures is the load and the size of the key-value store.
type StoreFigures struct {
	RequestsPerS float64 `json:"requests_per_s"`
	ChangesPerS  float64 `json:"changes_per_s"` // committed puts and deletions
	KBPerS       float64 `json:"kb_per_s"`      // size of the request bodies
	StoredKB     float64 `json:"stored_kb"`
	StoredKeys   int     `json:"stored_keys"`
}

// TrafficFigures is the traffic of one kind of message.
type TrafficFigures struct {
	PerS          float64 `json:"per_s"`          // messages per second
	RequestBytes  float64 `json:"request_bytes"`  // mean per message
	ResponseBytes float64 `json:"response_bytes"` // mean per message
	WorkerBPerS   float64 `json:"worker_b_per_s"` // bytes per second and worker, both directions
}

// WriteJSON writes the result as JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the result as human-readable tables.
func (r *Result) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "measured time\t%.1f s, on the loopback interface\n", r.MeasuredS)
	fmt.Fprintf(w, "workers, running tasks\t%d, %d\n", r.Config.Workers, r.RunningTasks)
	fmt.Fprintf(w, "task starts per second\t%.1f of %.1f configured\n", r.StartsPerS, r.Config.StartsPerS)
	fmt.Fprintf(w, "jobs accepted, done, cancelled, skipped\t%d, %d, %d, %d\n", r.AcceptedJobs, r.DoneJobs, r.CancelledJobs, r.SkippedJobs)
	fmt.Fprintf(w, "failed requests\t%d\n", r.FailedRequests)
	fmt.Fprintf(w, "burst submissions refused, accepted on the first retry, abandoned\t%d (%d requests), %d, %d\n", r.Bursts.Refused, r.Bursts.Refusals, r.Bursts.AcceptedOnRetry, r.Bursts.Abandoned)
	fmt.Fprintf(w, "B/s per worker, in each tenth of the time\t%.0f\n", r.WorkerBPerS)
	fmt.Fprintf(w, "failovers, s until a user's request was answered\t%.3f\n", r.FailoverS)
	fmt.Fprintf(w, "failovers, ms to load the state\t%.1f\n", r.FailoverLoadMS)
	fmt.Fprintf(w, "leader's live heap, MB\t%.1f\n\n", r.LeaderHeapMB)
	fmt.Fprintln(w, "ROLE\tCORES\tMB\tPEAK MB\tFILES")
	for _, role := range slices.Sorted(maps.Keys(r.Roles)) {
		f := r.Roles[role]
		fmt.Fprintf(w, "%s\t%.3f\t%.1f\t%.1f\t%d\n", role, f.Cores, f.MemoryMB, f.PeakMB, f.OpenFiles)
	}
	fmt.Fprintf(w, "\nKEY-VALUE STORE\t%.1f requests/s\t%.1f changes/s\t%.1f KB/s\t%.0f KB in %d keys\n\n", r.Store.RequestsPerS, r.Store.ChangesPerS, r.Store.KBPerS, r.Store.StoredKB, r.Store.StoredKeys)
	fmt.Fprintln(w, "MESSAGE\tPER S\tREQUEST B\tRESPONSE B\tB/S PER WORKER")
	for _, kind := range slices.Sorted(maps.Keys(r.Traffic)) {
		f := r.Traffic[kind]
		fmt.Fprintf(w, "%s\t%.1f\t%.0f\t%.0f\t%.1f\n", kind, f.PerS, f.RequestBytes, f.ResponseBytes, f.WorkerBPerS)
	}
	fmt.Fprintln(w, "\nLATENCY, MS\tN\tMEAN\t50%\t90%\t99%\tMAX")
	for _, name := range slices.Sorted(maps.Keys(r.Latencies)) {
		q := r.Latencies[name]
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", name, q.Count, q.MeanMS, q.P50MS, q.P90MS, q.P99MS, q.MaxMS)
	}
	fmt.Fprintf(w, "\nrule violations\t%d\n", len(r.Violations))
	for _, violation := range r.Violations[:min(len(r.Violations), maxViolationsShown)] {
		fmt.Fprintf(w, "  %s\n", violation)
	}
	return w.Flush()
}
