// Package archive owns the final states of finished jobs, outside of the journal and of the
// leader's memory.
//
// Jobs are ordered by their numbers, which stand for their ids. A page holds the jobs of one range
// of numbers, packed, under one key of the key-value store. The key names the upper end of the
// range, so the first key that isn't below a number is the one of its page.
//
// Every controller runs an Archiver, the actor that reads pages and, while its controller leads,
// writes them. Its methods and those of Index may be called from any goroutine. JobNumber, Page
// and Index do no input or output.
//
// The invariants:
//
//   - Pages are written only by the leader, in transactions that are guarded by the leadership key
//     and by the versions of all pages that they touch. So a write that is applied late or twice
//     has no effect once another one has followed.
//   - Once there are pages, their ranges cover all numbers without gaps: a missing page never
//     looks like a range without jobs.
//   - A final state never changes, so a job that was found stays found. That a job is in no page
//     is known only to a leader that has read the page in its own term.
package archive
