package protocol

import "sagevale/internal/config"

// Names of the operators' properties for the archive of finished jobs.
const (
	archiveEnabledProperty = "archive.enabled"
	archiveKeepProperty    = "archive.keep"
	archiveMemoryProperty  = "archive.memory.mb"
)

// Inclusive bounds of the values of archive.keep and archive.memory.mb.
const (
	maxKeptJobs        = 10_000_000 // limit on the number of finished jobs that stay in the journal
	minArchiveMemoryMB = 0.1
	maxArchiveMemoryMB = 1 << 20
)

// addArchive adds the parsers of the properties for the archive.
func (p propertyParsers) addArchive(v *validator, archive *config.Archive) {
	p[archiveEnabledProperty] = func(key, value string) { archive.Enabled = v.parseBool(key, value) }
	p[archiveKeepProperty] = func(key, value string) { archive.KeepInJournal = v.parseCount(key, value, 0, maxKeptJobs) }
	p[archiveMemoryProperty] = func(key, value string) {
		archive.MemoryBytes = int(v.parseNumber(key, value, minArchiveMemoryMB, maxArchiveMemoryMB) * bytesPerMB)
	}
}
