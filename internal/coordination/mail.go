package coordination

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"sagevale/internal/storage"
)

// A follower that is cut off from a living leader, but not from the state
// service, hands on what reaches it by mail: one key holds its latest batch of
// users' requests and workers' reports, another the leader's answers. To the
// leader it is but a slower way to arrive, so all its rules hold as they are:
// reports may be late, and their answers count from when they are given.

const (
	relayRequestPrefix  = "mail/ask/"
	relayResponsePrefix = "mail/answer/"
	// mailShare of the change budget is each mail writer's.
	relayShare = 0.1
	// gatherPerReport is how long a batch gathers, in report intervals.
	gatherPerReport = 0.1
	// mailBatch bounds the items of a batch, mailPieces its values.
	relayBatchSize = 192
	relayFragments = 4
	// mailPatience is how long the answers to a batch may take.
	relayTimeout = 2 * time.Second
	// mailQueue bounds what waits for the next batch.
	relayQueue = 512
)

// piece is one value of a batch that is split over several keys.
type batchFragment struct {
	Run    uint64 `json:"r"`
	Serial uint64 `json:"s"`
	Of     int    `json:"n"`
	Data   []byte `json:"d"`
}

// encodePieces compresses a batch into values under the limit, or returns nil
// if it takes too many.
func encodeBatch(batch any, run, serial uint64, limits storage.Limits) ([]json.RawMessage, error) {
	var buf bytes.Buffer
	z, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(z).Encode(batch); err != nil {
		return nil, fmt.Errorf("encode mail: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("compress mail: %w", err)
	}
	raw := buf.Bytes()
	room := limits.ValueBytes*2/3 - 64 // base64 takes a third more
	n := (len(raw) + room - 1) / room
	if n > min(relayFragments, limits.TxnOps) {
		return nil, nil
	}
	var out []json.RawMessage
	for i := 0; i < n; i++ {
		p, err := json.Marshal(batchFragment{run, serial, n, raw[i*room : min(len(raw), (i+1)*room)]})
		if err != nil {
			return nil, fmt.Errorf("encode mail: %w", err)
		}
		out = append(out, p)
	}
	return out, nil
}

// decodePieces reads a batch whose pieces are all there, in order.
func decodeBatch(fragments []batchFragment, batch any) error {
	var raw []byte
	for _, p := range fragments {
		raw = append(raw, p.Data...)
	}
	z := flate.NewReader(bytes.NewReader(raw))
	defer z.Close()
	if err := gob.NewDecoder(io.LimitReader(z, 4<<20)).Decode(batch); err != nil {
		return fmt.Errorf("decode mail: %w", err)
	}
	return nil
}

// parcelID tells batches of one sender apart: a transaction that is carried out
// late brings an old batch among newer ones.
type batchID struct {
	sender string
	run    uint64
	serial uint64
}

// collect sorts changed keys into whole batches.
func collectBatches(changes []storage.Item, prefix string) map[batchID][]batchFragment {
	fragments := make(map[batchID][]batchFragment)
	for _, it := range changes {
		name, _, ok := strings.Cut(strings.TrimPrefix(it.Key, prefix), "/")
		var p batchFragment
		if !ok || it.Data == nil || json.Unmarshal(it.Data, &p) != nil {
			continue
		}
		id := batchID{name, p.Run, p.Serial}
		fragments[id] = append(fragments[id], p)
	}
	for id, ps := range fragments {
		if len(ps) != ps[0].Of {
			delete(fragments, id)
		}
	}
	return fragments
}

func relayOps(prefix, name string, values []json.RawMessage) []storage.Op {
	var ops []storage.Op
	for i, v := range values {
		ops = append(ops, storage.Op{Key: fmt.Sprintf("%s%s/%d", prefix, name, i), Data: v})
	}
	return ops
}

// mailer is the actor of a follower's mail.
type relayClient struct {
	settings     *Settings
	svc          storage.StateService
	log          *slog.Logger
	in           chan queuedRequest
	processID    uint64 // this process's own mark on its batches
	serial       uint64
	limiter      *rate.Limiter
	limitTracker *storage.LimitTracker
	lastAccepted atomicTime // when the state service last took a batch
}

type queuedRequest struct {
	letter
	ctx   context.Context // ends when the sender no longer waits
	reply chan mailReply
}

func newRelayClient(s *Settings, deps Deps, ceiling *storage.LimitTracker) *relayClient {
	return &relayClient{
		limitTracker: ceiling, settings: s, svc: deps.State, log: deps.Log, in: make(chan queuedRequest, relayQueue), processID: deps.Rand.Uint64(),
		limiter: relayLimiter(s),
	}
}

func relayLimiter(s *Settings) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(s.State.ChangesPerS*relayShare), max(1, int(s.State.ChangesPerS*relayShare)))
}

