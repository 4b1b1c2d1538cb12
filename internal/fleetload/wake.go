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

// WakeConfig describes an experiment with models that repeatedly scale from zero and back. Each repetition is called a wake.
// It starts with all models scaled to zero. Clients send requests to all models and wait for the responses, and then the
// models scale to zero again.
type WakeConfig struct {
	Config
	Models   int           // number of models, each a service of one task
	Requests int           // number of requests per model and wake, spread over the controllers
	Wakes    int           // number of wakes
	Idle     time.Duration // time without requests after which a model scales to zero
	Hold     time.Duration // maximum time that a controller holds a request until the model runs; 0: it holds none
	Patience time.Duration // timeout of a request including its retries, and of each wait, such as for the scaling to zero
}

// DefaultWakeConfig returns the configuration of an experiment with one model, in which the leader is killed.
func DefaultWakeConfig() WakeConfig {
	config := DefaultConfig()
	config.Workers, config.Teams, config.StandingTasks, config.StartsPerS = 2, 1, 0, 0
	config.HeartbeatInterval, config.Lease = 400*time.Millisecond, 5*time.Second
	config.Faults = []Fault{{Kind: LeaderKilled, Start: 50 * time.Millisecond}}
	config.Duration = time.Minute
	return WakeConfig{Config: config, Models: 1, Requests: 300, Wakes: 3, Idle: 2 * time.Second, Hold: 10 * time.Second, Patience: 40 * time.Second}
}

// Check returns a FlagError for the first unusable value, and nil if the experiment can run on this machine.
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

// socketsPerRequest is the socket limit in a controller's settings, per request of a wake. With this limit, one controller
// can hold all requests of a wake.
const socketsPerRequest = 11

// WakeResult holds the measurements of an experiment with models. An answer is a response with status 200.
type WakeResult struct {
	Starts, Wakes      int       // starts that the model servers counted, and expected starts: one per model and wake
	Requests, Answers  int       // requests, not counting retries, and answers
	Refusals           int       // responses with a status other than 200
	RepeatedExecutions int       // requests that a model executed more than once because the client retried them
	FirstAnswerLatency Quantiles // from the beginning of a wake to a model's first answer, less the time to fetch the image
	AnswerLatency      Quantiles // from each request to its answer, including retries
	ChangesPerWake     float64   // committed puts and deletions in the key-value store, per wake and model
	Broken             []string  // violated rules, with the evidence
}

// wakeExperiment is one run of a WakeConfig.
type wakeExperiment struct {
	*Experiment
	config WakeConfig
	client *http.Client

	mu                 sync.Mutex // guards the fields below
	result             WakeResult
	firstAnswerLatency latencyHistogram
	answerLatency      latencyHistogram
}

// Wake runs an experiment with models. The faults are injected in the first wake, and their Start times count from its
// beginning. Progress messages are written to out.
func Wake(ctx context.Context, config WakeConfig, out io.Writer) (*WakeResult, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	options := config.fleetOptions()
	options.Sockets = max(options.Sockets, socketsPerRequest*config.Models*config.Requests)
	fleet, err := loopbacktest.NewFleet(config.Dir, options)
	if err != nil {
		return nil, fmt.Errorf("start the stand-ins: %w", err)
	}
	defer fleet.Close()
	experiment := &wakeExperiment{
		Experiment: &Experiment{config: config.Config, out: out, fleet: fleet, result: &Result{}}, config: config,
		client:             &http.Client{Timeout: config.Patience, Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}},
		firstAnswerLatency: newLatencyHistogram(), answerLatency: newLatencyHistogram(),
	}
	defer experiment.client.CloseIdleConnections()
	err = experiment.run(ctx)
	experiment.collectWakeResults()
	return &experiment.result, err
}

// run starts the controllers, submits the models and wakes them the configured number of times.
func (r *wakeExperiment) run(ctx context.Context) error {
	for _, c := range r.fleet.Controllers {
		properties := r.properties(c)
		if err := r.fleet.Start(c, loopbacktest.Program{Name: "sagevale", Binary: r.config.Binary, Properties: properties}); err != nil {
			return fmt.Errorf("start %s: %w", c.Name, err)
		}
	}
	if err := waitUntil(ctx, r.config.Patience, "the activation gate is open", func() bool { return r.activationGateOpen(ctx) }); err != nil {
		return err
	}
	for i := range r.config.Models {
		if err := r.fleet.Submit(loopbacktest.Job{ID: modelID(i), Shape: serviceShape, Tasks: 1, Urgent: true}, submitTimeout); err != nil {
			return err
		}
	}
	r.logf("%d models are accepted and scaled to zero", r.config.Models)
	for wake := range r.config.Wakes {
		if err := r.wakeModels(ctx, wake); err != nil {
			return fmt.Errorf("wake %d: %w", wake+1, err)
		}
	}
	return nil
}

// modelID returns the ID of the job of a model.
func modelID(i int) string { return "job-" + submittedID(firstSubmittedJob+i) }

// properties returns the properties of one controller, which enable scaling to zero.
func (r *wakeExperiment) properties(c *loopbacktest.Controller) string {
	text := r.config.properties() + "activation.classes = service\n"
	text += fmt.Sprintf("activation.listen = %s\nactivation.target = %s\n", c.ModelsAddr, r.fleet.Workers.TargetTemplate())
	text += fmt.Sprintf("activation.idle.window = %v\n", r.config.Idle)
	if r.config.Hold > 0 {
		text += fmt.Sprintf("activation.hold = %v\nactivation.hold.requests = %d\n", r.config.Hold, r.config.Models*r.config.Requests)
	}
	return text
}

