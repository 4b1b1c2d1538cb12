package protocol

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// wireReport returns the JSON of a worker's report with the given sequence number and number of running tasks.
func wireReport(seq uint64, tasks int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"Mount":"host-000231","Addr":"10.1.0.232:9000","Breed":"g8","Pasture":"a","Loaner":true,"Ride":1,"Tally":%d,"Baton":41,"WarningS":null,"Chores":[`, seq)
	for i := range tasks {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"Chore":"job-%06d/%d","Try":%d,"Standing":"running"}`, 1000+i, i, 7+i)
	}
	b.WriteString("]}")
	return b.String()
}

// A ReportReader must return the same results as ParseReport, regardless of the preceding reports on the connection.
func TestReportReaderMatchesParseReport(t *testing.T) {
	bodies := []string{
		wireReport(88, 3), wireReport(89, 3), wireReport(90, 3), wireReport(90, 2), wireReport(91, 0), wireReport(18446744073709551615, 3),
		strings.Replace(wireReport(88, 3), `"Tally":88`, `"Tally": 88`, 1),
		strings.Replace(wireReport(88, 3), `"Tally":88`, `"Tally":088`, 1),
		strings.Replace(wireReport(88, 3), `"Tally":88`, `"Tally":0`, 1),
		strings.Replace(wireReport(88, 3), `"Tally":88`, `"Tally":-88`, 1),
		strings.Replace(wireReport(88, 3), `"Tally":88`, `"Tally":8e1`, 1),
		strings.Replace(wireReport(88, 3), `"Tally":88`, `"Tally":`, 1),
		strings.Replace(wireReport(88, 3), `"Tally":88`, `"Tally":99999999999999999999`, 1),
		strings.Replace(wireReport(88, 3), `"Tally":88`, `"Tally":88,"tally":88`, 1),
		strings.Replace(wireReport(89, 3), `"Tally":89`, `"Tally":89,"tally":88`, 1),
		strings.Replace(wireReport(88, 3), `"Tally":88`, `"x\"Tally":88,"\u0054ally":88`, 1),
		strings.Replace(wireReport(89, 3), `"Tally":89`, `"x\"Tally":89,"\u0054ally":88`, 1),
		strings.Replace(wireReport(88, 3), "running", "pulling", 1),
		strings.Replace(wireReport(89, 3), "running", "pulling", 1),
		strings.Replace(wireReport(88, 3), `"Ride":1`, `"Ride":2`, 1),
		strings.Replace(wireReport(88, 3), `"WarningS":null`, `"WarningS":7.5`, 1),
		strings.Replace(wireReport(89, 3), `"WarningS":null`, `"WarningS":7.5`, 1),
		wireReport(88, 3) + "x", wireReport(88, 100), wireReport(89, 100), "{}", "", "null",
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var reader ReportReader
	unchanged := 0
	for range 20000 {
		body := []byte(bodies[rng.IntN(len(bodies))])
		if reader.readUnchanged(body) != nil {
			unchanged++
		}
		got, err := reader.Read(body)
		want, wantErr := ParseReport(body)
		if (err == nil) != (wantErr == nil) || !reflect.DeepEqual(got, want) {
			t.Fatalf("%s\nis read as %+v, %v\nParseReport returns %+v, %v", body, got, err, want, wantErr)
		}
		if got != nil && rng.IntN(8) == 0 {
			got.Seq, got.Token = 1, 1 // the caller may modify a report, except for its tasks
		}
	}
	if unchanged < 300 {
		t.Errorf("%d reports were recognized as unchanged, want at least 300", unchanged)
	}
}

// Unchanged reports are by far the most frequent messages, so they must not be decoded again. An unchanged report differs
// from the previous report on the connection only in its sequence number.
func TestReportReaderAllocations(t *testing.T) {
	var reader ReportReader
	bodies := make([][]byte, 0, 64)
	for i := range 64 {
		bodies = append(bodies, []byte(wireReport(uint64(100+i), 8)))
	}
	i := 0
	allocs := testing.AllocsPerRun(500, func() {
		if _, err := reader.Read(bodies[i%len(bodies)]); err != nil {
			t.Fatal(err)
		}
		i++
	})
	if allocs > 2 {
		t.Errorf("%.0f allocations for an unchanged report, want at most 2", allocs)
	}
}

// The memory for a connection's cached report must be bounded.
func TestReportReaderDoesNotCacheLargeReport(t *testing.T) {
	var reader ReportReader
	if _, err := reader.Read([]byte(wireReport(1, 1000))); err != nil {
		t.Fatal(err)
	}
	if got := len(reader.prefix) + len(reader.suffix); got != 0 {
		t.Errorf("%d bytes are cached, want none", got)
	}
}

func BenchmarkReportReaderUnchanged(b *testing.B) {
	var reader ReportReader
	body := []byte(wireReport(100, 8))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := reader.Read(body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkParseReport(b *testing.B) {
	body := []byte(wireReport(100, 8))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseReport(body); err != nil {
			b.Fatal(err)
		}
	}
}
