package loopbacktest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// run reports until the machine is gone.
func (w *Workers) run(m *machine) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	pendingChange := false
	for {
		select {
		case <-w.closed:
			return
		case <-m.changed:
			pendingChange = true
		case <-timer.C:
		}
		w.mu.Lock()
		now := time.Now()
		pendingChange = w.settle(m, now) || pendingChange
		at := m.nextReport(w.timing, pendingChange)
		due := !m.silent && !now.Before(at)
		var r report
		if due {
			m.lastBeat = now
			r = m.report()
		}
		steward, gone := m.steward, m.deleted
		wake := w.wake(m, at, due, now)
		w.mu.Unlock()
		if gone {
			return
		}
		if due {
			pendingChange = false
			w.beat(m, r, steward)
		}
		timer.Reset(wake)
	}
}

// nextReport is when a machine reports next.
func (m *machine) nextReport(timing Timing, changed bool) time.Time {
	at := m.lastBeat.Add(timing.Report)
	if changed {
		at = m.lastBeat.Add(timing.Change)
	}
	if at.Before(m.tryNext) {
		at = m.tryNext
	}
	return at
}

// wake is how long a machine has nothing to do by itself.
func (w *Workers) wake(m *machine, report time.Time, reports bool, now time.Time) time.Duration {
	if reports {
		return 0 // look again once the answer has come
	}
	if m.silent {
		report = now.Add(w.timing.Report)
	}
	if next := w.nextChange(m); !next.IsZero() && next.Before(report) {
		report = next
	}
	return max(report.Sub(now), time.Millisecond)
}

func (m *machine) notify() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// beat sends one report and carries out its answer.
func (w *Workers) beat(m *machine, r report, steward int) {
	sent := time.Now()
	a, status, err := w.send(r, steward)
	took := time.Since(sent)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch next, named := w.names[a.Steward]; {
	case status == http.StatusOK && err == nil:
		_ = w.reportDelay.RecordValue(min(max(took.Microseconds(), 1), slowest))
		if r.Ride == m.session && a.Baton >= m.token && !m.deleted && took < reportTimeout {
			m.token, m.lastRenewed = a.Baton, sent
			w.carryOut(m, a.Orders)
		}
	case status == http.StatusMisdirectedRequest && named && next != steward:
		m.steward = next
		m.tryNext = time.Now()
	default:
		m.steward = (steward + 1) % len(w.nodes)
		m.tryNext = time.Now().Add(min(w.timing.Report/3, time.Second))
	}
}

// send posts one report.
func (w *Workers) send(r report, steward int) (a answer, status int, err error) {
	body, err := json.Marshal(r)
	if err != nil {
		return a, 0, err
	}
	response, err := w.client.Post("http://"+w.nodes[steward]+"/agent/beat", "application/json", bytes.NewReader(body))
	if err != nil {
		return a, 0, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err == nil {
		err = json.Unmarshal(raw, &a)
	}
	w.traffic.Add(Reports, int64(len(body)), int64(len(raw)))
	return a, response.StatusCode, err
}
