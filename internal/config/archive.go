package config

// Archive holds the operators' settings for the archive of finished jobs.
type Archive struct {
	Enabled       bool // finished jobs are archived
	KeepInJournal int  // number of finished jobs that stay in the journal
	MemoryBytes   int  // limit on the memory for cached pages of the archive
}

const (
	// finishedJobBytes is the memory that a finished job takes in the leader.
	finishedJobBytes = 560
	// finishedMemoryShare is the share of the memory quota for finished jobs that aren't archived yet. The
	// more such jobs there are, the more of them are archived with one write of a page.
	finishedMemoryShare = 0.01
	// pageMemoryShare is the share of the memory quota for cached pages of the archive.
	pageMemoryShare = 1.0 / 16
	// restoreMemoryShare is the share of the memory quota for jobs restored from the archive.
	restoreMemoryShare = 0.25
)

// defaultArchive derives the defaults from the memory quota. The archive is off by default.
func (s *Settings) defaultArchive() Archive {
	return Archive{
		KeepInJournal: int(s.memoryBytes() * finishedMemoryShare / finishedJobBytes),
		MemoryBytes:   int(s.memoryBytes() * pageMemoryShare),
	}
}

// MaxRestoredJobs returns how many archived jobs may be restored into the journal.
func (s *Settings) MaxRestoredJobs() int {
	return int(s.memoryBytes() * restoreMemoryShare / finishedJobBytes)
}
