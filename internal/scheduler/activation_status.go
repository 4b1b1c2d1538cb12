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

// ServiceStatus holds the stored state of a service for operators. Only open services (neither done nor cancelled) have one,
// and only if they scale to zero or their class is configured to scale to zero.
type ServiceStatus struct {
	ID      string
	Class   string
	Record  activation.Record // Record.Replica is taken from the stored attempts, because the stored record lacks it
	Machine int               // ID of the replica's machine; 0 if there is no replica
	Managed bool              // the service has a lifecycle record; a service without one always runs
	Damaged string            // why the lifecycle record can't be decoded; "" if it can
	Reason  string            // the reason for the service's present state; "" if demand could start it at once
}

// ActivationStatus contains the stored state of the activation gate and the statuses of the services.
type ActivationStatus struct {
	Gate     upgrade.GateState // the zero value means that the gate is closed
	WaitsFor string            // what the upgrade waits for, as a leader last stored it; "" if it waits for nothing
	Services []ServiceStatus   // sorted by ID
}

// ReadActivationStatus reads the status from the upgrade records and the journal. It writes nothing.
func ReadActivationStatus(ctx context.Context, store storage.KeyValueStore, s *config.Settings) (ActivationStatus, error) {
	upgradeStatus, err := upgradecontrol.ReadStatus(ctx, store, s)
	if err != nil {
		return ActivationStatus{}, err
	}
	status := ActivationStatus{Gate: upgradeStatus.Record.Gate(upgrade.Activation), WaitsFor: upgradeStatus.Waiting}
	journal, err := storage.OpenJournal(ctx, store, storage.NewLimitTracker(s.State), storage.Guard{})
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
		if r.Key[0] == storage.KindTaskPage {
			setReplica(services, r)
		}
	}
	for _, service := range services {
		service.setReason(time.Now())
		status.Services = append(status.Services, *service)
	}
	slices.SortFunc(status.Services, func(a, b ServiceStatus) int { return strings.Compare(a.ID, b.ID) })
	return status, nil
}

// serviceStatus returns the status of the service in a job's record, in which the replica, its machine and Reason are not
// set. It returns nil if the job isn't an open service, or if the service has no lifecycle record and its class isn't
// configured to scale to zero.
func serviceStatus(r storage.Record, tuning *config.Activation) *ServiceStatus {
	var job storage.JobRecord
	if json.Unmarshal(r.Data, &job) != nil || job.Phase != storage.PhaseOpen || job.Spec == nil || !job.Spec.Service {
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

// setReplica sets a service's replica and the replica's machine from a page record, which holds the attempts of some of a
// job's tasks. It ignores pages of jobs that aren't in services.
func setReplica(services map[string]*ServiceStatus, r storage.Record) {
	id, _, _ := strings.Cut(r.Key[1:], "/")
	service := services[id]
	var page storage.TaskPageRecord
	if service == nil || json.Unmarshal(r.Data, &page) != nil {
		return
	}
	for _, a := range page.Attempts {
		service.Record.Replica, service.Machine = a.Number, a.Machine
	}
}

// setReason sets Reason, the reason for the service's present state.
func (s *ServiceStatus) setReason(now time.Time) {
	switch {
	case s.Damaged != "":
		s.Reason = s.Damaged
	case !s.Managed:
		s.Reason = "always runs: it has several tasks, or was accepted before scale-to-zero was enabled"
	case s.Record.BackoffRemaining(now) > 0:
		s.Reason = "backoff: no start for another " + s.Record.BackoffRemaining(now).Round(time.Second).String() + " after failed starts"
	case s.Record.State == activation.Starting && s.Record.Replica == activation.NoReplica:
		s.Reason = "demand arrived; waiting for free resources on a machine"
	case s.Record.State == activation.Starting:
		s.Reason = "demand arrived; its replica does not answer requests yet"
	case s.Record.State == activation.Ready:
		s.Reason = "requests within the idle window, or a controller has not reported its usage"
	case s.Record.State == activation.Draining:
		s.Reason = "draining: waiting until no controller forwards requests to it"
	case s.Record.State == activation.Stopping:
		s.Reason = "stopping: waiting for proof that its replica is gone"
	}
}
