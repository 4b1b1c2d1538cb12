// Package storage persists the state that must survive the loss of every controller: the records
// of jobs, task attempts, machines and launches. The Journal, a write-ahead journal of numbered
// chunks, keeps them in the consensus-backed key-value store, which operators call the "state
// service".
//
// A Journal belongs to one leadership term. The leader opens it, which reads every chunk, runs it
// in a goroutine of its own and appends batches of records. No other controller writes to it.
// Reservations and the record types are plain values and are not safe for concurrent use.
// LimitTracker and the methods of Journal may be called from any goroutine unless their comments
// say otherwise.
//
// The invariants of the journal:
//
//   - Every transaction of the journal is guarded (compare-and-swap). Its guards require that
//     the leadership key has the version of the leader's own term, that the first chunk that
//     the transaction writes doesn't exist, and that the chunk before that one exists at the
//     version at which it was written. Thus a transaction that is applied late or twice has no
//     effect, and a leader whose term has ended can't write. The very first transaction has no
//     chunk before its own, so it writes an empty chunk.
//   - Chunks are numbered without gaps, from the oldest to the newest. For each key the record
//     in the newest chunk is the current one.
//   - Only the oldest chunk may be deleted, and only in a transaction that also writes its live
//     records again: those that no newer chunk supersedes. Removals need not be written again,
//     because no older chunk holds a record of the removed entity.
//   - Stored keys and the JSON bytes of records are a format shared with other versions of the
//     program: fields may be added, but never renamed. Fields written by a later version are
//     preserved when an earlier version rewrites the record.
package storage
