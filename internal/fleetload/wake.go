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

	"github.com/HdrHistogram/hdrhistogram-go"

	"sagevale/internal/loopbacktest"
)

// WakeConfig is one experiment with models that wake from zero and go back, again and again.
type WakeConfig struct {
	Config
	Models   int // services of one task
	Requests int // to each model in each wake, spread over the controllers
	Wakes    int
	Idle     time.Duration // a model goes back to zero after so long without requests
	Hold     time.Duration // the longest that a controller holds a request; 0: none is held
	Patience time.Duration // the longest that a wake, and going back, may take
}

// DefaultWakeConfig shows a newcomer one model, a burst of requests, and the leader's end.
func DefaultWakeConfig() WakeConfig {
	config := DefaultConfig()
	config.Workers, config.Teams, config.Running, config.StartsPerS = 2, 1, 0, 0
	config.Report, config.Lease = 400*time.Millisecond, 5*time.Second
	config.Faults = []Fault{{Kind: LeaderEnds, At: 50 * time.Millisecond}}
	config.Duration = time.Minute
	return WakeConfig{Config: config, Models: 1, Requests: 300, Wakes: 3, Idle: 2 * time.Second, Hold: 10 * time.Second, Patience: 40 * time.Second}
}

// Check tells the first flag that is wrong, before anything is started.
func (c *WakeConfig) Check() error {
	for _, rule := range []struct {
		bad          bool
		flag, reason string
	}{
		{c.Models < 1, "models", "must be above 0"},
		{c.Requests < 1, "requests", "must be above 0"},
		{c.Wakes < 1, "wakes", "must be above 0"},
		{c.Idle < c.Report, "idle", "must not be shorter than --report"},
		{c.Hold < 0, "hold", "must not be negative"},
		{c.Patience <= c.Idle, "patience", "must be longer than --idle"},
	} {
		if rule.bad {
			return &FlagError{rule.flag, rule.reason}
		}
	}
	return c.Config.Check()
}

// socketsPerRequest allows all requests of a wake to be held at one controller.
const socketsPerRequest = 11

// WakeResult is what an experiment has shown.
type WakeResult struct {
	Starts, Wakes     int       // by the models' own count, and as many as there were to be
	Requests, Answers int       // sent, and final answers to them
	Refusals          int       // answers that told a client to come again
	TwiceCarriedOut   int       // requests that a model has seen again, repeated by their clients
	FirstAnswer       Quantiles // from a wake's first demand to its first answer, less the fetch
	EachAnswer        Quantiles // from each request to its final answer
	ChangesPerWake    float64   // of the state service, for each model
	Broken            []string
}

// wakeRun is an experiment under way.
type wakeRun struct {
	*Experiment
	config WakeConfig
	client *http.Client

	mu     sync.Mutex
	result WakeResult
	first  *hdrhistogram.Histogram
	each   *hdrhistogram.Histogram
}

// Wake carries an experiment out. The faults come in the first wake, as of its first demand.
func Wake(ctx context.Context, config WakeConfig, out io.Writer) (*WakeResult, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	options := config.options()
	options.Sockets = max(options.Sockets, socketsPerRequest*config.Models*config.Requests)
	fleet, err := loopbacktest.NewFleetOf(config.Dir, options)
	if err != nil {
		return nil, fmt.Errorf("stand-ins: %w", err)
	}
	defer fleet.Close()
	run := &wakeRun{
		Experiment: &Experiment{config: config.Config, out: out, fleet: fleet, result: &Result{}}, config: config,
		client: &http.Client{Timeout: config.Patience, Transport: &http.Transport{MaxIdleConnsPerHost: mostUsers}},
		first:  hdrhistogram.New(1, mostLatency, 3), each: hdrhistogram.New(1, mostLatency, 3),
	}
	defer run.client.CloseIdleConnections()
	err = run.all(ctx)
	run.collectWakes()
	return &run.result, err
}

