// Package archive stores the final states of finished jobs outside the journal and the leader's memory.
//
// Jobs are ordered by their job numbers, which are derived from their IDs. A page holds the packed entries
// of the jobs in one range of numbers and is stored under one key of the key-value store. The key
// contains the upper end of the range, so the page of a number is the first one whose upper end isn't
// below that number.
//
// Every controller runs an Archiver, an actor that reads pages and, while its controller is the leader,
// writes them. The exported methods of Archiver and Index may be called from any goroutine. JobNumber,
// Page and Index do no input or output.
//
// The invariants:
//
//   - Only the leader writes pages, in transactions that are guarded by the leadership key and by the
//     versions of all pages that they touch. So a write that is applied late or twice has no effect
//     once another write of the same page has followed.
//   - Once there are pages, their ranges cover all numbers without gaps, so a missing page is never
//     mistaken for a range without jobs.
//   - A final state never changes, so a job that was found in a page stays found. Only a leader that
//     has read the page in its own term can conclude that a job is in no page. Such a page is called
//     exact for that term, and so is the index once all of its pages are exact for the term.
package archive