// activationGateOpen reports whether the feature gate for scaling to zero is open.
func (r *wakeExperiment) activationGateOpen(ctx context.Context) bool {
	cluster, err := r.fleet.ClusterRecord(ctx)
	return err == nil && cluster.Gate(upgrade.Activation).Phase == upgrade.GateOpen
}

// wakeModels runs one wake. It sends requests to all models and waits until each request is answered or has failed. Then it
// waits until all models are scaled to zero.
func (r *wakeExperiment) wakeModels(ctx context.Context, wake int) error {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(wake)))
	changesBefore := r.fleet.Store.Changes.Load()
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
			controllerIndex := random.IntN(len(r.fleet.Controllers))
			clients.Go(func() {
				sleep(ctx, pause)
				r.sendUntilAnswered(ctx, modelID(model), fmt.Sprintf("%d-%d-%d", wake, model, i), controllerIndex, recordFirst)
			})
		}
	}
	clients.Wait()
	faults.Wait()
	r.update(func() {
		r.result.ChangesPerWake += float64(r.fleet.Store.Changes.Load()-changesBefore) / float64(r.config.Models*r.config.Wakes)
	})
	r.logf("wake %d: %d requests to %d models finished after %.2f s", wake+1, r.config.Requests*r.config.Models, r.config.Models, time.Since(began).Seconds())
	return waitUntil(ctx, r.config.Patience, "all models are scaled to zero", func() bool {
		for i := range r.config.Models {
			if len(r.fleet.Workers.Running(modelID(i))) > 0 {
				return false
			}
		}
		return true
	})
}

// sendUntilAnswered sends a client's request to the controllers in turn until one responds with status 200 or Patience has
// passed. After the answer it calls recordFirst, which records the latency of the model's first answer and ignores further
// calls.
func (r *wakeExperiment) sendUntilAnswered(ctx context.Context, model, id string, controllerIndex int, recordFirst func()) {
	began := time.Now()
	r.update(func() { r.result.Requests++ })
	for ctx.Err() == nil && time.Since(began) < r.config.Patience {
		pause, answered := r.sendOnce(ctx, model, id, r.fleet.Controllers[controllerIndex%len(r.fleet.Controllers)])
		if answered {
			recordFirst()
			r.update(func() {
				r.result.Answers++
				r.answerLatency.record(time.Since(began))
			})
			if n := r.fleet.Workers.Executions(model, id); n > 1 {
				r.update(func() { r.result.RepeatedExecutions++ })
			}
			return
		}
		controllerIndex++
		sleep(ctx, pause)
	}
	r.update(func() {
		r.result.Broken = append(r.result.Broken, fmt.Sprintf("request %s was not answered within %v", id, r.config.Patience))
	})
}

// update calls f with mu held.
func (r *wakeExperiment) update(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// sendOnce sends a request to one controller. answered is true if the response has status 200. Otherwise, pause is how long
// to wait before the next attempt.
func (r *wakeExperiment) sendOnce(ctx context.Context, model, id string, c *loopbacktest.Controller) (pause time.Duration, answered bool) {
	const retryPause = 100 * time.Millisecond
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.ModelsAddr+"/models/"+model+"/answer", http.NoBody)
	if err != nil {
		return retryPause, false
	}
	request.Header.Set(loopbacktest.RequestIDHeader, id)
	response, err := r.client.Do(request)
	if err != nil {
		return retryPause, false // for example, the controller was killed
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

// recordFirstAnswer records the latency of a model's first answer in a wake, less the time to fetch the image.
func (r *wakeExperiment) recordFirstAnswer(latency time.Duration) {
	fetch := r.config.fleetOptions().Timing.ImageFetch
	r.update(func() { r.firstAnswerLatency.record(latency - fetch) })
}

// collectWakeResults copies the latencies, the starts of the models and the workers' rule violations to the result. It adds
// a violation for each model that started more often than once per wake, unless the faults can cause additional starts.
func (r *wakeExperiment) collectWakeResults() {
	result := &r.result
	result.Wakes = r.config.Models * r.config.Wakes
	result.FirstAnswerLatency, result.AnswerLatency = r.firstAnswerLatency.quantiles(), r.answerLatency.quantiles()
	for i := range r.config.Models {
		starts := r.fleet.Workers.ModelCounts(modelID(i)).Starts
		result.Starts += starts
		if starts > r.config.Wakes && !r.config.losesMachines() {
			result.Broken = append(result.Broken, fmt.Sprintf("%s: %d starts in %d wakes", modelID(i), starts, r.config.Wakes))
		}
	}
	for _, violation := range r.fleet.Workers.Violations() {
		result.Broken = append(result.Broken, violation.String())
	}
}

// losesMachines reports whether a fault makes machines unresponsive or deletes them, so that models may start again.
func (c *WakeConfig) losesMachines() bool {
	for _, f := range c.Faults {
		if f.Kind == WorkersUnresponsive || f.Kind == ZoneLost {
			return true
		}
	}
	return false
}

// WriteText writes the result as human-readable text.
func (r *WakeResult) WriteText(out io.Writer) error {
	_, err := fmt.Fprintf(out, `on the loopback interface, with stand-in model servers
model starts      %d, expected %d
answers           %d to %d requests, after %d refusals
repeated          %d requests were executed again after a retry
first answer      after the wake began, less the image fetch: %s
each answer       after its request: %s
key-value store   %.1f changes per wake and model
rule violations   %d
`, r.Starts, r.Wakes, r.Answers, r.Requests, r.Refusals, r.RepeatedExecutions, r.FirstAnswerLatency.summary(), r.AnswerLatency.summary(), r.ChangesPerWake, len(r.Broken))
	for _, violation := range r.Broken {
		fmt.Fprintln(out, " ", violation)
	}
	return err
}
