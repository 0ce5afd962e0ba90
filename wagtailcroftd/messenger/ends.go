package messenger

import (
	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/workload"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/peer"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

func encodeEnds(ends []fleet.EndedRun) []peer.EndedRun {
	out := make([]peer.EndedRun, 0, len(ends))
	for _, end := range ends {
		out = append(out, peer.EndedRun{
			Worker: end.Worker, Task: end.Task.String(), Run: int64(end.Completion.Run), How: end.Completion.Outcome.String(), Checkpoint: end.Completion.Checkpoint,
		})
	}
	return out
}

// decodeEnds skips what cannot be decoded, which a newer version may have sent.
func decodeEnds(ends []peer.EndedRun) []fleet.EndedRun {
	out := make([]fleet.EndedRun, 0, len(ends))
	for _, end := range ends {
		key, ok := workload.ParseTaskKey(end.Task)
		outcome, known := workload.ParseOutcome(end.How)
		if !ok || !known {
			continue
		}
		out = append(out, fleet.EndedRun{
			Worker: end.Worker, Task: key, Completion: workload.Completion{Run: meter.RunNumber(end.Run), Outcome: outcome, Checkpoint: end.Checkpoint},
		})
	}
	return out
}
