// Package storage persists the state that must survive the loss of every controller: the records
// of jobs, task attempts, machines and launches. The Journal keeps these records in the
// consensus-backed key-value store, which operators call the "state service". The journal is a
// write-ahead journal of numbered chunks. A chunk is a list of records that is stored under one key.
//
// A Journal belongs to one leadership term. OpenJournal reads every chunk. The leader then runs the
// Journal in a goroutine of its own and appends batches of records. No other controller writes
// chunks.
// Reservations and the record types are plain values and are not safe for concurrent use.
// LimitTracker and the methods of Journal may be called from any goroutine unless their comments
// say otherwise.
//
// The invariants of the journal:
//
//   - Chunks are numbered without gaps, from the oldest to the newest. If several chunks hold
//     records of the same key, the record in the newest of these chunks is the current one.
//   - Every transaction of the journal has guards (compare-and-swap). The leadership key must have
//     the version of the leader's own term. The first new chunk of the transaction must not exist.
//     The chunk with the preceding number must exist, at the version at which it was written.
//     Thus a late or repeated copy of an applied transaction has no effect, and a leader whose
//     term has ended can't write. The very first transaction has no preceding chunk, so it writes
//     an empty chunk.
//   - Chunks are deleted oldest first, and only in a transaction that also writes their live
//     records again. A record is live if no newer record has the same key and if it doesn't remove
//     the entity. Removals need not be written again, because no older chunk holds a record of
//     the removed entity.
//   - Stored keys and the JSON bytes of records are a format shared with other versions of the
//     program: fields may be added, but never renamed. Fields written by a later version are
//     preserved when an earlier version rewrites the record.
package storage
