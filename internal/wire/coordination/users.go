package coordination

import (
	"sagevale/internal/api"
	"sagevale/internal/storage"
)

// FromRequest converts a user's request to its wire form.
func FromRequest(r *api.Request) UserRequest {
	return UserRequest{Op: r.Op, ID: r.ID, Spec: fromSpec(&r.Spec)}
}

// Request converts a received request from its wire form.
func (r *UserRequest) Request() api.Request {
	return api.Request{Op: r.Op, ID: r.ID, Spec: r.Spec.spec()}
}

// FromResponse converts the response to a user's request to its wire form.
func FromResponse(r *api.Response) Answer {
	return Answer{
		Code: r.Code, ID: r.ID, State: r.State, Done: r.Done, Running: r.Running,
		Reason: r.Reason, RetryS: r.RetrySeconds, Peer: FromStatus(r.Peer), Holds: r.ValidFor,
	}
}

// Response converts a received response from its wire form.
func (a *Answer) Response() api.Response {
	return api.Response{
		Code: a.Code, ID: a.ID, State: a.State, Done: a.Done, Running: a.Running,
		Reason: a.Reason, RetrySeconds: a.RetryS, Peer: a.Peer.Status(), ValidFor: a.Holds,
	}
}

func fromSpec(s *storage.Spec) Spec {
	return Spec{
		ID: s.ID, Class: s.Class, Team: s.Team, Service: s.Service, Gang: s.Gang, Priority: s.Priority,
		Tasks: s.Tasks, Room: Room(s.Resources), Types: s.Types, Zone: s.Zone,
		SameZone: s.SameZone, Spread: s.Spread, Spot: s.Spot, Image: s.Image, ImageGB: s.ImageGB,
		EstimateS: s.EstimateS, CheckpointS: s.CheckpointS, SaveS: s.SaveS, DeadlineS: s.DeadlineS,
	}
}

func (s *Spec) spec() storage.Spec {
	return storage.Spec{
		ID: s.ID, Class: s.Class, Team: s.Team, Service: s.Service, Gang: s.Gang, Priority: s.Priority,
		Tasks: s.Tasks, Resources: storage.Resources(s.Room), Types: s.Types, Zone: s.Zone,
		SameZone: s.SameZone, Spread: s.Spread, Spot: s.Spot, Image: s.Image, ImageGB: s.ImageGB,
		EstimateS: s.EstimateS, CheckpointS: s.CheckpointS, SaveS: s.SaveS, DeadlineS: s.DeadlineS,
	}
}
