package loopbacktest

import (
	"encoding/json"
	"net/http"
	"time"
)

// serveCommands executes commands that the leader sends in a request instead of in a heartbeat's response. It responds
// with status 409 if the fencing token is outdated, the commands are for another incarnation, or the machine was deleted.
func (w *Workers) serveCommands(m *machine, rw http.ResponseWriter, r *http.Request) {
	var request directCommands
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Token == 0 || request.Incarnation == 0 {
		writeJSON(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	w.advanceMachine(m, time.Now())
	status := http.StatusConflict
	if request.Token >= m.token && request.Incarnation == m.incarnation && !m.deleted {
		m.token, status = request.Token, http.StatusOK
		w.executeCommands(m, request.Commands)
	}
	response := m.newHeartbeat()
	w.mu.Unlock()
	writeJSON(rw, status, response)
}

// serveStatus responds with the machine's status in the form of a heartbeat.
func (w *Workers) serveStatus(m *machine, rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	w.advanceMachine(m, time.Now())
	response := m.newHeartbeat()
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, response)
}

// executeCommands executes commands in order. Commands that don't apply to the state of their attempt have no effect.
// w.mu must be held.
func (w *Workers) executeCommands(m *machine, commands []command) {
	now := time.Now()
	changed := false
	for _, c := range commands {
		id := attemptID{c.Task, c.Attempt}
		a := m.attempts[id]
		switch {
		case c.Verb == verbStart && a == nil:
			w.startAttempt(m, id, now)
			changed = true
		case c.Verb == verbStop && a != nil && a.state != stateEnded:
			w.endAttempt(a, causeStopped)
			changed = true
		case c.Verb == verbForget && a != nil && a.state == stateEnded:
			delete(m.attempts, id)
			w.audit.removeAttempt(a)
			changed = true
		}
	}
	if changed {
		m.signalChange()
	}
}
