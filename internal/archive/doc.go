// Package archive stores the final states of finished jobs outside the journal and the leader's memory.
//
// Jobs are ordered by their job numbers, which are derived from their IDs. A page holds the packed entries
// of the jobs in one range of numbers and is stored under one key of the key-value store. The key
// contains the upper end of the range, so the page of a number is the first page whose upper end is at
// least that number.
//
// Every controller runs an Archiver, an actor that reads pages and, while its controller is the leader,
// writes them. The exported methods of Archiver and Index may be called from any goroutine. JobNumber,
// Page and Index do no input or output.
//
// The invariants:
//
//   - Only the leader writes pages. Each write is a transaction that is guarded by the leadership key and
//     by the versions of all pages that it touches. So once a page has been written again, an earlier
//     write of this page that is applied late or twice has no effect.
//   - Once there are pages, their ranges cover all numbers without gaps, so a missing page is never
//     mistaken for a range without jobs.
//   - A final state never changes, so a job that was found in a page stays found. But jobs may be added
//     to a page after it was read. Only a leader that has read the page in its own term can conclude
//     that a job isn't archived. A page that was read in this way is called exact for that term. The index
//     is exact for a term once all of its pages are.
package archive
