package scheduler

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"testing"
	"time"

	"sagevale/internal/archive"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
)

// finishedJobCount is the number of finished jobs in the benchmarks: as many as a large fleet finishes in a day.
const finishedJobCount = 190_000

// liveHeapBytes returns the size of the live heap objects. It runs the garbage collector twice, so that objects with
// finalizers are freed too.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// finishedJobID returns the ID of the i-th finished job. The IDs are distinct and in no particular order.
func finishedJobID(i int) string { return fmt.Sprintf("%09d", (i+1)*387_420_489%500_000_000) }

// BenchmarkFinishedInTheJournal measures how a leader loads the records of finished jobs from the journal. It reports the time
// and the memory per job.
func BenchmarkFinishedInTheJournal(b *testing.B) {
	records := make([]storage.Record, 0, finishedJobCount)
	for i := range finishedJobCount {
		r, err := storage.NewRecord(storage.JobKey(finishedJobID(i)), storage.JobRecord{Phase: storage.PhaseDone, Tasks: 10, SubmittedMS: 1_796_000_000_000, DoneTasks: 10})
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, r)
	}
	for b.Loop() {
		sched := newTestScheduler(b, clustertest.Settings())
		before := liveHeapBytes()
		began := time.Now()
		if err := sched.loadRecords(records); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(time.Since(began).Nanoseconds())/finishedJobCount, "ns/job")
		b.ReportMetric(float64(liveHeapBytes()-before)/finishedJobCount, "heap-B/job")
		runtime.KeepAlive(sched)
	}
}

// BenchmarkFinishedInTheArchive measures how a node loads the archive pages of finished jobs into its index. It reports the
// time, the memory and the stored bytes per job.
func BenchmarkFinishedInTheArchive(b *testing.B) {
	limits := storage.Limits{RequestsPerS: 1e6, ChangesPerS: 1e6, ValueBytes: 8192, TxnOps: 32}
	service := storagetest.NewService()
	bytes := storeArchivePages(b, service, &limits)
	for b.Loop() {
		before := liveHeapBytes()
		began := time.Now()
		archiver := archive.NewArchiver(&storagetest.Client{Service: service}, storage.NewLimitTracker(limits),
			archive.Settings{RefreshInterval: time.Hour, RequestTimeout: time.Minute, MemoryBytes: 1 << 30, Follow: true}, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(b.Context())
		go archiver.Run(ctx)
		for !archiver.Index.Stats().Complete {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric(float64(time.Since(began).Nanoseconds())/finishedJobCount, "ns/job")
		cancel()
		b.ReportMetric(float64(liveHeapBytes()-before)/finishedJobCount, "heap-B/job")
		b.ReportMetric(float64(bytes)/finishedJobCount, "stored-B/job")
		runtime.KeepAlive(archiver)
	}
}

// storeArchivePages stores an archive of all finished jobs, and returns its size in bytes.
func storeArchivePages(b *testing.B, service *storagetest.Service, limits *storage.Limits) (bytes int) {
	entries := make([]archive.Entry, 0, finishedJobCount)
	for i := range finishedJobCount {
		entries = append(entries, archive.Entry{Number: jobNumber(b, finishedJobID(i)), FinalState: archive.FinalState{Done: 10}})
	}
	slices.SortFunc(entries, func(a, b archive.Entry) int { return cmp.Compare(a.Number, b.Number) })
	ops, err := archive.Build(entries, limits)
	if err == nil {
		_, err = service.Apply(nil, ops)
	}
	if err != nil {
		b.Fatal(err)
	}
	for _, op := range ops {
		bytes += len(op.Key) + len(op.Data)
	}
	return bytes
}
