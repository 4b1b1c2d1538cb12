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
	askPrefix    = "mail/ask/"
	answerPrefix = "mail/answer/"
	// mailShare of the change budget is each mail writer's.
	mailShare = 0.1
	// gatherPerReport is how long a batch gathers, in report intervals.
	gatherPerReport = 0.1
	// mailBatch bounds the items of a batch, mailPieces its values.
	mailBatch  = 192
	mailPieces = 4
	// mailPatience is how long the answers to a batch may take.
	mailPatience = 2 * time.Second
	// mailQueue bounds what waits for the next batch.
	mailQueue = 512
)

// letter is one item of a batch.
type letter struct {
	User   *UserRequest
	Report *Report
}

// mailReply is the answer to one letter; Done tells that there is one.
type mailReply struct {
	Done bool
	User *Answer
	Beat *BeatAnswer
}

// piece is one value of a batch that is split over several keys.
type piece struct {
	Run    uint64 `json:"r"`
	Serial uint64 `json:"s"`
	Of     int    `json:"n"`
	Data   []byte `json:"d"`
}

// encodePieces compresses a batch into values under the limit, or returns nil
// if it takes too many.
func encodePieces(batch any, run, serial uint64, limits storage.Limits) ([]json.RawMessage, error) {
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
	if n > min(mailPieces, limits.TxnOps) {
		return nil, nil
	}
	var out []json.RawMessage
	for i := 0; i < n; i++ {
		p, err := json.Marshal(piece{run, serial, n, raw[i*room : min(len(raw), (i+1)*room)]})
		if err != nil {
			return nil, fmt.Errorf("encode mail: %w", err)
		}
		out = append(out, p)
	}
	return out, nil
}

// decodePieces reads a batch whose pieces are all there, in order.
func decodePieces(pieces []piece, batch any) error {
	var raw []byte
	for _, p := range pieces {
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
type parcelID struct {
	sender string
	run    uint64
	serial uint64
}

// collect sorts changed keys into whole batches.
func collect(changes []storage.Item, prefix string) map[parcelID][]piece {
	pieces := make(map[parcelID][]piece)
	for _, it := range changes {
		name, _, ok := strings.Cut(strings.TrimPrefix(it.Key, prefix), "/")
		var p piece
		if !ok || it.Data == nil || json.Unmarshal(it.Data, &p) != nil {
			continue
		}
		id := parcelID{name, p.Run, p.Serial}
		pieces[id] = append(pieces[id], p)
	}
	for id, ps := range pieces {
		if len(ps) != ps[0].Of {
			delete(pieces, id)
		}
	}
	return pieces
}

func mailOps(prefix, name string, values []json.RawMessage) []storage.Op {
	var ops []storage.Op
	for i, v := range values {
		ops = append(ops, storage.Op{Key: fmt.Sprintf("%s%s/%d", prefix, name, i), Data: v})
	}
	return ops
}

// mailer is the actor of a follower's mail.
type mailer struct {
	settings *Settings
	svc      storage.StateService
	log      *slog.Logger
	in       chan posted
	run1     uint64 // this process's own mark on its batches
	serial   uint64
	limiter  *rate.Limiter
	ceiling  *storage.Ceiling
	taken    moment // when the state service last took a batch
}

type posted struct {
	letter
	ctx   context.Context // ends when the sender no longer waits
	reply chan mailReply
}

func newMailer(s *Settings, deps Deps, ceiling *storage.Ceiling) *mailer {
	return &mailer{
		ceiling: ceiling, settings: s, svc: deps.State, log: deps.Log, in: make(chan posted, mailQueue), run1: deps.Rand.Uint64(),
		limiter: mailLimiter(s),
	}
}

func mailLimiter(s *Settings) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(s.State.ChangesPerS*mailShare), max(1, int(s.State.ChangesPerS*mailShare)))
}

