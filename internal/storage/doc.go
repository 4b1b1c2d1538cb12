// Package storage persists the state that must survive the loss of every controller: the records
// of jobs, task attempts, machines and launches. The Journal keeps these records in the
// consensus-backed key-value store, which operators call the "state service". The journal is a
// write-ahead journal of numbered chunks. A chunk is a list of records that is stored under one key.
//
// A Journal belongs to one leadership term, which is the time during which one controller leads.
// OpenJournal reads every chunk. The leader then runs the Journal in a goroutine of its own and
// appends batches of records. No other controller writes chunks. Reservations and the record types
// are plain values and are not safe for concurrent use. LimitTracker and the methods of Journal may
// be called from any goroutine unless their comments say otherwise.
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
//     an empty chunk, which does no harm if it is written twice: see ensurePreviousChunk.
//   - Chunks are deleted oldest first, and only in a transaction that also writes their live
//     records again. A record is live if no newer record has the same key and if it doesn't remove
//     its entity, such as a job or a machine. Removals need not be written again: once the chunk of
//     a removal is deleted, no chunk is left that could hold an earlier record of the removed entity.
//   - Stored keys and the JSON bytes of records are a format shared with other versions of the
//     program: fields may be added, but never renamed. Fields written by a later version of the program
//     are preserved when an earlier version of the program rewrites the record.
package storage
