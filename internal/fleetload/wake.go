package fleetload

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sagevale/internal/loopbacktest"
	"sagevale/internal/upgrade"
)

// WakeConfig describes an experiment with models that repeatedly scale from zero and back.
type WakeConfig struct {
	Config
	Models   int // number of services, of one task each
	Requests int // per model and wake, spread over the controllers
	Wakes    int
	Idle     time.Duration // without requests, until a model scales to zero
	Hold     time.Duration // limit of the time that a controller holds a request; 0: it holds none
	Patience time.Duration // limit of the time of a request, and of scaling to zero
}

// DefaultWakeConfig returns an experiment with one model and bursts of requests, in which the leader is killed.
func DefaultWakeConfig() WakeConfig {
	config := DefaultConfig()
	config.Workers, config.Teams, config.StandingTasks, config.StartsPerS = 2, 1, 0, 0
	config.HeartbeatInterval, config.Lease = 400*time.Millisecond, 5*time.Second
	config.Faults = []Fault{{Kind: LeaderKilled, Start: 50 * time.Millisecond}}
	config.Duration = time.Minute
	return WakeConfig{Config: config, Models: 1, Requests: 300, Wakes: 3, Idle: 2 * time.Second, Hold: 10 * time.Second, Patience: 40 * time.Second}
}

// Check returns a FlagError for the first unusable value. It starts nothing.
func (c *WakeConfig) Check() error {
	if err := checkFlags([]flagRule{
		{c.Models < 1, "models", "must be above 0"},
		{c.Requests < 1, "requests", "must be above 0"},
		{c.Wakes < 1, "wakes", "must be above 0"},
		{c.Idle < c.HeartbeatInterval, "idle", "must not be shorter than --report"},
		{c.Hold < 0, "hold", "must not be negative"},
		{c.Patience <= c.Idle, "patience", "must be longer than --idle"},
	}); err != nil {
		return err
	}
	return c.Config.Check()
}

// socketsPerRequest is the number of sockets per request with which one controller can hold all requests of a wake.
const socketsPerRequest = 11

// WakeResult is what an experiment with models has measured.
type WakeResult struct {
	Starts, Wakes      int       // starts by the models' own count, and wanted ones
	Requests, Answers  int       // requests, and final answers to them
	Refusals           int       // answers that asked the client to retry
	RepeatedExecutions int       // requests that a model has executed more than once, after their clients' retries
	FirstAnswerLatency Quantiles // from a wake's first request to its first answer, less the time to fetch the image
	AnswerLatency      Quantiles // from each request to its final answer
	ChangesPerWake     float64   // of the key-value store, per model
	Broken             []string
}

// wakeExperiment is a running experiment with models.
type wakeExperiment struct {
	*Experiment
	config WakeConfig
	client *http.Client

	mu          sync.Mutex
	result      WakeResult
	firstAnswer latencyHistogram
	eachAnswer  latencyHistogram
}

// Wake runs an experiment with models. The faults are injected in the first wake, at times after its first request.
// Progress is written to out.
func Wake(ctx context.Context, config WakeConfig, out io.Writer) (*WakeResult, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	options := config.fleetOptions()
	options.Sockets = max(options.Sockets, socketsPerRequest*config.Models*config.Requests)
	fleet, err := loopbacktest.NewFleet(config.Dir, options)
	if err != nil {
		return nil, fmt.Errorf("stand-ins: %w", err)
	}
	defer fleet.Close()
	run := &wakeExperiment{
		Experiment: &Experiment{config: config.Config, out: out, fleet: fleet, result: &Result{}}, config: config,
		client:      &http.Client{Timeout: config.Patience, Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}},
		firstAnswer: newLatencyHistogram(), eachAnswer: newLatencyHistogram(),
	}
	defer run.client.CloseIdleConnections()
	err = run.run(ctx)
	run.collectWakeResults()
	return &run.result, err
}

// run starts the controllers, submits the models and wakes them as often as configured.
func (r *wakeExperiment) run(ctx context.Context) error {
	for _, c := range r.fleet.Controllers {
		properties := r.properties(c)
		if err := r.fleet.Start(c, loopbacktest.Program{Name: "sagevale", Binary: r.config.Binary, Properties: properties}); err != nil {
			return fmt.Errorf("start %s: %w", c.Name, err)
		}
	}
	if err := await(ctx, r.config.Patience, "the gate is open", func() bool { return r.gateOpen(ctx) }); err != nil {
		return err
	}
	for i := range r.config.Models {
		if err := r.fleet.Submit(loopbacktest.Job{ID: modelID(i), Shape: serviceShape, Tasks: 1, Urgent: true}, submitTimeout); err != nil {
			return err
		}
	}
	r.logf("%d models are accepted and at zero", r.config.Models)
	for wake := range r.config.Wakes {
		if err := r.wake(ctx, wake); err != nil {
			return fmt.Errorf("wake %d: %w", wake+1, err)
		}
	}
	return nil
}

func modelID(i int) string { return "job-" + submittedID(firstJob+i) }

// properties returns the properties of one controller.
func (r *wakeExperiment) properties(c *loopbacktest.Controller) string {
	text := r.config.properties() + "activation.classes = service\n"
	text += fmt.Sprintf("activation.listen = %s\nactivation.target = %s\n", c.ModelsAddr, r.fleet.Workers.TargetTemplate())
	text += fmt.Sprintf("activation.idle.window = %v\n", r.config.Idle)
	if r.config.Hold > 0 {
		text += fmt.Sprintf("activation.hold = %v\nactivation.hold.requests = %d\n", r.config.Hold, r.config.Models*r.config.Requests)
	}
	return text
}

