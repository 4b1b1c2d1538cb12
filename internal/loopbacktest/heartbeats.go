package loopbacktest

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// heartbeatTimeout is the time within which a response to a heartbeat must arrive, according to the protocol.
const heartbeatTimeout = 4 * time.Second

// runHeartbeats sends a machine's heartbeats until the machine is deleted or the workers are closed.
func (w *Workers) runHeartbeats(m *machine) {
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
		pendingChange = w.advanceMachine(m, now) || pendingChange
		nextAt := m.nextHeartbeat(w.timing, pendingChange)
		due := !m.unresponsive && !now.Before(nextAt)
		var h heartbeat
		if due {
			m.lastHeartbeat = now
			h = m.newHeartbeat()
		}
		controller, deleted := m.controller, m.deleted
		wait := w.timeUntilNextStep(m, nextAt, due, now)
		w.mu.Unlock()
		if deleted {
			return
		}
		if due {
			pendingChange = false
			w.sendHeartbeat(m, h, controller)
		}
		timer.Reset(wait)
	}
}

// nextHeartbeat returns when the machine's next heartbeat is due. If a change must be reported, the interval since the last
// heartbeat is MinHeartbeatInterval instead of Heartbeat. No heartbeat is due before retryAt.
func (m *machine) nextHeartbeat(timing Timing, changed bool) time.Time {
	nextAt := m.lastHeartbeat.Add(timing.Heartbeat)
	if changed {
		nextAt = m.lastHeartbeat.Add(timing.MinHeartbeatInterval)
	}
	if nextAt.Before(m.retryAt) {
		nextAt = m.retryAt
	}
	return nextAt
}

// timeUntilNextStep returns how long a machine's heartbeat loop waits before it checks again whether a heartbeat or a change
// of an attempt is due. w.mu must be held.
func (w *Workers) timeUntilNextStep(m *machine, heartbeatAt time.Time, heartbeatDue bool, now time.Time) time.Duration {
	if heartbeatDue {
		return 0 // the loop checks again as soon as the heartbeat has been sent and its response handled
	}
	next := heartbeatAt
	if m.unresponsive {
		next = now.Add(w.timing.Heartbeat)
	}
	if change := w.nextAttemptChange(m); !change.IsZero() && change.Before(next) {
		next = change
	}
	return max(next.Sub(now), time.Millisecond)
}

// sendHeartbeat sends one heartbeat and executes the commands of the response. After a redirect
// the next heartbeat goes to the leader, after a failure to the next controller.
func (w *Workers) sendHeartbeat(m *machine, h heartbeat, controller int) {
	sent := time.Now()
	response, status, err := w.postHeartbeat(h, controller)
	latency := time.Since(sent)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch leader, known := w.controllerIndex[response.Leader]; {
	case status == http.StatusOK && err == nil:
		recordMicros(w.heartbeatLatency, latency)
		if h.Incarnation == m.incarnation && response.Token >= m.token && !m.deleted && latency < heartbeatTimeout {
			m.token, m.leaseRenewedAt = response.Token, sent
			w.executeCommands(m, response.Commands)
		}
	case status == http.StatusMisdirectedRequest && known && leader != controller:
		m.controller = leader
		m.retryAt = time.Now()
	default:
		m.controller = (controller + 1) % len(w.controllerAddrs)
		m.retryAt = time.Now().Add(min(w.timing.Heartbeat/3, time.Second))
	}
}

// postHeartbeat posts one heartbeat. The status is 0 if there was no response.
func (w *Workers) postHeartbeat(h heartbeat, controller int) (response heartbeatResponse, status int, err error) {
	body, err := json.Marshal(h)
	if err != nil {
		return response, 0, err
	}
	httpResponse, err := w.client.Post("http://"+w.controllerAddrs[controller]+"/agent/beat", "application/json", bytes.NewReader(body))
	if err != nil {
		return response, 0, err
	}
	defer httpResponse.Body.Close()
	raw, err := io.ReadAll(httpResponse.Body)
	if err == nil {
		err = json.Unmarshal(raw, &response)
	}
	w.traffic.add(Heartbeats, int64(len(body)), int64(len(raw)))
	return response, httpResponse.StatusCode, err
}
