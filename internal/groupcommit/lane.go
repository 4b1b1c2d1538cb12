package groupcommit

// lane holds the entities of one Lane that wait for a commit. An entity that is added gets a mark, which is a number
// that increases with each added entity. If the entity is marked again while it waits, it keeps its mark.
type lane struct {
	waiting     map[string]entity // by key
	order       []entity          // oldest mark first; includes entities that have moved to another lane since
	lastMark    uint64            // the last mark that an added entity got
	lastTaken   uint64            // entities with marks up to this one were taken into a commit, or have moved
	lastDurable uint64            // entities with marks up to this one are durable, or have moved
}

// entity is an entity that waits for a commit.
type entity struct {
	key  string
	mark uint64
	data func() any // returns the value to write, or nil to remove the entity
}

// add adds an entity that isn't waiting in the lane yet, and returns its mark.
func (l *lane) add(key string, data func() any) (mark uint64) {
	l.lastMark++
	e := entity{key: key, mark: l.lastMark, data: data}
	l.waiting[key] = e
	l.order = append(l.order, e)
	return e.mark
}

// oldest returns the oldest entity, with the data function of the last call of Mark. Callers must call skipMoved first, so
// that the first entry of order is an entity that still waits in the lane.
func (l *lane) oldest() entity { return l.waiting[l.order[0].key] }

// takeOldest removes the oldest entity from the lane when it is taken into a commit.
func (l *lane) takeOldest() {
	delete(l.waiting, l.order[0].key)
	l.skipOldest()
}

// skipMoved drops entries from the beginning of order until it reaches an entity that hasn't moved to another lane.
func (l *lane) skipMoved() {
	for len(l.order) > 0 {
		oldest := l.order[0]
		if e, waits := l.waiting[oldest.key]; waits && e.mark == oldest.mark {
			return
		}
		l.skipOldest()
	}
}

// skipOldest drops the oldest entry of order and counts its mark as taken.
func (l *lane) skipOldest() {
	l.lastTaken = l.order[0].mark
	l.order = l.order[1:]
}
