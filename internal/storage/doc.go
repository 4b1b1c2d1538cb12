// Package storage owns the state that must outlive every controller: the records of jobs,
// task attempts, machines and launches, and the Journal, a write-ahead journal of numbered
// chunks that keeps them in the consensus-backed key-value store (the operators' "state
// service").
//
// A Journal belongs to one term of leadership. The leader opens it, which reads every chunk,
// runs it in a goroutine of its own and appends batches of records; no other controller
// writes. Reservations and the record types are plain values and are not safe for concurrent
// use; LimitTracker and the methods of Journal may be called from any goroutine unless they
// say otherwise.
//
// The invariants of the journal:
//
//   - Every commit is one guarded transaction (compare-and-swap). It is guarded by the
//     leadership key at the leader's revision, by the absence of its own first chunk and by
//     the presence of the chunk before that one at the revision at which it was written. So
//     a transaction that is applied late or twice has no effect, and a leader whose term has
//     ended can't write.
//   - Chunks are numbered without gaps, from the oldest to the newest. For each key the
//     record in the newest chunk wins.
//   - A chunk is deleted only as the oldest, and only in a transaction that writes the
//     records again whose newest version it holds.
//   - Stored keys and the JSON bytes of records are a format shared with other versions:
//     fields may be added, but never renamed, and fields written by a later version survive
//     a rewrite by an earlier one.
package storage