// gateOpen reports whether the cluster permits that models scale to zero.
func (r *wakeExperiment) gateOpen(ctx context.Context) bool {
	cluster, err := r.fleet.Cluster(ctx)
	return err == nil && cluster.Gate(upgrade.Activation).Phase == upgrade.GateOpen
}

// wake sends requests to all models, and waits until they are answered and the models are at zero again.
func (r *wakeExperiment) wake(ctx context.Context, wake int) error {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(wake)))
	changes := r.fleet.Store.Changes.Load()
	began := time.Now()
	var faults, clients sync.WaitGroup
	if wake == 0 {
		faults.Go(func() { r.injectFaults(ctx, began) })
	}
	for model := range r.config.Models {
		recordFirst := sync.OnceFunc(func() { r.recordFirstAnswer(time.Since(began)) })
		for i := range r.config.Requests {
			pause := time.Duration(random.Int64N(int64(r.config.HeartbeatInterval)))
			if i == 0 {
				pause = 0
			}
			controller := random.IntN(len(r.fleet.Controllers))
			clients.Go(func() {
				sleep(ctx, pause)
				r.request(ctx, modelID(model), fmt.Sprintf("%d-%d-%d", wake, model, i), controller, recordFirst)
			})
		}
	}
	clients.Wait()
	faults.Wait()
	r.update(func() {
		r.result.ChangesPerWake += float64(r.fleet.Store.Changes.Load()-changes) / float64(r.config.Models*r.config.Wakes)
	})
	r.logf("wake %d: %d requests of %d models are answered after %.2f s", wake+1, r.config.Requests*r.config.Models, r.config.Models, time.Since(began).Seconds())
	return await(ctx, r.config.Patience, "all models are at zero", func() bool {
		for i := range r.config.Models {
			if len(r.fleet.Workers.Running(modelID(i))) > 0 {
				return false
			}
		}
		return true
	})
}

// request sends a client's request to the controllers in turn until it is answered.
func (r *wakeExperiment) request(ctx context.Context, model, id string, controller int, recordFirst func()) {
	began := time.Now()
	r.update(func() { r.result.Requests++ })
	for ctx.Err() == nil && time.Since(began) < r.config.Patience {
		pause, answered := r.sendOnce(ctx, model, id, r.fleet.Controllers[controller%len(r.fleet.Controllers)])
		if answered {
			recordFirst()
			r.update(func() {
				r.result.Answers++
				r.eachAnswer.record(time.Since(began))
			})
			if n := r.fleet.Workers.Executions(model, id); n > 1 {
				r.update(func() { r.result.RepeatedExecutions++ })
			}
			return
		}
		controller++
		sleep(ctx, pause)
	}
	r.update(func() {
		r.result.Broken = append(r.result.Broken, fmt.Sprintf("request %s has no answer in %v", id, r.config.Patience))
	})
}

// update calls f with the lock held.
func (r *wakeExperiment) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// sendOnce sends a request once. If there is no final answer it returns the pause before the next attempt.
func (r *wakeExperiment) sendOnce(ctx context.Context, model, id string, c *loopbacktest.Controller) (pause time.Duration, answered bool) {
	const retryPause = 100 * time.Millisecond
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.ModelsAddr+"/models/"+model+"/answer", http.NoBody)
	if err != nil {
		return retryPause, false
	}
	request.Header.Set(loopbacktest.RequestID, id)
	response, err := r.client.Do(request)
	if err != nil {
		return retryPause, false // the controller was killed
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return retryPause, false
	}
	if response.StatusCode == http.StatusOK {
		return 0, true
	}
	r.update(func() { r.result.Refusals++ })
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return retryPause, false
	}
	return time.Duration(seconds) * time.Second, false
}

// recordFirstAnswer records the latency of a wake's first answer.
func (r *wakeExperiment) recordFirstAnswer(latency time.Duration) {
	fetch := r.config.fleetOptions().Timing.Fetch
	r.update(func() { r.firstAnswer.record(latency - fetch) })
}

// collectWakeResults adds to the result what the models and workers have recorded.
func (r *wakeExperiment) collectWakeResults() {
	result := &r.result
	result.Wakes = r.config.Models * r.config.Wakes
	result.FirstAnswerLatency, result.AnswerLatency = r.firstAnswer.quantiles(), r.eachAnswer.quantiles()
	for i := range r.config.Models {
		starts := r.fleet.Workers.Model(modelID(i)).Starts
		result.Starts += starts
		if starts > r.config.Wakes && !r.config.losesMachines() {
			result.Broken = append(result.Broken, fmt.Sprintf("%s: %d starts in %d wakes", modelID(i), starts, r.config.Wakes))
		}
	}
	for _, fault := range r.fleet.Workers.Violations() {
		result.Broken = append(result.Broken, fault.String())
	}
}

// losesMachines reports whether the faults remove machines, so that models have to start again.
func (c *WakeConfig) losesMachines() bool {
	for _, f := range c.Faults {
		if f.Kind == WorkersUnresponsive || f.Kind == ZoneLost {
			return true
		}
	}
	return false
}

// WriteText writes the result as text for people.
func (r *WakeResult) WriteText(out io.Writer) error {
	_, err := fmt.Fprintf(out, `loopback, stand-in model servers
starts            %d in %d wakes
final answers     %d to %d requests, %d refusals on the way
carried out again %d requests, repeated by their clients
first answer      after the first demand, less the fetch: %s
each answer       after its request: %s
state service     %.1f changes a wake and model
broken            %d
`, r.Starts, r.Wakes, r.Answers, r.Requests, r.Refusals, r.RepeatedExecutions, r.FirstAnswerLatency.summary(), r.AnswerLatency.summary(), r.ChangesPerWake, len(r.Broken))
	for _, broken := range r.Broken {
		fmt.Fprintln(out, " ", broken)
	}
	return err
}