func (m *relayClient) send(ctx context.Context, l letter) mailReply {
	p := queuedRequest{l, ctx, make(chan mailReply, 1)}
	select {
	case m.in <- p:
	default:
		return mailReply{}
	}
	select {
	case r := <-p.reply:
		return r
	case <-ctx.Done():
		return mailReply{}
	}
}

func (m *relayClient) user(ctx context.Context, req UserRequest) Answer {
	if r := m.send(ctx, letter{User: &req}); r.Done && r.User != nil {
		return *r.User
	}
	return Unavailable(req.ID, "leader out of reach")
}

// beats mails reports; nil means that nobody has decided on them.
func (m *relayClient) heartbeats(ctx context.Context, reports []*Report) []HeartbeatResponse {
	var out []HeartbeatResponse
	for _, report := range reports {
		r := m.send(ctx, letter{Report: report})
		if !r.Done || r.Beat == nil {
			return nil
		}
		out = append(out, HeartbeatResponse(*r.Beat))
	}
	return out
}

// run sends batch after batch, each once the one before it is over.
func (m *relayClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := m.gather(ctx)
		// Whose sender has given up is not worth the budget.
		batch = slices.DeleteFunc(batch, func(p queuedRequest) bool { return p.ctx.Err() != nil })
		for len(batch) > 0 && ctx.Err() == nil {
			batch = m.deliver(ctx, batch)
		}
	}
}

// gather takes the first letter and those that come soon after. Users wait for
// their answers, so a user's letter ends the gathering.
func (m *relayClient) gather(ctx context.Context) []queuedRequest {
	var batch []queuedRequest
	soon := make(<-chan time.Time)
	for len(batch) < relayBatchSize {
		select {
		case <-ctx.Done():
			return nil
		case p := <-m.in:
			batch = append(batch, p)
			if p.User != nil {
				return m.drain(batch)
			}
			if len(batch) == 1 {
				soon = time.After(scale(m.settings.Report, gatherPerReport))
			}
		case <-soon:
			return m.drain(batch)
		}
	}
	return batch
}

