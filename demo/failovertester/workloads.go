package failovertester

import (
	"time"

	"github.com/wagtailcroft/wagtailcroft/platform/wire"
)

// Thengola returns a workload of urgent sign-ups, practice sets that take nearly a whole rack,
// and wide certificate packs.
func Thengola() Workload {
	return Workload{Name: "Thengola, step jobs", Jobs: []Job{
		{Queue: "sign-ups", Count: 12, Steps: []wire.StepBody{gang(2, 4)}, RunTime: 300 * time.Millisecond},
		{Queue: "practice-sets", Count: 6, Steps: []wire.StepBody{gang(5, 8)}, RunTime: 1200 * time.Millisecond},
		{Queue: "certificate-packs", Count: 4, Steps: []wire.StepBody{tasks(16, 1), after(tasks(4, 1))}, RunTime: 800 * time.Millisecond},
	}}
}

// Derwent returns a workload of urgent proofs, re-renders that take a whole rack, and wide
// archive batches.
func Derwent() Workload {
	return Workload{Name: "Derwent, step jobs", Jobs: []Job{
		{Queue: "proofs", Count: 16, Steps: []wire.StepBody{gang(3, 2)}, RunTime: 250 * time.Millisecond},
		{Queue: "re-renders", Count: 5, Steps: []wire.StepBody{gang(6, 8)}, RunTime: 1500 * time.Millisecond},
		{Queue: "archive-batches", Count: 4, Steps: []wire.StepBody{tasks(12, 1)}, RunTime: 1000 * time.Millisecond},
	}}
}

func tasks(count int, accelerators int32) wire.StepBody {
	return wire.StepBody{Count: count, CPU: 4000, MemMb: 4000, Gpu: accelerators, EstimateMs: 1000}
}

func gang(count int, accelerators int32) wire.StepBody {
	st := tasks(count, accelerators)
	st.Gang, st.SameRack = true, true
	return st
}

// after makes a step depend on the first step.
func after(st wire.StepBody) wire.StepBody {
	st.DependsOn = []int{0}
	return st
}
