package coordination

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/peer"
	"sagevale/internal/worker"
)

// A domain field that isn't mapped would be lost between controllers without any error.
func TestEveryDomainFieldIsMapped(t *testing.T) {
	t.Run("request", func(t *testing.T) {
		want := filled[api.Request](t)
		sent := FromRequest(&want)
		mustEqual(t, sent.Request(), want)
	})
	t.Run("response", func(t *testing.T) {
		want := filled[api.Response](t)
		sent := FromResponse(&want)
		mustEqual(t, sent.Response(), want)
	})
	t.Run("status", func(t *testing.T) {
		want := filled[peer.Status](t)
		sent := FromStatus(want)
		mustEqual(t, sent.Status(), want)
	})
	t.Run("report", func(t *testing.T) {
		want := filled[worker.Report](t)
		mustEqual(t, *Reports(FromReports([]*worker.Report{&want}))[0], want)
	})
	t.Run("heartbeat response", func(t *testing.T) {
		want := filled[worker.HeartbeatResponse](t)
		mustEqual(t, HeartbeatResponses(FromHeartbeatResponses([]worker.HeartbeatResponse{want}))[0], want)
	})
}

func TestRelayBatchesSurviveTheWire(t *testing.T) {
	user, report := filled[api.Request](t), filled[worker.Report](t)
	requests := []RelayRequest{{User: &user}, {Report: &report}}
	var buf bytes.Buffer
	if err := EncodeRelayRequests(&buf, requests); err != nil {
		t.Fatal(err)
	}
	gotRequests, err := DecodeRelayRequests(&buf)
	if err != nil {
		t.Fatal(err)
	}
	mustEqual(t, gotRequests, requests)

	response, heartbeat := filled[api.Response](t), filled[worker.HeartbeatResponse](t)
	responses := []RelayResponse{{Answered: true, User: &response}, {Answered: true, Heartbeat: &heartbeat}, {}}
	buf.Reset()
	if err := EncodeRelayResponses(&buf, responses); err != nil {
		t.Fatal(err)
	}
	gotResponses, err := DecodeRelayResponses(&buf)
	if err != nil {
		t.Fatal(err)
	}
	mustEqual(t, gotResponses, responses)
}

func TestNilStaysNil(t *testing.T) {
	if FromReports(nil) != nil || Reports(nil) != nil {
		t.Error("nil reports become a list")
	}
	if FromHeartbeatResponses(nil) != nil || HeartbeatResponses(nil) != nil {
		t.Error("nil responses become a list")
	}
}

func mustEqual[T any](t *testing.T, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// filled returns a value no field of which is zero.
func filled[T any](t *testing.T) T {
	t.Helper()
	var v T
	next := 0
	fill(t, reflect.ValueOf(&v).Elem(), &next)
	return v
}

func fill(t *testing.T, v reflect.Value, next *int) {
	t.Helper()
	*next++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Float64:
		v.SetFloat(float64(*next))
	case reflect.String:
		v.SetString(time.Duration(*next).String())
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(t, v.Index(i), next)
		}
	case reflect.Struct:
		for _, field := range v.Fields() {
			fill(t, field, next)
		}
	default:
		t.Fatalf("no value for %v", v.Type())
	}
}
