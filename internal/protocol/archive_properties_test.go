package protocol

import (
	"strings"
	"testing"

	"sagevale/internal/config"
)

func TestArchiveProperties(t *testing.T) {
	for _, c := range []struct {
		file  string
		want  config.Archive
		fails string
	}{
		{file: "archive.enabled = true\narchive.keep = 0\narchive.memory.mb = 0.5\n", want: config.Archive{Enabled: true, MemoryBytes: 512 << 10}},
		{file: "archive.keep = 12\narchive.memory.mb = 1\n", want: config.Archive{KeepInJournal: 12, MemoryBytes: 1 << 20}},
		{file: "archive.enabled = on\n", fails: "p: archive.enabled: must be true or false"},
		{file: "archive.keep = -1\n", fails: "p: archive.keep: "},
		{file: "archive.keep = many\n", fails: "p: archive.keep: "},
		{file: "archive.memory.mb = 0\n", fails: "p: archive.memory.mb: "},
		{file: "archive.memory.mb = NaN\n", fails: "p: archive.memory.mb: "},
		{file: "archive.size = 1\n", fails: "p: archive.size: unknown property"},
		{file: "fencing.window = 0\n", fails: "p: fencing.window: "},
		{file: "fencing.window = 129\n", fails: "p: fencing.window: "},
		{file: "fencing.enabled = 1.5\n", fails: "p: fencing.enabled: must be true or false"},
		{file: "fencing.enabled = true\nfencing.window = 128\n", want: config.Archive{KeepInJournal: 1835, MemoryBytes: 6422528}},
	} {
		s, err := ParseSettings("s.toml", []byte(goodSettings))
		if err != nil {
			t.Fatal(err)
		}
		if s.Tuning.Archive.Enabled || s.Tuning.Fencing.Enabled {
			t.Error("on by default")
		}
		err = parseProperties("p", []byte(c.file), s)
		switch {
		case c.fails != "" && (err == nil || !strings.HasPrefix(err.Error(), c.fails) || strings.Contains(err.Error(), "\n")):
			t.Errorf("%q: %v", c.file, err)
		case c.fails == "" && (err != nil || s.Tuning.Archive != c.want):
			t.Errorf("%q: %+v %v", c.file, s.Tuning.Archive, err)
		}
	}
}
