package coordination

import "sagevale/internal/worker"

// FromReports converts workers' reports to their wire form. It returns nil for nil.
func FromReports(reports []*worker.Report) []*Report {
	if reports == nil {
		return nil
	}
	sent := make([]*Report, len(reports))
	values := make([]Report, len(reports)) // allocated together rather than one by one
	for i, r := range reports {
		values[i] = fromReport(r)
		sent[i] = &values[i]
	}
	return sent
}

// Reports converts received reports from their wire form. It returns nil for nil.
func Reports(sent []*Report) []*worker.Report {
	if sent == nil {
		return nil
	}
	reports := make([]*worker.Report, len(sent))
	values := make([]worker.Report, len(sent))
	for i, r := range sent {
		values[i] = r.report()
		reports[i] = &values[i]
	}
	return reports
}

func fromReport(r *worker.Report) Report {
	var tasks []TaskReport
	if r.Tasks != nil {
		tasks = make([]TaskReport, len(r.Tasks))
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		tasks[i] = TaskReport{ID: TaskID(t.ID), Try: t.Attempt, State: t.State, Cause: t.Cause, Saved: t.Saved}
	}
	return Report{
		Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Incarnation, Seq: r.Seq, Token: r.Token, Notice: r.NoticeSeconds, Tasks: tasks,
	}
}

func (r *Report) report() worker.Report {
	var tasks []worker.TaskReport
	if r.Tasks != nil {
		tasks = make([]worker.TaskReport, len(r.Tasks))
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		tasks[i] = worker.TaskReport{ID: worker.TaskID(t.ID), Attempt: t.Try, State: t.State, Cause: t.Cause, Saved: t.Saved}
	}
	return worker.Report{
		Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Incarnation: r.Session, Seq: r.Seq, Token: r.Token, NoticeSeconds: r.Notice, Tasks: tasks,
	}
}

// FromHeartbeatResponses converts the responses to heartbeats to their wire form. It returns nil for nil.
func FromHeartbeatResponses(responses []worker.HeartbeatResponse) []BeatAnswer {
	if responses == nil {
		return nil
	}
	sent := make([]BeatAnswer, len(responses))
	for i := range responses {
		sent[i] = fromHeartbeatResponse(&responses[i])
	}
	return sent
}

// HeartbeatResponses converts received responses to heartbeats from their wire form. It returns nil for nil.
func HeartbeatResponses(sent []BeatAnswer) []worker.HeartbeatResponse {
	if sent == nil {
		return nil
	}
	responses := make([]worker.HeartbeatResponse, len(sent))
	for i := range sent {
		responses[i] = sent[i].response()
	}
	return responses
}

func fromHeartbeatResponse(r *worker.HeartbeatResponse) BeatAnswer {
	var orders []Order
	for i := range r.Commands {
		c := &r.Commands[i]
		orders = append(orders, Order{Verb: c.Verb, ID: TaskID(c.ID), Try: c.Attempt, GraceS: c.GraceSeconds})
	}
	return BeatAnswer{
		Accepted: r.Accepted, Token: r.Token, Orders: orders,
		Leader: r.Leader, Busy: r.Busy, Undecided: r.Undecided,
	}
}

func (a *BeatAnswer) response() worker.HeartbeatResponse {
	var commands []worker.Command
	for i := range a.Orders {
		o := &a.Orders[i]
		commands = append(commands, worker.Command{Verb: o.Verb, ID: worker.TaskID(o.ID), Attempt: o.Try, GraceSeconds: o.GraceS})
	}
	return worker.HeartbeatResponse{
		Accepted: a.Accepted, Token: a.Token, Commands: commands,
		Leader: a.Leader, Busy: a.Busy, Undecided: a.Undecided,
	}
}