// rest adds what waits already.
func (m *relayClient) drain(batch []queuedRequest) []queuedRequest {
	for len(batch) < relayBatchSize {
		select {
		case p := <-m.in:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// deliver sends a batch, or the half of it that fits, and returns the rest.
func (m *relayClient) deliver(ctx context.Context, batch []queuedRequest) []queuedRequest {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	m.serial++
	n := len(batch)
	var values []json.RawMessage
	for ; n > 0; n /= 2 {
		letters := make([]letter, 0, n)
		for _, p := range batch[:n] {
			letters = append(letters, p.letter)
		}
		var err error
		if values, err = encodeBatch(letters, m.processID, m.serial, m.limitTracker.Limits()); err != nil {
			m.log.Error("mail not encoded", "err", err)
		}
		if values != nil {
			break
		}
	}
	replies := make([]mailReply, len(batch))
	if n > 0 {
		got, err := m.exchange(ctx, values)
		if err != nil {
			m.log.Debug("mail unanswered", "letters", n, "err", err)
		}
		copy(replies, got)
	} else {
		n = 1 // a single letter that doesn't fit
	}
	for i, p := range batch[:n] {
		p.reply <- replies[i]
	}
	return batch[n:]
}

func (m *relayClient) exchange(ctx context.Context, values []json.RawMessage) ([]mailReply, error) {
	if err := m.limiter.WaitN(ctx, min(len(values), m.limiter.Burst())); err != nil {
		return nil, err
	}
	rev, err := m.svc.Txn(ctx, nil, relayOps(relayRequestPrefix, m.settings.Node, values))
	if err != nil {
		m.limitTracker.Learn(err)
		return nil, err
	}
	m.lastAccepted.mark(time.Now())
	prefix := relayResponsePrefix + m.settings.Node + "/"
	for {
		changes, next, err := m.svc.Watch(ctx, prefix, rev, relayTimeout)
		if err != nil {
			return nil, err
		}
		rev = next
		for _, fragments := range collectBatches(changes, relayResponsePrefix) {
			if fragments[0].Serial != m.serial || fragments[0].Run != m.processID {
				continue
			}
			var replies []mailReply
			err := decodeBatch(fragments, &replies)
			return replies, err
		}
	}
}

// postmaster is the leader's actor that answers the mail.
type relayServer struct {
	settings     *Settings
	svc          storage.StateService
	log          *slog.Logger
	guard        storage.Guard
	dispatcher   *dispatcher
	limiter      *rate.Limiter
	limitTracker *storage.LimitTracker
	latest       map[string]batchID // by sender
}

func newRelayServer(s *Settings, deps Deps, ceiling *storage.LimitTracker, guard storage.Guard, disp *dispatcher) *relayServer {
	return &relayServer{limitTracker: ceiling, settings: s, svc: deps.State, log: deps.Log, guard: guard, dispatcher: disp, limiter: relayLimiter(s), latest: make(map[string]batchID)}
}

func (p *relayServer) run(ctx context.Context) {
	hold := p.settings.Lease
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
			storage.Sleep(ctx, p.settings.Tuning.LeaderLease/touchesPerLease)
			continue
		}
		rev = next
		for id, fragments := range collectBatches(changes, relayRequestPrefix) {
			if !p.isLatest(id) {
				continue
			}
			var letters []letter
			if err := decodeBatch(fragments, &letters); err != nil {
				p.log.Error("mail not understood", "from", id.sender, "err", err)
				continue
			}
			p.answer(ctx, id.sender, fragments[0], letters)
		}
	}
}

// isNews notes a batch and tells whether it is the sender's latest. Who sent an
// earlier one has given up on it, and its reports may be old.
func (p *relayServer) isLatest(id batchID) bool {
	if last, ok := p.latest[id.sender]; ok && last.run == id.run && id.serial <= last.serial {
		return false
	}
	p.latest[id.sender] = id
	return true
}

// answer has the dispatcher answer the letters and sends the answers back.
func (p *relayServer) answer(ctx context.Context, name string, ask batchFragment, letters []letter) {
	actx, cancel := context.WithTimeout(ctx, relayTimeout/2)
	defer cancel()
	replies := make([]mailReply, len(letters))
	type answered struct {
		i int
		r mailReply
	}
	answers := make(chan answered, len(letters))
	for i, l := range letters {
		go func() {
			r := mailReply{Done: true}
			switch {
			case l.User != nil:
				a := p.dispatcher.user(actx, *l.User)
				r.User = &a
			case l.Report != nil:
				b := HeartbeatResponse{Undecided: true}
				if got := p.dispatcher.heartbeats(actx, []*Report{l.Report}); len(got) > 0 {
					b = got[0]
				}
				answer := BeatAnswer(b)
				r.Beat = &answer
			}
			answers <- answered{i, r}
		}()
	}
	for range letters {
		a := <-answers
		replies[a.i] = a.r
	}
	values, err := encodeBatch(replies, ask.Run, ask.Serial, p.limitTracker.Limits())
	if err != nil || values == nil {
		p.log.Error("mail not answered", "to", name, "letters", len(letters), "err", err)
		return
	}
	if err := p.limiter.WaitN(ctx, min(len(values), p.limiter.Burst())); err != nil {
		return
	}
	if _, err := p.svc.Txn(actx, []storage.Guard{p.guard}, relayOps(relayResponsePrefix, name, values)); err != nil {
		p.limitTracker.Learn(err)
		p.log.Debug("mail not answered", "to", name, "err", err)
		return
	}
	p.log.Debug("mail answered", "to", name, "letters", len(letters))
}
