package controller

import (
	"context"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/elector"
)

// flushTries is how often the last changes of a term are written: again after a conflict with a write
// whose answer did not come.
const flushTries = 2

// flush records what is known when this instance is stopped, and releases leadership in the same transaction:
// nobody asks a leader that has released it, and each transaction before delays the next leader. If nothing is
// to be recorded, or it could not be, leadership is not released yet. The calls of the term have returned. ctx
// limits the time.
func (te *term) flush(ctx context.Context) {
	te.ctx, te.cancel = te.Clock.WithTimeout(ctx, elector.WriteTimeout)
	defer te.cancel()
	for range flushTries {
		te.mu.Lock()
		ba := te.batch()
		te.mu.Unlock()
		if len(ba.changes) == 0 || !te.commit(ba, true) || te.released {
			return
		}
	}
}

// nextLeader returns the row of the leadership after a transaction that renews or releases it.
func (te *term) nextLeader(ex extras) ledger.Leader {
	next := te.leadership.Leader()
	te.mu.Lock()
	defer te.mu.Unlock()
	switch {
	case ex.renew:
		next.Renewals++
		te.attempted, next.Formers = next.Renewals, te.formers
	case ex.release:
		next.Instance, next.Formers = "", te.formers
	}
	return next
}

// leftToRetry reports whether a conflict has kept out one of the changes, so that it is written again at once.
// A row that the store has refused is not.
func (te *term) leftToRetry(changes []change) bool {
	te.mu.Lock()
	defer te.mu.Unlock()
	now := te.Clock.Now()
	return slices.ContainsFunc(changes, func(ch change) bool { return ch.entry.dirty && now >= ch.entry.refusedUntil })
}