func (r *wakeRun) all(ctx context.Context) error {
	for _, c := range r.fleet.Controllers {
		properties := r.properties(c)
		if err := r.fleet.Start(c, loopbacktest.Program{Name: "sagevale", Binary: r.config.Binary, Properties: properties}); err != nil {
			return fmt.Errorf("start %s: %w", c.Name, err)
		}
	}
	if err := r.await(ctx, "the gate is open", r.gateOpen); err != nil {
		return err
	}
	for i := range r.config.Models {
		if err := r.fleet.Submit(loopbacktest.Job{ID: modelID(i), Shape: "service", Tasks: 1, Urgent: true}, submitWithin); err != nil {
			return err
		}
	}
	r.say("%d models are accepted and at zero", r.config.Models)
	for wake := range r.config.Wakes {
		if err := r.wake(ctx, wake); err != nil {
			return fmt.Errorf("wake %d: %w", wake+1, err)
		}
	}
	return nil
}

func modelID(i int) string { return "job-" + submittedID(firstJob+i) }

func (r *wakeRun) properties(c *loopbacktest.Controller) string {
	text := r.config.Config.properties() + "activation.classes = service\n"
	text += fmt.Sprintf("activation.listen = %s\nactivation.target = %s\n", c.Models, r.fleet.Workers.TargetTemplate())
	text += fmt.Sprintf("activation.idle.window = %v\n", r.config.Idle)
	if r.config.Hold > 0 {
		text += fmt.Sprintf("activation.hold = %v\nactivation.hold.requests = %d\n", r.config.Hold, r.config.Models*r.config.Requests)
	}
	return text
}

func (r *wakeRun) gateOpen() bool {
	cluster, err := r.fleet.Cluster()
	return err == nil && cluster.Gate("activation").Phase == "open"
}

// await waits until something is so.
func (r *wakeRun) await(ctx context.Context, what string, ok func() bool) error {
	for end := time.Now().Add(r.config.Patience); time.Now().Before(end); {
		if ok() {
			return nil
		}
		if !sleep(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("not seen within %v: %s", r.config.Patience, what)
}

// wake has all clients ask for all models at once, and waits until the models are at zero again.
func (r *wakeRun) wake(ctx context.Context, wake int) error {
	random := rand.New(rand.NewPCG(r.config.Seed, uint64(wake)))
	changes := r.fleet.State.Changes.Load()
	began := time.Now()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		if wake == 0 {
			r.bringAbout(ctx, began)
		}
	}()
	var clients sync.WaitGroup
	for model := range r.config.Models {
		firstOver := sync.OnceFunc(func() { r.noteFirst(time.Since(began)) })
		for i := range r.config.Requests {
			pause := time.Duration(random.Int64N(int64(r.config.Report)))
			if i == 0 {
				pause = 0
			}
			controller := random.IntN(len(r.fleet.Controllers))
			clients.Go(func() {
				sleep(ctx, pause)
				r.request(ctx, modelID(model), fmt.Sprintf("%d-%d-%d", wake, model, i), controller, firstOver)
			})
		}
	}
	clients.Wait()
	<-faults
	r.note(func() {
		r.result.ChangesPerWake += float64(r.fleet.State.Changes.Load()-changes) / float64(r.config.Models*r.config.Wakes)
	})
	r.say("wake %d: %d requests of %d models are answered after %.2f s", wake+1, r.config.Requests*r.config.Models, r.config.Models, time.Since(began).Seconds())
	return r.await(ctx, "all models are at zero", func() bool {
		for i := range r.config.Models {
			if len(r.fleet.Workers.Running(modelID(i))) > 0 {
				return false
			}
		}
		return true
	})
}

// request is a client's request, repeated at the controllers in turn until it has its answer.
func (r *wakeRun) request(ctx context.Context, model, id string, controller int, firstOver func()) {
	began := time.Now()
	r.note(func() { r.result.Requests++ })
	for ctx.Err() == nil && time.Since(began) < r.config.Patience {
		pause, answered := r.attempt(ctx, model, id, r.fleet.Controllers[controller%len(r.fleet.Controllers)])
		if answered {
			firstOver()
			r.note(func() {
				r.result.Answers++
				_ = r.each.RecordValue(time.Since(began).Microseconds())
			})
			if n := r.fleet.Workers.Executions(model, id); n > 1 {
				r.note(func() { r.result.TwiceCarriedOut++ })
			}
			return
		}
		controller++
		sleep(ctx, pause)
	}
	r.note(func() {
		r.result.Broken = append(r.result.Broken, fmt.Sprintf("request %s has no answer in %v", id, r.config.Patience))
	})
}

func (r *wakeRun) note(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// attempt sends a request once. If there is no final answer it returns when to come again.
func (r *wakeRun) attempt(ctx context.Context, model, id string, c *loopbacktest.Controller) (pause time.Duration, answered bool) {
	const lost = 100 * time.Millisecond
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Models+"/models/"+model+"/answer", http.NoBody)
	if err != nil {
		return lost, false
	}
	request.Header.Set(loopbacktest.RequestID, id)
	response, err := r.client.Do(request)
	if err != nil {
		return lost, false // its controller has ended
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return lost, false
	}
	if response.StatusCode == http.StatusOK {
		return 0, true
	}
	r.note(func() { r.result.Refusals++ })
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return lost, false
	}
	return time.Duration(seconds) * time.Second, false
}