func (m *mailer) send(ctx context.Context, l letter) mailReply {
	p := posted{l, ctx, make(chan mailReply, 1)}
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

func (m *mailer) user(ctx context.Context, req UserRequest) Answer {
	if r := m.send(ctx, letter{User: &req}); r.Done && r.User != nil {
		return *r.User
	}
	return Unavailable(req.ID, "leader out of reach")
}

// beats mails reports; nil means that nobody has decided on them.
func (m *mailer) beats(ctx context.Context, reports []*Report) []BeatAnswer {
	var out []BeatAnswer
	for _, report := range reports {
		r := m.send(ctx, letter{Report: report})
		if !r.Done || r.Beat == nil {
			return nil
		}
		out = append(out, *r.Beat)
	}
	return out
}

// run sends batch after batch, each once the one before it is over.
func (m *mailer) run(ctx context.Context) {
	for ctx.Err() == nil {
		batch := m.gather(ctx)
		// Whose sender has given up is not worth the budget.
		batch = slices.DeleteFunc(batch, func(p posted) bool { return p.ctx.Err() != nil })
		for len(batch) > 0 && ctx.Err() == nil {
			batch = m.deliver(ctx, batch)
		}
	}
}

// gather takes the first letter and those that come soon after. Users wait for
// their answers, so a user's letter ends the gathering.
func (m *mailer) gather(ctx context.Context) []posted {
	var batch []posted
	soon := make(<-chan time.Time)
	for len(batch) < mailBatch {
		select {
		case <-ctx.Done():
			return nil
		case p := <-m.in:
			batch = append(batch, p)
			if p.User != nil {
				return m.rest(batch)
			}
			if len(batch) == 1 {
				soon = time.After(scale(m.settings.Report, gatherPerReport))
			}
		case <-soon:
			return m.rest(batch)
		}
	}
	return batch
}

// rest adds what waits already.
func (m *mailer) rest(batch []posted) []posted {
	for len(batch) < mailBatch {
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
func (m *mailer) deliver(ctx context.Context, batch []posted) []posted {
	ctx, cancel := context.WithTimeout(ctx, mailPatience)
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
		if values, err = encodePieces(letters, m.run1, m.serial, m.ceiling.Limits()); err != nil {
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

func (m *mailer) exchange(ctx context.Context, values []json.RawMessage) ([]mailReply, error) {
	if err := m.limiter.WaitN(ctx, min(len(values), m.limiter.Burst())); err != nil {
		return nil, err
	}
	rev, err := m.svc.Txn(ctx, nil, mailOps(askPrefix, m.settings.Node, values))
	if err != nil {
		m.ceiling.Learn(err)
		return nil, err
	}
	m.taken.mark(time.Now())
	prefix := answerPrefix + m.settings.Node + "/"
	for {
		changes, next, err := m.svc.Watch(ctx, prefix, rev, mailPatience)
		if err != nil {
			return nil, err
		}
		rev = next
		for _, pieces := range collect(changes, answerPrefix) {
			if pieces[0].Serial != m.serial || pieces[0].Run != m.run1 {
				continue
			}
			var replies []mailReply
			err := decodePieces(pieces, &replies)
			return replies, err
		}
	}
}

// postmaster is the leader's actor that answers the mail.
type postmaster struct {
	settings *Settings
	svc      storage.StateService
	log      *slog.Logger
	guard    storage.Guard
	desk     *dispatcher
	limiter  *rate.Limiter
	ceiling  *storage.Ceiling
	latest   map[string]parcelID // by sender
}

func newPostmaster(s *Settings, deps Deps, ceiling *storage.Ceiling, guard storage.Guard, desk *dispatcher) *postmaster {
	return &postmaster{ceiling: ceiling, settings: s, svc: deps.State, log: deps.Log, guard: guard, desk: desk, limiter: mailLimiter(s), latest: make(map[string]parcelID)}
}

func (p *postmaster) run(ctx context.Context) {
	hold := p.settings.Lease
	rev := p.guard.Version
	for ctx.Err() == nil {
		wctx, cancel := context.WithTimeout(ctx, 2*hold)
		changes, next, err := p.svc.Watch(wctx, askPrefix, rev, hold)
		cancel()
		if err != nil {
			// What was asked meanwhile is asked again.
			lctx, cancel := context.WithTimeout(ctx, mailPatience)
			if _, _, now, lerr := p.svc.List(lctx, askPrefix, "", 1); lerr == nil {
				rev = now
			}
			cancel()
			storage.Sleep(ctx, p.settings.Tuning.LeaderLease/touchesPerLease)
			continue
		}
		rev = next
		for id, pieces := range collect(changes, askPrefix) {
			if !p.isNews(id) {
				continue
			}
			var letters []letter
			if err := decodePieces(pieces, &letters); err != nil {
				p.log.Error("mail not understood", "from", id.sender, "err", err)
				continue
			}
			p.answer(ctx, id.sender, pieces[0], letters)
		}
	}
}

// isNews notes a batch and tells whether it is the sender's latest. Who sent an
// earlier one has given up on it, and its reports may be old.
func (p *postmaster) isNews(id parcelID) bool {
	if last, ok := p.latest[id.sender]; ok && last.run == id.run && id.serial <= last.serial {
		return false
	}
	p.latest[id.sender] = id
	return true
}

// answer has the dispatcher answer the letters and sends the answers back.
func (p *postmaster) answer(ctx context.Context, name string, ask piece, letters []letter) {
	actx, cancel := context.WithTimeout(ctx, mailPatience/2)
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
				a := p.desk.user(actx, *l.User)
				r.User = &a
			case l.Report != nil:
				b := BeatAnswer{Undecided: true}
				if got := p.desk.beats(actx, []*Report{l.Report}); len(got) > 0 {
					b = got[0]
				}
				r.Beat = &b
			}
			answers <- answered{i, r}
		}()
	}
	for range letters {
		a := <-answers
		replies[a.i] = a.r
	}
	values, err := encodePieces(replies, ask.Run, ask.Serial, p.ceiling.Limits())
	if err != nil || values == nil {
		p.log.Error("mail not answered", "to", name, "letters", len(letters), "err", err)
		return
	}
	if err := p.limiter.WaitN(ctx, min(len(values), p.limiter.Burst())); err != nil {
		return
	}
	if _, err := p.svc.Txn(actx, []storage.Guard{p.guard}, mailOps(answerPrefix, name, values)); err != nil {
		p.ceiling.Learn(err)
		p.log.Debug("mail not answered", "to", name, "err", err)
		return
	}
	p.log.Debug("mail answered", "to", name, "letters", len(letters))
}
