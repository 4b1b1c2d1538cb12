package scheduler

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"sagevale/internal/storage"
	wire "sagevale/internal/wire/coordination"
)

// A follower that is cut off from a living leader, but not from the state
// service, hands on what reaches it through the relay: one key holds its latest batch of
// users' requests and workers' reports, another the leader's answers. To the
// leader it is but a slower way to arrive, so all its rules hold as they are:
// reports may be late, and their answers count from when they are given.

const (
	relayRequestPrefix  = "mail/ask/"
	relayResponsePrefix = "mail/answer/"
	// relayShare of the change budget is each relay writer's.
	relayShare = 0.1
	// gatherPerHeartbeat is how long a batch gathers, in report intervals.
	gatherPerHeartbeat = 0.1
	// relayBatchSize bounds the items of a batch, relayFragments its values.
	relayBatchSize = 192
	relayFragments = 4
	// relayTimeout is how long the answers to a batch may take.
	relayTimeout = 2 * time.Second
	// relayQueue bounds what waits for the next batch: what a few batches carry before those
	// who wait give up. What is refused is answered by delegation at once, or elsewhere.
	relayQueue = 512
	// relayItemBytes is the most that one item of a batch takes: a request's body.
	relayItemBytes = 64 << 10
)

// batchFragment is one value of a batch that is split over several keys.
type batchFragment struct {
	Run    uint64 `json:"r"`
	Serial uint64 `json:"s"`
	Of     int    `json:"n"`
	Data   []byte `json:"d"`
}

// encodeRequests compresses a batch of requests into values: see encodeBatch.
func encodeRequests(requests []wire.RelayRequest, run, serial uint64, limits storage.Limits) ([]json.RawMessage, error) {
	return encodeBatch(func(w io.Writer) error { return wire.EncodeRelayRequests(w, requests) }, run, serial, limits)
}

// encodeResponses compresses the answers to a batch into values: see encodeBatch.
func encodeResponses(responses []wire.RelayResponse, run, serial uint64, limits storage.Limits) ([]json.RawMessage, error) {
	return encodeBatch(func(w io.Writer) error { return wire.EncodeRelayResponses(w, responses) }, run, serial, limits)
}

// encodeBatch compresses what encode writes into values under the limit, or returns nil
// if it takes too many.
func encodeBatch(encode func(io.Writer) error, run, serial uint64, limits storage.Limits) ([]json.RawMessage, error) {
	var buf bytes.Buffer
	z, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := encode(z); err != nil {
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

// decodeRequests reads a batch of requests whose fragments are all there, in order.
func decodeRequests(fragments []batchFragment) (requests []wire.RelayRequest, err error) {
	err = decodeBatch(fragments, func(r io.Reader) error {
		requests, err = wire.DecodeRelayRequests(r)
		return err
	})
	return requests, err
}

// decodeResponses reads the answers to a batch whose fragments are all there, in order.
func decodeResponses(fragments []batchFragment) (responses []wire.RelayResponse, err error) {
	err = decodeBatch(fragments, func(r io.Reader) error {
		responses, err = wire.DecodeRelayResponses(r)
		return err
	})
	return responses, err
}

// decodeBatch has decode read what the fragments, in order, hold.
func decodeBatch(fragments []batchFragment, decode func(io.Reader) error) error {
	var raw []byte
	for _, p := range fragments {
		raw = append(raw, p.Data...)
	}
	z := flate.NewReader(bytes.NewReader(raw))
	defer z.Close()
	if err := decode(io.LimitReader(z, relayBatchSize*relayItemBytes)); err != nil {
		return fmt.Errorf("decode mail: %w", err)
	}
	return nil
}

// batchID tells batches of one sender apart: a transaction that is carried out
// late brings an old batch among newer ones.
type batchID struct {
	sender string
	run    uint64
	serial uint64
}

// collectBatches sorts changed keys into whole batches.
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
