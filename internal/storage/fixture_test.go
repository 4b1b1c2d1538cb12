package storage_test

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// chunkPrefix begins the stored keys of journal chunks.
const chunkPrefix = "log/"

// leadershipKey is the leadership key of these tests.
const leadershipKey = "lead"

var (
	// limits are those that the key-value store has at first.
	limits = storage.Limits{RequestsPerS: 100, ChangesPerS: 40, ValueBytes: 8192, TxnOps: 32}
	// lowered are limits that it may fall to.
	lowered = storage.Limits{ChangesPerS: 30, ValueBytes: 2048, TxnOps: 4}
	// lowest are such limits with a rate that each commit has to wait for.
	lowest = storage.Limits{ChangesPerS: 15, ValueBytes: 2048, TxnOps: 4}
)

// trackerTo tracks limits that may fall to the next ones.
func trackerTo(next storage.Limits) *storage.LimitTracker {
	l := limits
	l.Next = &next
	return storage.NewLimitTracker(l)
}

// trackerWithTimeout is trackerTo(lowest) with a request timeout.
func trackerWithTimeout(timeout time.Duration) *storage.LimitTracker {
	l := limits
	l.RequestTimeout = timeout
	l.Next = &lowest
	return storage.NewLimitTracker(l)
}

// fixture is a key-value store with a leadership key.
type fixture struct {
	*storagetest.Client
	t          *testing.T
	leadership storage.Guard
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, Client: &storagetest.Client{Service: storagetest.NewService()}}
	f.leadership = storage.Guard{Key: leadershipKey, Version: f.put(leadershipKey, "1")}
	return f
}

// put writes a key without guards and returns its version.
func (f *fixture) put(key, value string) (version uint64) {
	f.t.Helper()
	version, err := f.Apply(nil, []storage.Op{{Key: key, Data: json.RawMessage(value)}})
	if err != nil {
		f.t.Fatalf("put %s: %v", key, err)
	}
	return version
}

// setLimits changes which limits the store enforces.
func (f *fixture) setLimits(l storage.Limits) {
	f.Update(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = l.ValueBytes, l.TxnOps })
}

// chunks lists the stored chunks.
func (f *fixture) chunks() []storage.Item {
	f.t.Helper()
	chunks, _, _, err := f.List(f.t.Context(), chunkPrefix, "", 1000)
	if err != nil {
		f.t.Fatalf("list chunks: %v", err)
	}
	return chunks
}

// encodedKeys lists the chunks that the first versions can't read.
func (f *fixture) encodedKeys() (encoded []string) {
	f.t.Helper()
	for _, c := range f.chunks() {
		if storage.IsEncoded(c.Data) {
			encoded = append(encoded, c.Key)
		}
	}
	return encoded
}

// records returns what the next leader reads.
func (f *fixture) records() map[string]string {
	f.t.Helper()
	j, err := storage.OpenJournal(f.t.Context(), f, storage.NewLimitTracker(limits), f.leadership)
	if err != nil {
		f.t.Fatalf("open journal: %v", err)
	}
	records := make(map[string]string)
	for _, r := range j.Records() {
		records[r.Key] = string(r.Data)
	}
	return records
}

// testJournal is a journal that runs until its context or the test ends.
type testJournal struct {
	*storage.Journal
	t *testing.T
}

// open runs a journal under limits that don't fall.
func (f *fixture) open() *testJournal {
	f.t.Helper()
	return f.openWith(f.t.Context(), storage.NewLimitTracker(limits))
}

// openWith runs a journal that may write any encoding.
func (f *fixture) openWith(ctx context.Context, tracker *storage.LimitTracker) *testJournal {
	f.t.Helper()
	j, err := storage.OpenJournal(ctx, f, tracker, f.leadership)
	if err != nil {
		f.t.Fatalf("open journal: %v", err)
	}
	j.SetEncoding(storage.AnyEncoding)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = j.Run(ctx) // its errors reach the tests by the acknowledgements
	}()
	f.t.Cleanup(func() { <-ended }) // the test's context is cancelled before
	return &testJournal{j, f.t}
}

// openLowered runs a journal on a store whose limits have fallen, and that knows of it.
func (f *fixture) openLowered(ctx context.Context) *testJournal {
	f.t.Helper()
	f.setLimits(lowered)
	tracker := trackerTo(lowered)
	tracker.Observe(storage.ErrMalformed)
	return f.openWith(ctx, tracker)
}

// append appends a batch and waits until it is acknowledged.
func (j *testJournal) append(data map[string]any) error {
	j.t.Helper()
	var b storage.Batch
	for key, value := range data {
		r, err := storage.NewRecord(key, value)
		if err != nil {
			j.t.Fatal(err)
		}
		b.Records = append(b.Records, r)
	}
	acknowledged := make(chan error, 1)
	b.Ack = func(err error) { acknowledged <- err }
	j.Append(j.t.Context(), b)
	return <-acknowledged
}

// write appends a batch that must become durable.
func (j *testJournal) write(data map[string]any) {
	j.t.Helper()
	if err := j.append(data); err != nil {
		j.t.Fatalf("append: %v", err)
	}
}

// writeMany writes records p0, p1, ... of increasing sizes, each in a commit of its own.
func (j *testJournal) writeMany(records int) {
	j.t.Helper()
	for i := range records {
		j.write(map[string]any{numbered("p", i): text(i, manyBytes(i))})
	}
}

// manyBytes is the least size of the record i of writeMany.
func manyBytes(i int) int { return 300 + 40*i }

// migrationSteps is more than any journal of these tests takes.
const migrationSteps = 25

// migrate takes steps until no chunk is encoded, or until there were enough for that.
func (j *testJournal) migrate() (encoded int) {
	j.t.Helper()
	for range migrationSteps {
		var err error
		if encoded, err = j.MigrateStep(j.t.Context()); err != nil {
			j.t.Fatalf("migration step: %v", err)
		}
		if encoded == 0 {
			return 0
		}
		time.Sleep(100 * time.Millisecond)
	}
	return encoded
}

func numbered(prefix string, i int) string { return fmt.Sprintf("%s%d", prefix, i) }

// text is data of so many bytes that begins with its number. Texts with odd numbers can't be
// compressed.
func text(i, bytes int) string {
	if i%2 == 0 {
		return fmt.Sprintf("%d:%s", i, strings.Repeat(`"`, bytes/2)) // a quote takes two bytes
	}
	r := rand.New(rand.NewPCG(7, uint64(i)))
	raw := make([]byte, bytes*3/4)
	for k := range raw {
		raw[k] = byte(r.Uint32())
	}
	return fmt.Sprintf("%d:%s", i, base64.StdEncoding.EncodeToString(raw))
}

// marshal returns the JSON of a record's data.
func marshal(t *testing.T, data any) string {
	t.Helper()
	raw, err := json.Marshal(data)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
