// Package relay carries requests between controllers through the key-value store. A follower that is cut off from
// a living leader, but not from the store, hands on users' requests and workers' heartbeats: one key prefix
// holds its latest batch of requests, another the leader's responses.
//
// To the leader this is but a slower way for requests to arrive, so all its rules hold: heartbeats may be late, and
// leases count from when they are answered. Responses are written under the leader's guard, so a deposed leader
// answers nobody.
package relay

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"sagevale/internal/config"
	"sagevale/internal/storage"
	wire "sagevale/internal/wire/coordination"
)

// The prefixes of the keys in the key-value store. Below each stands the follower's name, and below that the number
// of a fragment.
const (
	requestPrefix  = "mail/ask/"
	responsePrefix = "mail/answer/"
)

const (
	// Timeout is how long the responses to a batch may take.
	Timeout = 2 * time.Second
	// budgetShare of the key-value store's changes is for each writer of a relay.
	budgetShare = 0.1
	// maxBatchSize bounds the requests of a batch, maxFragments its values.
	maxBatchSize = 192
	maxFragments = 4
	// maxRequestBytes is the most that one request of a batch takes: the body of a user's request.
	maxRequestBytes = 64 << 10
	// fragmentOverhead is what a value holds beside the data of its fragment, in bytes.
	fragmentOverhead = 64
)

// newLimiter keeps a writer within its share of the changes.
func newLimiter(s *config.Settings) *rate.Limiter {
	changes := s.State.ChangesPerS * budgetShare
	return rate.NewLimiter(rate.Limit(changes), max(1, int(changes)))
}

// fragment is one value of a batch that is split over several keys.
type fragment struct {
	Process uint64 `json:"r"` // the sender's process
	Serial  uint64 `json:"s"`
	Count   int    `json:"n"` // of the batch's fragments
	Data    []byte `json:"d"`
}

// batchID tells the batches of one sender apart: a transaction that is carried out late brings an old batch among
// newer ones.
type batchID struct {
	sender  string
	process uint64
	serial  uint64
}

// encodeRequests compresses a batch of requests into values: see encodeBatch.
func encodeRequests(requests []wire.RelayRequest, process, serial uint64, limits storage.Limits) ([]json.RawMessage, error) {
	return encodeBatch(func(w io.Writer) error { return wire.EncodeRelayRequests(w, requests) }, process, serial, limits)
}

// encodeResponses compresses the responses to a batch into values: see encodeBatch.
func encodeResponses(responses []wire.RelayResponse, process, serial uint64, limits storage.Limits) ([]json.RawMessage, error) {
	return encodeBatch(func(w io.Writer) error { return wire.EncodeRelayResponses(w, responses) }, process, serial, limits)
}

// encodeBatch compresses what encode writes into values under the limit. It returns nil if that takes too many.
func encodeBatch(encode func(io.Writer) error, process, serial uint64, limits storage.Limits) ([]json.RawMessage, error) {
	var buf bytes.Buffer
	compressor, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := encode(compressor); err != nil {
		return nil, fmt.Errorf("encode relay batch: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("compress relay batch: %w", err)
	}
	data := buf.Bytes()
	size := limits.ValueBytes*2/3 - fragmentOverhead // base64 takes a third more
	count := (len(data) + size - 1) / size
	if count > min(maxFragments, limits.TxnOps) {
		return nil, nil
	}
	var values []json.RawMessage
	for i := range count {
		part := data[i*size : min(len(data), (i+1)*size)]
		value, err := json.Marshal(fragment{Process: process, Serial: serial, Count: count, Data: part})
		if err != nil {
			return nil, fmt.Errorf("encode relay fragment: %w", err)
		}
		values = append(values, value)
	}
	return values, nil
}

// decodeRequests reads a batch of requests whose fragments are all there, in order.
func decodeRequests(fragments []fragment) (requests []wire.RelayRequest, err error) {
	err = decodeBatch(fragments, func(r io.Reader) error {
		requests, err = wire.DecodeRelayRequests(r)
		return err
	})
	return requests, err
}

// decodeResponses reads the responses to a batch whose fragments are all there, in order.
func decodeResponses(fragments []fragment) (responses []wire.RelayResponse, err error) {
	err = decodeBatch(fragments, func(r io.Reader) error {
		responses, err = wire.DecodeRelayResponses(r)
		return err
	})
	return responses, err
}

// decodeBatch has decode read what the fragments, in order, hold.
func decodeBatch(fragments []fragment, decode func(io.Reader) error) error {
	var data []byte
	for _, f := range fragments {
		data = append(data, f.Data...)
	}
	decompressor := flate.NewReader(bytes.NewReader(data))
	defer decompressor.Close()
	if err := decode(io.LimitReader(decompressor, maxBatchSize*maxRequestBytes)); err != nil {
		return fmt.Errorf("decode relay batch: %w", err)
	}
	return nil
}

// collectBatches sorts changed keys into batches, and leaves out those that aren't whole.
func collectBatches(changes []storage.Item, prefix string) map[batchID][]fragment {
	batches := make(map[batchID][]fragment)
	for _, item := range changes {
		sender, _, ok := strings.Cut(strings.TrimPrefix(item.Key, prefix), "/")
		var f fragment
		if !ok || item.Data == nil || json.Unmarshal(item.Data, &f) != nil {
			continue
		}
		id := batchID{sender: sender, process: f.Process, serial: f.Serial}
		batches[id] = append(batches[id], f)
	}
	for id, fragments := range batches {
		if len(fragments) != fragments[0].Count {
			delete(batches, id)
		}
	}
	return batches
}

// batchOps are the changes that write a batch.
func batchOps(prefix, sender string, values []json.RawMessage) []storage.Op {
	var ops []storage.Op
	for i, v := range values {
		ops = append(ops, storage.Op{Key: fmt.Sprintf("%s%s/%d", prefix, sender, i), Data: v})
	}
	return ops
}
