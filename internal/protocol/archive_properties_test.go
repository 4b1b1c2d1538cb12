package protocol

import (
	"testing"

	"sagevale/internal/config"
)

func TestArchiveAndFencingProperties(t *testing.T) {
	for _, tc := range []struct {
		file      string
		want      config.Archive
		wantError string
	}{
		{file: "archive.enabled = true\narchive.keep = 0\narchive.memory.mb = 0.5\n", want: config.Archive{Enabled: true, MemoryBytes: 512 << 10}},
		{file: "archive.keep = 12\narchive.memory.mb = 1\n", want: config.Archive{KeepInJournal: 12, MemoryBytes: 1 << 20}},
		{file: "archive.enabled = on\n", wantError: "p: archive.enabled: must be true or false"},
		{file: "archive.keep = -1\n", wantError: "p: archive.keep: "},
		{file: "archive.keep = many\n", wantError: "p: archive.keep: "},
		{file: "archive.memory.mb = 0\n", wantError: "p: archive.memory.mb: "},
		{file: "archive.memory.mb = NaN\n", wantError: "p: archive.memory.mb: "},
		{file: "archive.size = 1\n", wantError: "p: archive.size: unknown property"},
		{file: "fencing.window = 0\n", wantError: "p: fencing.window: "},
		{file: "fencing.window = 129\n", wantError: "p: fencing.window: "},
		{file: "fencing.enabled = 1.5\n", wantError: "p: fencing.enabled: must be true or false"},
		// The properties of fencing leave the defaults of the archive as they are.
		{file: "fencing.enabled = true\nfencing.window = 128\n", want: config.Archive{KeepInJournal: 1835, MemoryBytes: 6422528}},
	} {
		t.Run(tc.file, func(t *testing.T) {
			s := parseTestSettings(t)
			if s.Tuning.Archive.Enabled || s.Tuning.Fencing.Enabled {
				t.Error("the archive or fencing is on by default")
			}
			err := parseProperties("p", []byte(tc.file), s)
			if tc.wantError != "" {
				checkFieldError(t, err, tc.wantError)
				return
			}
			if got := s.Tuning.Archive; err != nil || got != tc.want {
				t.Errorf("archive %+v, %v; want %+v", got, err, tc.want)
			}
		})
	}
}
