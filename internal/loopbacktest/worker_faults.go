package loopbacktest

// Silence has a share of the machines report nothing and answer no orders, or ends that. Which ones they are
// follows from their numbers alone.
func (w *Workers) Silence(share float64, on bool) (affected int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, m := range w.machines {
		if chosen(id, share) && !m.deleted {
			m.silent = on
			affected++
		}
	}
	return affected
}

// chosen picks a share of the numbers, evenly.
func chosen(id int, share float64) bool {
	return int(float64(id+1)*share) > int(float64(id)*share)
}

// LoseZone ends all machines of a zone with what is on them; the cloud no longer lists them.
func (w *Workers) LoseZone(zone string) (lost int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.zone == zone && !m.deleted {
			w.remove(m)
			lost++
		}
	}
	return lost
}
