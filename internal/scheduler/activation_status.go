package scheduler

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
	"sagevale/internal/upgradecontrol"
)

// ServiceStatus is the stored state of an open service that scales to zero, or of one whose class is listed to do so, for
// operators.
type ServiceStatus struct {
	ID      string
	Class   string
	Record  activation.Record // its Replica is the attempt that may exist on a machine
	Machine int               // of the replica
	Managed bool              // it has a lifecycle record; else it always runs
	Damaged string            // what is wrong with its record; "": nothing
	Why     string            // why it isn't idle, or not ready; "": it is idle
}

// ActivationStatus is the stored state of all such services.
type ActivationStatus struct {
	Gate     upgrade.GateState // the zero state is closed
	Waiting  string            // what the latest leader to say so waits for; "": nothing
	Services []ServiceStatus   // by id
}

// ReadActivationStatus reads the journal. It writes nothing.
func ReadActivationStatus(ctx context.Context, svc storage.KeyValueStore, s *config.Settings) (ActivationStatus, error) {
	upgrading, err := upgradecontrol.ReadStatus(ctx, svc, s)
	if err != nil {
		return ActivationStatus{}, err
	}
	status := ActivationStatus{Gate: upgrading.Record.Gate(upgrade.Activation), Waiting: upgrading.Waiting}
	journal, err := storage.OpenJournal(ctx, svc, storage.NewLimitTracker(s.State), storage.Guard{})
	if err != nil {
		return ActivationStatus{}, err
	}
	services := make(map[string]*ServiceStatus)
	records := journal.Records()
	for _, r := range records {
		if r.Key[0] != storage.KindJob {
			continue
		}
		if service := serviceStatus(r, &s.Tuning.Activation); service != nil {
			services[service.ID] = service
		}
	}
	for _, r := range records {
		if r.Key[0] == storage.KindPage {
			notePlace(services, r)
		}
	}
	for _, service := range services {
		service.explain(time.Now())
		status.Services = append(status.Services, *service)
	}
	slices.SortFunc(status.Services, func(a, b ServiceStatus) int { return strings.Compare(a.ID, b.ID) })
	return status, nil
}

// serviceStatus decodes a job's record, and returns nil unless it is such a service's.
func serviceStatus(r storage.Record, tuning *config.Activation) *ServiceStatus {
	var job storage.JobRecord
	if json.Unmarshal(r.Data, &job) != nil || job.Phase != storage.Open || job.Spec == nil || !job.Spec.Service {
		return nil
	}
	if job.Activation == nil && !slices.Contains(tuning.Classes, job.Spec.Class) {
		return nil
	}
	service := &ServiceStatus{ID: r.Key[1:], Class: job.Spec.Class, Managed: job.Activation != nil}
	if !service.Managed {
		return service
	}
	record, err := activation.Decode(r.Key, job.Activation)
	if err != nil {
		service.Damaged = err.Error()
	}
	service.Record = record
	return service
}

// notePlace reads the attempt and machine of a service's replica from a page.
func notePlace(services map[string]*ServiceStatus, r storage.Record) {
	id, _, _ := strings.Cut(r.Key[1:], "/")
	service := services[id]
	var page storage.PageRecord
	if service == nil || json.Unmarshal(r.Data, &page) != nil {
		return
	}
	for _, a := range page.Attempts {
		service.Record.Replica, service.Machine = a.Number, a.Machine
	}
}

// explain sets Why.
func (s *ServiceStatus) explain(now time.Time) {
	switch {
	case s.Damaged != "":
		s.Why = s.Damaged
	case !s.Managed:
		s.Why = "runs always: it has several tasks, or was accepted before this was in force"
	case s.Record.BackoffRemaining(now) > 0:
		s.Why = "rests for " + s.Record.BackoffRemaining(now).Round(time.Second).String() + " after starts that failed"
	case s.Record.State == activation.Starting && s.Record.Replica == activation.NoReplica:
		s.Why = "there was demand; waits for room on a machine"
	case s.Record.State == activation.Starting:
		s.Why = "there was demand; its replica doesn't answer yet"
	case s.Record.State == activation.Ready:
		s.Why = "requests within the idle window, or a controller is silent"
	case s.Record.State == activation.Draining:
		s.Why = "waits until no controller passes requests on"
	case s.Record.State == activation.Stopping:
		s.Why = "waits for the proof that its replica is gone"
	}
}
