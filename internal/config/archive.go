package config

// Archive is the operators' part of the archive of finished jobs.
type Archive struct {
	Enabled       bool // finished jobs are archived
	KeepInJournal int  // how many of them stay in the journal
	MemoryBytes   int  // for the archive's pages that are held in memory
}

const (
	// finishedJobBytes is what a finished job takes of the leader's memory.
	finishedJobBytes = 560
	// finishedMemoryShare of the memory quota may go to finished jobs that aren't archived: the more
	// there are, the more of them go into one write of a page.
	finishedMemoryShare = 0.01
	// pageMemoryShare of the memory quota may go to the archive's pages.
	pageMemoryShare = 1.0 / 16
	// restoreMemoryShare of the memory quota may go to jobs that are restored from the archive.
	restoreMemoryShare = 0.25
)

func (s *Settings) defaultArchive() Archive {
	return Archive{
		KeepInJournal: int(s.memoryBytes() * finishedMemoryShare / finishedJobBytes),
		MemoryBytes:   int(s.memoryBytes() * pageMemoryShare),
	}
}

// MaxRestoredJobs is how many archived jobs may be restored into the journal.
func (s *Settings) MaxRestoredJobs() int {
	return int(s.memoryBytes() * restoreMemoryShare / finishedJobBytes)
}
