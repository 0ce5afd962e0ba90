package controller

import (
	"context"
	"slices"
	"testing"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/recorder"
)

// pickyStore refuses each transaction that writes one of some rows.
type pickyStore struct {
	*lossyStore
	refused []rowstore.Key
	// written counts the writes of each row.
	written map[rowstore.Key]int
}

func (st *pickyStore) Write(_ context.Context, tr rowstore.Transaction) (meter.RowVersion, error) {
	if slices.ContainsFunc(tr.Puts, func(pu rowstore.Put) bool { return slices.Contains(st.refused, pu.Key) }) {
		return 0, problem.New(problem.BadRow, "status 400")
	}
	for _, pu := range tr.Puts {
		st.written[pu.Key]++
	}
	return tr.Preconditions[0].Version, nil
}

// TestRefusedRow guards against a row that the store does not accept and that ends the leader's term, again
// and again, and keeps out the rows of all other jobs (LOST).
func TestRefusedRow(t *testing.T) {
	const jobs = 7
	id := func(i int) identifier.Job { return identifier.Job("job-" + string(rune('0'+i))) }
	key := func(i int) workload.TaskKey { return workload.TaskKey{Job: id(i)} }
	row := func(i int) rowstore.Key { return recorder.JobKey(recorder.Jobs, id(i)) }
	play := func(t *testing.T, refused []int, fn func(te *term, st *pickyStore)) {
		t.Helper()
		runTerm(t, jobs, func(te *term) {
			lossy, _ := te.Store.(*lossyStore)
			st := &pickyStore{lossyStore: lossy, written: map[rowstore.Key]int{}}
			for _, i := range refused {
				st.refused = append(st.refused, row(i), recorder.JobKey(recorder.EndedJobs, id(i)))
			}
			te.Store = st
			for i := range jobs {
				addStartingJob(te, id(i), "w-0")
			}
			fn(te, st)
		})
	}
	commit := func(te *term) bool {
		te.mu.Lock()
		ba := te.batch()
		te.mu.Unlock()
		return te.commit(ba, false)
	}
	for name, refused := range map[string][]int{"the first": {0}, "one between": {3}, "two": {2, 5}, "the last": {6}} {
		t.Run("all other rows are written: "+name, func(t *testing.T) {
			play(t, refused, func(te *term, st *pickyStore) {
				asserter.Equal(t, commit(te), true)
				asserter.Equal(t, te.lost.Load(), false)
				for i := range jobs {
					want := 1
					if slices.Contains(refused, i) {
						want = 0
					}
					asserter.Equal(t, st.written[row(i)], want)
				}
			})
		})
	}
	t.Run("a refused row is written again after a pause", func(t *testing.T) {
		play(t, []int{3}, func(te *term, st *pickyStore) {
			commit(te)
			st.refused = nil
			commit(te)
			asserter.Equal(t, st.written[row(3)], 0)
			keepLeading(te, int(refusedRowPause.Duration().Seconds()))
			commit(te)
			asserter.Equal(t, st.written[row(3)], 1)
		})
	})
	t.Run("a refused renewal ends the term", func(t *testing.T) {
		play(t, nil, func(te *term, st *pickyStore) {
			st.refused = []rowstore.Key{recorder.LeadershipKey}
			asserter.Equal(t, te.writeChanges(nil, extras{renew: true}), false)
			asserter.Equal(t, te.lost.Load(), true)
		})
	})
	// Guards against the acknowledgement of a completion that no row contains, after which the task runs
	// again (TWICE).
	for name, ex := range map[string]struct {
		refused, want int
	}{"none": {-1, 3}, "that of the first": {0, 0}, "that of the second": {1, 1}, "that of the last": {2, 2}} {
		t.Run("completions are acknowledged up to the first that is not recorded: "+name, func(t *testing.T) {
			play(t, []int{ex.refused}, func(te *term, _ *pickyStore) {
				wo := te.workers["w-0"]
				st := fleet.Status{Clock: 1, Incarnation: 9}
				for i := range 3 {
					st.Completed = append(st.Completed, fleet.CompletedRun{
						Number: meter.CompletionNumber(i + 1), Task: key(i), Completion: workload.Completion{Run: 1, Outcome: workload.OutcomeDone},
					})
				}
				te.mu.Lock()
				te.applyStatus(wo, st, fleet.PollCommand{}, te.Clock.Now(), te.Clock.Now())
				te.mu.Unlock()
				for range 2 {
					commit(te)
					asserter.Equal(t, wo.recorded, meter.CompletionNumber(ex.want))
				}
			})
		})
	}
}