// noteFirst takes in how long a wake's first answer took.
func (r *wakeRun) noteFirst(took time.Duration) {
	fetch := r.config.options().Timing.Fetch
	r.note(func() { _ = r.first.RecordValue(max(1, (took - fetch).Microseconds())) })
}

// collectWakes counts starts by the models' own account.
func (r *wakeRun) collectWakes() {
	result := &r.result
	result.Wakes = r.config.Models * r.config.Wakes
	result.FirstAnswer, result.EachAnswer = quantiles(r.first), quantiles(r.each)
	for i := range r.config.Models {
		starts := r.fleet.Workers.Model(modelID(i)).Starts
		result.Starts += starts
		if starts > r.config.Wakes && !r.config.losesMachines() {
			result.Broken = append(result.Broken, fmt.Sprintf("%s: %d starts in %d wakes", modelID(i), starts, r.config.Wakes))
		}
	}
	for _, fault := range r.fleet.Workers.Faults() {
		result.Broken = append(result.Broken, fault.String())
	}
}

// losesMachines tells whether the faults take machines, on which models have to start anew.
func (c *WakeConfig) losesMachines() bool {
	for _, f := range c.Faults {
		if f.Kind == Silent || f.Kind == ZoneLost {
			return true
		}
	}
	return false
}

// text writes a distribution in one line.
func (q Quantiles) text() string {
	return fmt.Sprintf("p50 %.0f ms, p90 %.0f ms, p99 %.0f ms, most %.0f ms of %d", q.P50MS, q.P90MS, q.P99MS, q.MostMS, q.Count)
}

// WriteText writes a result for people.
func (r *WakeResult) WriteText(out io.Writer) error {
	_, err := fmt.Fprintf(out, `loopback, stand-in model servers
starts            %d in %d wakes
final answers     %d to %d requests, %d refusals on the way
carried out again %d requests, repeated by their clients
first answer      after the first demand, less the fetch: %s
each answer       after its request: %s
state service     %.1f changes a wake and model
broken            %d
`, r.Starts, r.Wakes, r.Answers, r.Requests, r.Refusals, r.TwiceCarriedOut, r.FirstAnswer.text(), r.EachAnswer.text(), r.ChangesPerWake, len(r.Broken))
	for _, what := range r.Broken {
		fmt.Fprintln(out, " ", what)
	}
	return err
}
