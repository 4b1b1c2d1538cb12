// Package relay carries requests between controllers through the key-value store. A follower that can't reach a
// running leader, but can reach the store, relays users' requests and workers' heartbeats this way: it writes its
// latest batch of requests under one key prefix, and the leader writes the responses under another.
//
// For the leader a relay is only a slower path for requests, so the same rules apply to relayed requests as to others:
// heartbeats may arrive late, and a worker's lease counts from the time at which the leader responds to the heartbeat.
// Responses are written under the guard of the leader's key, so a deposed leader can't store any response.
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

// The prefixes of the relay's keys in the key-value store. The follower's name and the number of a fragment follow,
// separated by a slash.
const (
	requestPrefix  = "mail/ask/"
	responsePrefix = "mail/answer/"
)

const (
	// BatchTimeout bounds the delivery of a batch, from the encoding of its requests to the arrival of its responses.
	BatchTimeout = 2 * time.Second
	// writeBudgetShare is the share of the key-value store's rate limit on changes that each writer may use. The
	// writers are the Client of each follower and the Server of the leader.
	writeBudgetShare = 0.1
	// maxBatchRequests is the maximum number of requests in a batch.
	maxBatchRequests = 192
	// maxFragments is the maximum number of values that a batch is split into.
	maxFragments = 4
	// maxRequestBytes bounds the size of one request in a batch. The largest requests are users' requests with their
	// bodies.
	maxRequestBytes = 64 << 10
	// fragmentOverhead is the maximum size of a value without the data of its fragment, in bytes.
	fragmentOverhead = 64
)

// newLimiter returns a limiter that keeps a writer within its share of the store's rate limit on changes.
func newLimiter(s *config.Settings) *rate.Limiter {
	changes := s.State.ChangesPerS * writeBudgetShare
	return rate.NewLimiter(rate.Limit(changes), max(1, int(changes)))
}

// fragment is the value of one key of a batch. A batch takes several keys if it is too large for one value.
type fragment struct {
	Process uint64 `json:"r"` // the process that sent the requests
	Serial  uint64 `json:"s"`
	Count   int    `json:"n"` // the number of fragments in the batch
	Data    []byte `json:"d"`
}

// batchID identifies a batch. The process and the serial number distinguish the batches of one sender: a transaction
// may be committed late and so store an old batch after a newer one.
type batchID struct {
	sender  string
	process uint64
	serial  uint64
}

// encodeRequests encodes a batch of requests as values: see encodeBatch.
func encodeRequests(requests []wire.RelayRequest, process, serial uint64, limits storage.Limits) ([]json.RawMessage, error) {
	return encodeBatch(func(w io.Writer) error { return wire.EncodeRelayRequests(w, requests) }, process, serial, limits)
}

// encodeResponses encodes the responses to a batch as values: see encodeBatch.
func encodeResponses(responses []wire.RelayResponse, process, serial uint64, limits storage.Limits) ([]json.RawMessage, error) {
	return encodeBatch(func(w io.Writer) error { return wire.EncodeRelayResponses(w, responses) }, process, serial, limits)
}

// encodeBatch compresses the output of encode and splits it into values within the store's limits. If the batch needs
// more values than maxFragments or than one transaction can write, it returns nil values and no error.
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
	fragmentBytes := limits.ValueBytes*2/3 - fragmentOverhead // base64 grows the data by a third
	count := (len(data) + fragmentBytes - 1) / fragmentBytes
	if count > min(maxFragments, limits.TxnOps) {
		return nil, nil
	}
	var values []json.RawMessage
	for i := range count {
		part := data[i*fragmentBytes : min(len(data), (i+1)*fragmentBytes)]
		value, err := json.Marshal(fragment{Process: process, Serial: serial, Count: count, Data: part})
		if err != nil {
			return nil, fmt.Errorf("encode relay fragment: %w", err)
		}
		values = append(values, value)
	}
	return values, nil
}

// decodeRequests decodes a batch of requests from all its fragments, in order.
func decodeRequests(fragments []fragment) (requests []wire.RelayRequest, err error) {
	err = decodeBatch(fragments, func(r io.Reader) error {
		requests, err = wire.DecodeRelayRequests(r)
		return err
	})
	return requests, err
}

// decodeResponses decodes the responses to a batch from all their fragments, in order.
func decodeResponses(fragments []fragment) (responses []wire.RelayResponse, err error) {
	err = decodeBatch(fragments, func(r io.Reader) error {
		responses, err = wire.DecodeRelayResponses(r)
		return err
	})
	return responses, err
}

// decodeBatch decompresses the data of the fragments, which must be in order, and passes it to decode.
func decodeBatch(fragments []fragment, decode func(io.Reader) error) error {
	var data []byte
	for _, f := range fragments {
		data = append(data, f.Data...)
	}
	decompressor := flate.NewReader(bytes.NewReader(data))
	defer decompressor.Close()
	if err := decode(io.LimitReader(decompressor, maxBatchRequests*maxRequestBytes)); err != nil {
		return fmt.Errorf("decode relay batch: %w", err)
	}
	return nil
}

// collectBatches decodes the fragments in the values of changed keys and groups them by batch. It omits batches with
// missing fragments.
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

// batchOps returns the operations that write a batch.
func batchOps(prefix, sender string, values []json.RawMessage) []storage.Op {
	var ops []storage.Op
	for i, v := range values {
		ops = append(ops, storage.Op{Key: fmt.Sprintf("%s%s/%d", prefix, sender, i), Data: v})
	}
	return ops
}
