// Package recorder encodes step jobs as rows of the store and decodes them, and names the
// tables and keys of these rows.
package recorder

import (
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

// Tables of the scheduling of step jobs. schema/ledger.yaml defines their rows.
const (
	Leadership    rowstore.Table = "duty"
	Members       rowstore.Table = "members"
	Submissions   rowstore.Table = "submissions"
	Jobs          rowstore.Table = "jobs"
	EndedJobs     rowstore.Table = "ended"
	Cancels       rowstore.Table = "cancels"
	PendingCounts rowstore.Table = "tallies"
	Waves         rowstore.Table = "waves"
	Speeds        rowstore.Table = "speeds"

	bitsPerByte = 8
)

var (
	// LeadershipKey is the key of the leader row.
	LeadershipKey = rowstore.Key{Table: Leadership, Name: "scheduler"}

	// PendingCountsKey is the key of the row of the pending-job counts. A job is pending until its
	// first task has started.
	PendingCountsKey = rowstore.Key{Table: PendingCounts, Name: "pending"}

	// SpeedsKey is the key of the row of the speeds of workers.
	SpeedsKey = rowstore.Key{Table: Speeds, Name: "known"}
)

// MemberKey returns the key of the row of an instance.
func MemberKey(in identifier.Instance) rowstore.Key {
	return rowstore.Key{Table: Members, Name: string(in)}
}

// JobKey returns the key of a job's row in a table.
func JobKey(ta rowstore.Table, id identifier.Job) rowstore.Key {
	return rowstore.Key{Table: ta, Name: string(id)}
}

// WaveKey returns the key of the row of a maintenance wave.
func WaveKey(number int64) rowstore.Key {
	return rowstore.Key{Table: Waves, Name: strconv.FormatInt(number, 10)}
}

// EncodeSubmission encodes a job as it was accepted.
func EncodeSubmission(jo *workload.Job) ledger.Submission {
	su := ledger.Submission{
		Queue: string(jo.Queue), Workspace: jo.Workspace, Payload: jo.Payload, AcceptedAt: jo.AcceptedAt,
		FirstDue: jo.FirstDue, Interval: jo.Interval, Occurrences: jo.Occurrences,
		Terms: ledger.Terms{
			Pool: string(jo.Terms.Pool), Priority: jo.Terms.Priority, MaxAttempts: jo.Terms.MaxAttempts,
			SlowdownFactor: jo.Terms.SlowdownFactor, Objective: jo.Terms.Objective, NeedsAdvice: jo.Terms.NeedsAdvice,
		},
	}
	for i := range jo.Steps {
		su.Steps = append(su.Steps, encodeStep(&jo.Steps[i]))
	}
	return su
}

func encodeStep(st *workload.Step) ledger.Step {
	return ledger.Step{
		Count: st.Count, CPU: int64(st.Request.CPU), Memory: int64(st.Request.Memory), Accelerators: st.Request.Accelerators,
		Estimate: st.Estimate, After: st.After, Gang: st.Gang, SameRack: st.SameRack, Requires: string(st.Requires),
		DataRack: st.DataRack, MaxPerWorker: st.MaxPerWorker, Checkpointing: st.Checkpointing, AllowDuplicates: st.AllowDuplicates,
		LongRunning: st.LongRunning, BestEffort: st.BestEffort, Image: st.Image, TailLatencyTarget: st.TailLatencyTarget, MaxUnavailable: st.MaxUnavailable,
	}
}

func decodeStep(st ledger.Step) workload.Step {
	return workload.Step{
		Count:    st.Count,
		Request:  workload.Resources{CPU: meter.MilliCores(st.CPU), Memory: meter.Mebibytes(st.Memory), Accelerators: st.Accelerators},
		Estimate: st.Estimate, After: st.After, Gang: st.Gang, SameRack: st.SameRack, Requires: identifier.Label(st.Requires),
		DataRack: st.DataRack, MaxPerWorker: st.MaxPerWorker, Checkpointing: st.Checkpointing, AllowDuplicates: st.AllowDuplicates,
		LongRunning: st.LongRunning, BestEffort: st.BestEffort, Image: st.Image, TailLatencyTarget: st.TailLatencyTarget, MaxUnavailable: st.MaxUnavailable,
	}
}

// EncodeProgress encodes the state of a job and of its tasks. Tasks that have never started are
// omitted.
func EncodeProgress(jo *workload.Job, endedAt clock.Millis) ledger.Progress {
	pr := ledger.Progress{State: ledger.ProgressState(jo.State.String()), Workspace: jo.Workspace, Reason: jo.Reason, EndedAt: endedAt}
	pr.Occurrences, pr.Open = jo.Due, make([]int, 0, jo.Open())
	for i, sg := range jo.Stages {
		if i%len(jo.Steps) == 0 {
			pr.Open = append(pr.Open, sg.Occurrence)
		}
		if out := encodeStage(sg); out != nil {
			out.At = sg.Occurrence*len(jo.Steps) + sg.Step
			pr.Stages = append(pr.Stages, *out)
		}
	}
	return pr
}

// encodeStage returns nil for a stage of which no task has started.
func encodeStage(sg *workload.Stage) *ledger.Stage {
	out := &ledger.Stage{Failures: sg.Failures, FailedRun: int64(sg.FailedRun)}
	started := false
	for i := range sg.Tasks {
		ta := &sg.Tasks[i]
		switch {
		case ta.Phase == workload.Done:
			started = true
			out.Done = setBit(out.Done, i)
		case ta.Run > 0:
			started = true
			out.Tasks = append(out.Tasks, ledger.Task{
				Index: i, Phase: int(ta.Phase), Run: int64(ta.Run), Worker: ta.Worker, Incarnation: int64(ta.Incarnation),
				Failures: ta.Failures, CrashWeight: int(ta.CrashWeight), CrashedRun: int64(ta.CrashedRun), Checkpoint: ta.Checkpoint,
			})
		}
	}
	if !started {
		return nil
	}
	return out
}

func setBit(bits []byte, at int) []byte {
	for len(bits) <= at/bitsPerByte {
		bits = append(bits, 0)
	}
	bits[at/bitsPerByte] |= 1 << (at % bitsPerByte)
	return bits
}

func hasBit(bits []byte, at int) bool {
	return at/bitsPerByte < len(bits) && bits[at/bitsPerByte]&(1<<(at%bitsPerByte)) != 0
}

// DecodeJob decodes a job from its submission and progress rows.
func DecodeJob(id identifier.Job, su ledger.Submission, pr ledger.Progress) (*workload.Job, error) {
	jo := &workload.Job{
		ID: id, Queue: identifier.Queue(su.Queue), Workspace: su.Workspace, Payload: su.Payload, AcceptedAt: su.AcceptedAt,
		FirstDue: su.FirstDue, Interval: su.Interval, Occurrences: su.Occurrences, Reason: pr.Reason,
		Terms: workload.Terms{
			Pool: identifier.Pool(su.Terms.Pool), Priority: su.Terms.Priority, MaxAttempts: su.Terms.MaxAttempts,
			SlowdownFactor: su.Terms.SlowdownFactor, Objective: su.Terms.Objective, NeedsAdvice: su.Terms.NeedsAdvice,
		},
	}
	for _, st := range su.Steps {
		jo.Steps = append(jo.Steps, decodeStep(st))
	}
	if len(jo.Steps) == 0 || jo.Occurrences < 1 || pr.Occurrences > jo.Occurrences || !jo.Restore(pr.Occurrences, openOccurrences(pr)) {
		return nil, eris.Errorf("rows of job %s were not written by this program: no steps, no occurrences, or other occurrences recorded than planned", id)
	}
	state, err := ParseState(pr.State)
	if err != nil {
		return nil, err
	}
	jo.State = state
	for _, sg := range pr.Stages {
		if err := decodeStage(jo, sg); err != nil {
			return nil, err
		}
	}
	jo.DropFinished()
	return jo, nil
}

// openOccurrences lists the open occurrences of a row. Rows of earlier versions hold all that were due.
func openOccurrences(pr ledger.Progress) []int {
	if pr.Open != nil {
		return pr.Open
	}
	all := make([]int, max(pr.Occurrences, 0))
	for i := range all {
		all[i] = i
	}
	return all
}

func decodeStage(jo *workload.Job, in ledger.Stage) error {
	sg := jo.Stage(in.At/len(jo.Steps), in.At%len(jo.Steps))
	if sg == nil {
		return eris.Errorf("rows of job %s were not written by this program: stage %d is not of an open occurrence", jo.ID, in.At)
	}
	sg.Failures, sg.FailedRun = in.Failures, meter.RunNumber(in.FailedRun)
	for i := range sg.Tasks {
		if hasBit(in.Done, i) {
			sg.Tasks[i].Phase = workload.Done
		}
	}
	for _, ta := range in.Tasks {
		if ta.Index < 0 || ta.Index >= len(sg.Tasks) {
			return eris.Errorf("rows of job %s were not written by this program: task %d of stage %d is out of range", jo.ID, ta.Index, in.At)
		}
		sg.Tasks[ta.Index] = workload.Task{
			Phase: workload.Phase(ta.Phase), Run: meter.RunNumber(ta.Run), Worker: ta.Worker, Incarnation: workload.Incarnation(ta.Incarnation),
			Failures: ta.Failures, CrashWeight: workload.CrashWeight(ta.CrashWeight), CrashedRun: meter.RunNumber(ta.CrashedRun), Checkpoint: ta.Checkpoint,
		}
	}
	return nil
}

// ParseState parses the name of a state.
func ParseState(name ledger.ProgressState) (workload.State, error) {
	for st := workload.Queued; st <= workload.Cancelled; st++ {
		if st.String() == string(name) {
			return st, nil
		}
	}
	return 0, eris.Errorf("unknown job state %q; the row may have been written by a newer version", name)
}
