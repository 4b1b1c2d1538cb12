package protocol

import "sagevale/internal/config"

// The operators' properties on the archive of finished jobs.
const (
	archiveEnabledProperty = "archive.enabled"
	archiveKeepProperty    = "archive.keep"
	archiveMemoryProperty  = "archive.memory.mb"
)

const (
	// mostKept bounds how many finished jobs may stay out of the archive.
	mostKept = 10_000_000
	// leastArchiveMB and mostArchiveMB bound the memory for the archive's pages.
	leastArchiveMB = 0.1
	mostArchiveMB  = 1 << 20
)

// archiveProperties adds the properties on the archive to those known.
func (c *checker) archiveProperties(known map[string]func(string, string), tuning *config.Archive) {
	known[archiveEnabledProperty] = func(key, value string) { tuning.Enabled = c.parseBool(key, value) }
	known[archiveKeepProperty] = func(key, value string) { tuning.KeepInJournal = c.parseCount(key, value, 0, mostKept) }
	known[archiveMemoryProperty] = func(key, value string) {
		tuning.MemoryBytes = int(c.parseAmount(key, value, leastArchiveMB, mostArchiveMB) * (1 << 20))
	}
}
