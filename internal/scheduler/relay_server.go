package scheduler

import (
	"context"
	"log/slog"

	"golang.org/x/time/rate"

	"sagevale/internal/clock"
	"sagevale/internal/config"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	wire "sagevale/internal/wire/coordination"
	"sagevale/internal/worker"
)

// relayServer is the leader's actor that answers relayed requests.
type relayServer struct {
	settings     *config.Settings
	svc          storage.KeyValueStore
	log          *slog.Logger
	guard        storage.Guard
	scheduler    *scheduler
	limiter      *rate.Limiter
	limitTracker *storage.LimitTracker
	latest       map[string]batchID // by sender
}

func newRelayServer(s *config.Settings, deps Dependencies, limitTracker *storage.LimitTracker, guard storage.Guard, dispatcher *scheduler) *relayServer {
	return &relayServer{limitTracker: limitTracker, settings: s, svc: deps.State, log: deps.Log, guard: guard, scheduler: dispatcher, limiter: relayLimiter(s), latest: make(map[string]batchID)}
}

func (p *relayServer) run(ctx context.Context) {
	hold := p.settings.WorkerLease
	rev := p.guard.Version
	for ctx.Err() == nil {
		wctx, cancel := context.WithTimeout(ctx, 2*hold)
		changes, next, err := p.svc.Watch(wctx, relayRequestPrefix, rev, hold)
		cancel()
		if err != nil {
			// What was asked meanwhile is asked again.
			lctx, cancel := context.WithTimeout(ctx, relayTimeout)
			if _, _, now, lerr := p.svc.List(lctx, relayRequestPrefix, "", 1); lerr == nil {
				rev = now
			}
			cancel()
			clock.Sleep(ctx, p.settings.Tuning.LeaderLease/leadership.RenewalsPerLease)
			continue
		}
		rev = next
		for id, fragments := range collectBatches(changes, relayRequestPrefix) {
			if !p.isLatest(id) {
				continue
			}
			requests, err := decodeRequests(fragments)
			if err != nil {
				p.log.Error("relay not understood", "from", id.sender, "err", err)
				continue
			}
			p.answer(ctx, id.sender, fragments[0], requests)
		}
	}
}

// isLatest notes a batch and tells whether it is the sender's latest. Who sent an
// earlier one has given up on it, and its reports may be old.
func (p *relayServer) isLatest(id batchID) bool {
	if last, ok := p.latest[id.sender]; ok && last.run == id.run && id.serial <= last.serial {
		return false
	}
	p.latest[id.sender] = id
	return true
}

// answer has the dispatcher answer the requests and sends the answers back.
func (p *relayServer) answer(ctx context.Context, name string, ask batchFragment, requests []wire.RelayRequest) {
	actx, cancel := context.WithTimeout(ctx, relayTimeout/2)
	defer cancel()
	replies := make([]wire.RelayResponse, len(requests))
	type answered struct {
		i int
		r wire.RelayResponse
	}
	answers := make(chan answered, len(requests))
	for i, l := range requests {
		go func() {
			r := wire.RelayResponse{Answered: true}
			switch {
			case l.User != nil:
				a := p.scheduler.userRequest(actx, *l.User)
				r.User = &a
			case l.Report != nil:
				b := worker.HeartbeatResponse{Undecided: true}
				if got := p.scheduler.heartbeats(actx, []*worker.Report{l.Report}); len(got) > 0 {
					b = got[0]
				}
				r.Heartbeat = &b
			}
			answers <- answered{i, r}
		}()
	}
	for range requests {
		a := <-answers
		replies[a.i] = a.r
	}
	values, err := encodeResponses(replies, ask.Run, ask.Serial, p.limitTracker.Limits())
	if err != nil || values == nil {
		p.log.Error("relay not answered", "to", name, "requests", len(requests), "err", err)
		return
	}
	if err := p.limiter.WaitN(ctx, min(len(values), p.limiter.Burst())); err != nil {
		return
	}
	if _, err := p.svc.Txn(actx, []storage.Guard{p.guard}, relayOps(relayResponsePrefix, name, values)); err != nil {
		p.limitTracker.Learn(err)
		p.log.Debug("relay not answered", "to", name, "err", err)
		return
	}
	p.log.Debug("relay answered", "to", name, "requests", len(requests))
}
