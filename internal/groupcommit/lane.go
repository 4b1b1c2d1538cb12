package groupcommit

// lane holds the entities of one lane. Each has the number of its first mark since it was last
// taken into a commit.
type lane struct {
	waiting map[string]entity
	order   []entity // the oldest mark first; some have moved to another lane since
	marked  uint64   // the number of the last mark
	taken   uint64   // marks up to this one are in a commit
	durable uint64   // marks up to this one are durable
}

// entity is an entity that waits for a commit.
type entity struct {
	key  string
	mark uint64
	data func() any // returns its value
}

// add adds an entity that doesn't wait in the lane yet, and returns its mark.
func (l *lane) add(key string, data func() any) (mark uint64) {
	l.marked++
	e := entity{key: key, mark: l.marked, data: data}
	l.waiting[key] = e
	l.order = append(l.order, e)
	return e.mark
}

// oldest returns the oldest entity, which must wait in the lane, with the data that it was marked
// with last.
func (l *lane) oldest() entity { return l.waiting[l.order[0].key] }

// takeOldest removes the oldest entity.
func (l *lane) takeOldest() {
	delete(l.waiting, l.order[0].key)
	l.skipOldest()
}

// skipMoved skips the oldest entities if they have moved to another lane.
func (l *lane) skipMoved() {
	for len(l.order) > 0 {
		oldest := l.order[0]
		if e, waits := l.waiting[oldest.key]; waits && e.mark == oldest.mark {
			return
		}
		l.skipOldest()
	}
}

func (l *lane) skipOldest() {
	l.taken = l.order[0].mark
	l.order = l.order[1:]
}
