package coordination

import "time"

// expire frees the attempts on machines whose lease has surely ended, and
// gives up starts that no worker takes.
func (d *dispatcher) expire(now time.Time) {
	for _, m := range d.machines {
		if !m.heard && len(m.attempts) == 0 {
			continue
		}
		if now.Before(d.emptyBy(m)) {
			continue
		}
		d.log.Info("lease surely ended", "machine", m.id, "attempts", len(m.attempts))
		for _, a := range m.sortedAttempts() {
			d.free(a, "its lease has surely ended")
		}
		// The next report comes under a later session.
		m.heard, m.lapsed = false, m.session
	}
}

// emptyBy is when a machine that stays silent has surely lost its lease. Until
// it has heard our token, an earlier leader, or a peer with a delegation of that one,
// may have been renewing it.
func (d *dispatcher) emptyBy(m *machine) time.Time {
	bound := d.delegatedLeaseBound(m)
	if !m.heard {
		if b := d.began.Add(d.settings.unconfirmedBound()); b.After(bound) {
			return b
		}
	}
	return bound
}

// retainLimit is how many ended attempts a worker may have to remember for us.
// A report must stay well under the 64 KiB of a request.
const retainLimit = 256

// renewToken gives up the lead once some worker has to remember too much: under
// the next term's token all earlier direct starts are void and may be forgotten.
func (d *dispatcher) renewToken(now time.Time) {
	if !d.certain(now) || now.Sub(d.began) < d.settings.Lease {
		return
	}
	for _, m := range d.machines {
		if len(m.retained) >= retainLimit {
			d.stepDown("a new token lets ended attempts be forgotten")
			return
		}
	}
}
