package controller

import (
	"context"
	"testing"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

// rowStore applies transactions to rows, and checks their conditions.
type rowStore struct {
	*lossyStore
	rows    map[rowstore.Key]rowstore.Row
	version meter.RowVersion
	// applied holds the transactions that were applied.
	applied []rowstore.Transaction
	// lost is how many of the next answers are lost, failed how many of the next writes are not executed.
	lost, failed int
	// refused is a row that is never written.
	refused rowstore.Key
}

func (st *rowStore) Write(_ context.Context, tr rowstore.Transaction) (meter.RowVersion, error) {
	if st.failed > 0 {
		st.failed--
		return 0, rowstore.ErrNotExecuted
	}
	for _, pu := range tr.Puts {
		if pu.Key == st.refused {
			return 0, eris.New("status 400")
		}
	}
	var conflict rowstore.ConflictError
	holds := true
	for _, pr := range tr.Preconditions {
		holds = holds && st.rows[pr.Key].Version == pr.Version
		conflict.Rows = append(conflict.Rows, st.rows[pr.Key])
	}
	if !holds {
		return 0, &conflict
	}
	st.version++
	for _, pu := range tr.Puts {
		st.rows[pu.Key] = rowstore.Row{Key: pu.Key, Value: pu.Value, Version: st.version}
	}
	for _, key := range tr.Removals {
		delete(st.rows, key)
	}
	st.applied = append(st.applied, tr)
	if st.lost > 0 {
		st.lost--
		return 0, rowstore.ErrOutcomeUnknown
	}
	return st.version, nil
}

// leader returns the instance that the store names as the leader.
func (st *rowStore) leader(t *testing.T) identifier.Instance {
	t.Helper()
	leader, err := recorder.Decode[ledger.Leader](st.rows[recorder.LeadershipKey])
	asserter.NoError(t, err)
	return leader.Instance
}

// TestRelease guards against a leader that is stopped and writes its last changes and the release one after
// the other, so that the next leader comes later, and against a release that takes changes with it.
func TestRelease(t *testing.T) {
	play := func(t *testing.T, jobs int, fn func(te *term, st *rowStore)) {
		t.Helper()
		runTerm(t, 1, func(te *term) {
			lossy, _ := te.Store.(*lossyStore)
			leadership := lossy.row
			st := &rowStore{lossyStore: lossy, rows: map[rowstore.Key]rowstore.Row{recorder.LeadershipKey: leadership}, version: leadership.Version}
			te.Store, te.op.RowLimit = st, 65_536
			for i := range jobs {
				id := identifier.Job(string(rune('a'+i/26)) + string(rune('a'+i%26)))
				addStartingJob(te, id, "w-0")
				key := recorder.JobKey(recorder.Jobs, id)
				st.version++
				st.rows[key] = rowstore.Row{Key: key, Version: st.version}
				te.jobs[id].version = st.version
			}
			fn(te, st)
		})
	}
	// expect checks what the store holds after a flush.
	expect := func(t *testing.T, te *term, st *rowStore, released bool, transactions int) {
		t.Helper()
		asserter.Equal(t, te.released, released)
		asserter.Equal(t, st.leader(t) == "", released)
		asserter.Equal(t, len(st.applied), transactions)
	}
	t.Run("the last changes and the release are one transaction", func(t *testing.T) {
		play(t, 3, func(te *term, st *rowStore) {
			te.flush(context.Background())
			expect(t, te, st, true, 1)
			asserter.Equal(t, len(st.applied[0].Puts), 4)
			asserter.Equal(t, te.jobs["aa"].dirty, false)
		})
	})
	t.Run("changes that need several transactions: the last one releases", func(t *testing.T) {
		play(t, 100, func(te *term, st *rowStore) {
			te.flush(context.Background())
			asserter.Equal(t, len(st.applied) > 1, true)
			expect(t, te, st, true, len(st.applied))
			last := st.applied[len(st.applied)-1]
			asserter.Equal(t, last.Puts[0].Key, recorder.LeadershipKey)
		})
	})
	t.Run("nothing to record: the elector releases", func(t *testing.T) {
		play(t, 0, func(te *term, st *rowStore) {
			te.flush(context.Background())
			expect(t, te, st, false, 0)
		})
	})
	t.Run("a lost answer: the same transaction shows that it took effect", func(t *testing.T) {
		play(t, 3, func(te *term, st *rowStore) {
			st.lost = 1
			te.flush(context.Background())
			expect(t, te, st, true, 1)
			asserter.Equal(t, te.lost.Load(), false)
		})
	})
	t.Run("a store that does not execute the first try", func(t *testing.T) {
		play(t, 3, func(te *term, st *rowStore) {
			st.failed = 1
			te.flush(context.Background())
			expect(t, te, st, true, 1)
		})
	})
	t.Run("a store that executes nothing in time: nothing is released with the changes", func(t *testing.T) {
		play(t, 3, func(te *term, st *rowStore) {
			st.failed = 1000
			te.flush(context.Background())
			expect(t, te, st, false, 0)
		})
	})
	t.Run("a row with another version: written again, with the release", func(t *testing.T) {
		play(t, 3, func(te *term, st *rowStore) {
			te.jobs["ab"].version--
			te.flush(context.Background())
			expect(t, te, st, true, 1)
		})
	})
	t.Run("a row with another version in the first of several transactions: nothing is released before it is written", func(t *testing.T) {
		play(t, 100, func(te *term, st *rowStore) {
			te.jobs["aa"].version--
			te.flush(context.Background())
			expect(t, te, st, true, len(st.applied))
			asserter.Equal(t, te.jobs["aa"].dirty, false)
			asserter.Equal(t, te.jobs["ab"].dirty, false)
			asserter.Equal(t, st.applied[len(st.applied)-1].Puts[0].Key, recorder.LeadershipKey)
		})
	})
	t.Run("a row that the store refuses keeps out neither the others nor the release", func(t *testing.T) {
		play(t, 3, func(te *term, st *rowStore) {
			st.refused = recorder.JobKey(recorder.Jobs, "ac")
			te.flush(context.Background())
			asserter.Equal(t, te.released, true)
			asserter.Equal(t, st.leader(t), "")
			asserter.Equal(t, te.jobs["aa"].dirty, false)
			asserter.Equal(t, te.jobs["ac"].dirty, true)
		})
	})
	t.Run("another leader: neither is written", func(t *testing.T) {
		play(t, 3, func(te *term, st *rowStore) {
			st.rows[recorder.LeadershipKey] = rowstore.Row{Key: recorder.LeadershipKey, Value: []byte(`{"instance":"other"}`), Version: st.version + 1}
			te.flush(context.Background())
			asserter.Equal(t, te.released, false)
			asserter.Equal(t, te.lost.Load(), true)
			asserter.Equal(t, len(st.applied), 0)
			asserter.Equal(t, te.jobs["aa"].job.State, workload.Queued)
		})
	})
}
