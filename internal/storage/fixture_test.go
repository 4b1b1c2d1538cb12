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

// chunkPrefix is the prefix of the keys of journal chunks.
const chunkPrefix = "log/"

// leadershipKey is the key that names the leader in these tests.
const leadershipKey = "lead"

var (
	// initialLimits are the limits of the key-value store at the start of a test.
	initialLimits = storage.Limits{RequestsPerS: 100, ChangesPerS: 40, ValueBytes: 8192, TxnOps: 32}
	// loweredLimits are lower limits that the store may enforce later.
	loweredLimits = storage.Limits{ChangesPerS: 30, ValueBytes: 2048, TxnOps: 4}
	// lowestLimits are like loweredLimits, but their change rate is so low that each commit has to wait.
	lowestLimits = storage.Limits{ChangesPerS: 15, ValueBytes: 2048, TxnOps: 4}
)

// trackerWithNext returns a tracker that starts with initialLimits and may lower them to next.
func trackerWithNext(next storage.Limits) *storage.LimitTracker {
	l := initialLimits
	l.Next = &next
	return storage.NewLimitTracker(l)
}

// trackerWithTimeout returns a tracker that starts with initialLimits and the given request timeout,
// and may lower the limits to lowestLimits.
func trackerWithTimeout(timeout time.Duration) *storage.LimitTracker {
	l := initialLimits
	l.RequestTimeout = timeout
	l.Next = &lowestLimits
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

// setLimits sets the limits on values and transactions that the store enforces.
func (f *fixture) setLimits(l storage.Limits) {
	f.Update(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = l.ValueBytes, l.TxnOps })
}

// chunks returns the stored chunks.
func (f *fixture) chunks() []storage.Item {
	f.t.Helper()
	chunks, _, _, err := f.List(f.t.Context(), chunkPrefix, "", 1000)
	if err != nil {
		f.t.Fatalf("list chunks: %v", err)
	}
	return chunks
}

// encodedChunkKeys returns the keys of the stored chunks that the first versions can't read.
func (f *fixture) encodedChunkKeys() (encoded []string) {
	f.t.Helper()
	for _, c := range f.chunks() {
		if storage.IsNonPlain(c.Data) {
			encoded = append(encoded, c.Key)
		}
	}
	return encoded
}

// records returns the data of the records that the next leader reads, by key.
func (f *fixture) records() map[string]string {
	f.t.Helper()
	j, err := storage.OpenJournal(f.t.Context(), f, storage.NewLimitTracker(initialLimits), f.leadership)
	if err != nil {
		f.t.Fatalf("open journal: %v", err)
	}
	records := make(map[string]string)
	for _, r := range j.Records() {
		records[r.Key] = string(r.Data)
	}
	return records
}

// testJournal is a running journal. It stops when its context or the test ends.
type testJournal struct {
	*storage.Journal
	t *testing.T
}

// open opens and runs a journal whose tracker knows no lower limits.
func (f *fixture) open() *testJournal {
	f.t.Helper()
	return f.openWith(f.t.Context(), storage.NewLimitTracker(initialLimits))
}

// openWith opens and runs a journal that may use any encoding.
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
		_ = j.Run(ctx) // tests receive its errors through acknowledgements
	}()
	f.t.Cleanup(func() { <-ended }) // t cancels its context before it runs cleanups
	return &testJournal{j, f.t}
}

// openUnderLoweredLimits lowers the limits of the store, and opens and runs a journal whose
// tracker has observed the lowered limits.
func (f *fixture) openUnderLoweredLimits(ctx context.Context) *testJournal {
	f.t.Helper()
	f.setLimits(loweredLimits)
	tracker := trackerWithNext(loweredLimits)
	tracker.Observe(storage.ErrMalformed)
	return f.openWith(ctx, tracker)
}

// append appends a batch, waits for the acknowledgement and returns its error.
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

// write appends a batch, and fails the test unless the batch becomes durable.
func (j *testJournal) write(data map[string]any) {
	j.t.Helper()
	if err := j.append(data); err != nil {
		j.t.Fatalf("append: %v", err)
	}
}

// writeGrowingRecords writes records p0, p1, ... of increasing sizes, each in a separate commit.
func (j *testJournal) writeGrowingRecords(records int) {
	j.t.Helper()
	for i := range records {
		j.write(map[string]any{numberedKey("p", i): text(i, minRecordBytes(i))})
	}
}

// minRecordBytes returns the minimum size of record i of writeGrowingRecords.
func minRecordBytes(i int) int { return 300 + 40*i }

// maxMigrationSteps is more than the number of steps that any migration of these tests takes.
const maxMigrationSteps = 25

// migrateToPlain runs migration steps until no chunk is encoded, or until it has run
// maxMigrationSteps. It returns the number of encoded chunks that are left.
func (j *testJournal) migrateToPlain() (encoded int) {
	j.t.Helper()
	for range maxMigrationSteps {
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

func numberedKey(prefix string, i int) string { return fmt.Sprintf("%s%d", prefix, i) }

// text returns a string that begins with the number i, followed by about the given number
// of bytes in JSON. If i is odd, the text is random data in base64, which hardly compresses.
func text(i, bytes int) string {
	if i%2 == 0 {
		return fmt.Sprintf("%d:%s", i, strings.Repeat(`"`, bytes/2)) // a quote takes two bytes in JSON
	}
	r := rand.New(rand.NewPCG(7, uint64(i)))
	raw := make([]byte, bytes*3/4)
	for k := range raw {
		raw[k] = byte(r.Uint32())
	}
	return fmt.Sprintf("%d:%s", i, base64.StdEncoding.EncodeToString(raw))
}

// marshal returns the JSON encoding of a record's data.
func marshal(t *testing.T, data any) string {
	t.Helper()
	raw, err := json.Marshal(data)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
