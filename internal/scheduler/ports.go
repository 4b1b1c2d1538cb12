package scheduler

import (
	"context"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/cloud"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// WorkerLink sends commands straight to workers.
type WorkerLink interface {
	// Orders sends a command, unless it can't before sendBy: its sender may have lost
	// the lead by then. A zero sendBy is no bound.
	SendCommands(ctx context.Context, addr string, token, session uint64, orders []worker.Command, sendBy time.Time) (worker.Outcome, *worker.Report)
}

// The states of the cloud's list.

// Errors of the cloud.

// Cloud rents machines.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]storage.MachineType, error)
	Launch(ctx context.Context, name string, h storage.LaunchRecord) ([]int, error)
	Terminate(ctx context.Context, machines []int) error
	// List reads a page of the machines after one of that number; with noMachine,
	// from the first.
	List(ctx context.Context, after int, limit int) (machines []cloud.Machine, more bool, err error)
}

// PeerLink forwards users' requests and workers' reports to another node.
type PeerLink interface {
	// Forward asks the named node; an error means that no answer came.
	Forward(ctx context.Context, node string, req api.Request) (api.Response, error)
	// Heartbeats hands reports to the named node, which answers each.
	ForwardHeartbeats(ctx context.Context, node string, reports []*worker.Report) ([]worker.HeartbeatResponse, error)
	// Wake tells the named node of demand for a model; an error means that no answer came.
	Wake(ctx context.Context, node string, req activation.WakeRequest) (activation.WakeResponse, error)
	// ReportUsage tells the named node how models are used here; an error means that no answer came.
	ReportUsage(ctx context.Context, node string, report activation.UsageReport) (activation.UsageResponse, error)
	// Status is the named node's latest status; ok is false if there is none.
	Status(node string) (w peer.ObservedStatus, ok bool)
	// UnreachableFor is for how long the named node has been out of reach; 0: it is
	// in reach.
	UnreachableFor(node string) time.Duration
	// KnownLeader is the latest leader that the peers have told of lately, with its
	// term; 0: none.
	KnownLeader() (leader string, term uint64)
}
