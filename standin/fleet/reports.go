package fleet

import (
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
)

// discardCompletions removes the completions up to the acknowledged number, and reports
// them to the oracle unless the lease expired before.
func (ru *Runner) discardCompletions(acknowledged int64) {
	for len(ru.completions) > 0 && ru.completions[0].number <= acknowledged {
		ru.cluster.trace("%s discards the completion of %s run %d: %s", ru.id, ru.completions[0].task, ru.completions[0].run, ru.completions[0].how)
		if !ru.completions[0].leaseExpired {
			ru.cluster.oracle.recordAcknowledged(ru.completions[0])
		}
		ru.completions = ru.completions[1:]
	}
}

func (ru *Runner) status() wire.RunnerReply {
	out := wire.RunnerReply{ClockMs: ru.clock(), Born: ru.born.UnixMilli()}
	for _, rn := range ru.sortedRuns() {
		out.Running = append(out.Running, []any{rn.key.String(), rn.number, ru.checkpoint(rn, false), ru.percent(rn), ru.tailLatency(rn)})
	}
	for i, co := range ru.completions {
		if i == maxCompletionsPerReply {
			break
		}
		out.EndedRuns = append(out.EndedRuns, []any{co.number, co.task, co.run, co.how, co.checkpoint})
	}
	return out
}

// entry returns the description of the runner that it writes to the store.
func (ru *Runner) entry() wire.Entry {
	state := "ready"
	var remaining float64
	if ru.draining {
		state, remaining = "draining", float64(ru.cluster.op.DrainTime.Milliseconds())
	}
	return wire.Entry{
		Service: Pool, Address: ru.address, Zone: ru.zone, State: state, RemainingMs: remaining, ColdRemainingMs: float64(max(time.Until(ru.coldUntil), 0).Milliseconds()),
		Capacity: &wire.Capacity{CPU: int64(ru.capacity.CPU), MemMb: int64(ru.capacity.Memory), Gpu: int32(ru.capacity.Accelerators)},
		Labels:   []string{"a", ru.rack}, Born: ru.born.UnixMilli(),
	}
}

// OverwriteEntry changes the entry of a runner in the store as another writer might, until the runner
// writes it anew.
func (cl *Cluster) OverwriteEntry(at int, change func(en *wire.Entry)) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ru := cl.runners[at]
	en := ru.entry()
	change(&en)
	cl.Store.Put("servers", ru.id, en)
}
