package controller

// markCompletionsRecorded lets the completions of a batch be acknowledged, of each worker up to the first
// that a row contains which the store does not hold.
func (te *term) markCompletionsRecorded(ba batch) {
	for i := range ba.changes {
		if ch := &ba.changes[i]; !ch.recorded {
			for wo, id := range ch.ends {
				ch.entry.noteUnrecorded(wo, id)
			}
		}
	}
	first := map[*worker]completionID{}
	for _, en := range te.jobs {
		for wo, id := range en.unrecorded {
			if id.incarnation == wo.answeredAs && (first[wo].number == 0 || id.number < first[wo].number) {
				first[wo] = id
			}
		}
	}
	for wo, last := range ba.completions {
		if wo.answeredAs != last.incarnation {
			continue
		}
		number := last.number
		if unrecorded := first[wo].number; unrecorded > 0 {
			number = min(number, unrecorded-1)
		}
		wo.recorded = max(wo.recorded, number)
		te.mark(wo)
	}
}

// keepUnrecorded keeps what a batch contains and the store may not hold for the next one.
func (te *term) keepUnrecorded(ba batch) {
	te.mu.Lock()
	defer te.mu.Unlock()
	for i := range ba.changes {
		ch := &ba.changes[i]
		if ch.recorded {
			continue
		}
		ch.entry.dirty = true
		for wo, id := range ch.ends {
			ch.entry.noteUnrecorded(wo, id)
		}
	}
}

// noteUnrecorded notes a completion that the row of the job does not contain yet.
func (en *entry) noteUnrecorded(wo *worker, id completionID) {
	if known, noted := en.unrecorded[wo]; noted && known.incarnation == id.incarnation && known.number <= id.number {
		return
	}
	if en.unrecorded == nil {
		en.unrecorded = map[*worker]completionID{}
	}
	en.unrecorded[wo] = id
}
