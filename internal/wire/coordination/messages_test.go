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

// Every field of a domain type must be converted to its wire type and back. A field that isn't converted would be lost
// between controllers without any error.
func TestEveryDomainFieldIsMapped(t *testing.T) {
	t.Run("request", func(t *testing.T) {
		want := nonZero[api.Request](t)
		sent := FromRequest(&want)
		checkEqual(t, sent.Request(), want)
	})
	t.Run("response", func(t *testing.T) {
		want := nonZero[api.Response](t)
		sent := FromResponse(&want)
		checkEqual(t, sent.Response(), want)
	})
	t.Run("status", func(t *testing.T) {
		want := nonZero[peer.Status](t)
		sent := FromStatus(want)
		checkEqual(t, sent.Status(), want)
	})
	t.Run("report", func(t *testing.T) {
		want := nonZero[worker.Report](t)
		checkEqual(t, *Reports(FromReports([]*worker.Report{&want}))[0], want)
	})
	t.Run("heartbeat response", func(t *testing.T) {
		want := nonZero[worker.HeartbeatResponse](t)
		checkEqual(t, HeartbeatResponses(FromHeartbeatResponses([]worker.HeartbeatResponse{want}))[0], want)
	})
}

func TestRelayBatchesRoundTrip(t *testing.T) {
	user, report := nonZero[api.Request](t), nonZero[worker.Report](t)
	requests := []RelayRequest{{User: &user}, {Report: &report}}
	var buf bytes.Buffer
	if err := EncodeRelayRequests(&buf, requests); err != nil {
		t.Fatal(err)
	}
	gotRequests, err := DecodeRelayRequests(&buf)
	if err != nil {
		t.Fatal(err)
	}
	checkEqual(t, gotRequests, requests)

	response, heartbeat := nonZero[api.Response](t), nonZero[worker.HeartbeatResponse](t)
	responses := []RelayResponse{{Answered: true, User: &response}, {Answered: true, Heartbeat: &heartbeat}, {}}
	buf.Reset()
	if err := EncodeRelayResponses(&buf, responses); err != nil {
		t.Fatal(err)
	}
	gotResponses, err := DecodeRelayResponses(&buf)
	if err != nil {
		t.Fatal(err)
	}
	checkEqual(t, gotResponses, responses)
}

func TestNilStaysNil(t *testing.T) {
	if FromReports(nil) != nil || Reports(nil) != nil {
		t.Error("nil reports become a list")
	}
	if FromHeartbeatResponses(nil) != nil || HeartbeatResponses(nil) != nil {
		t.Error("nil responses become a list")
	}
}

func checkEqual[T any](t *testing.T, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// nonZero returns a value in which no field is zero.
func nonZero[T any](t *testing.T) T {
	t.Helper()
	var v T
	next := 0
	setNonZero(t, reflect.ValueOf(&v).Elem(), &next)
	return v
}

func setNonZero(t *testing.T, v reflect.Value, next *int) {
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
		setNonZero(t, v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			setNonZero(t, v.Index(i), next)
		}
	case reflect.Struct:
		for _, field := range v.Fields() {
			setNonZero(t, field, next)
		}
	default:
		t.Fatalf("no value for %v", v.Type())
	}
}
