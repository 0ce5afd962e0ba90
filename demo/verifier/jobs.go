package verifier

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	declaredRun = 2000 // milliseconds
	payload     = `{"runMillis":400}`
)

// runJobs submits all gang jobs at the same time and reads their results.
func (ve *Verifier) runJobs(ctx context.Context) error {
	var wait sync.WaitGroup
	var mu sync.Mutex
	re := Result{Operation: "gang jobs"}
	began := time.Now()
	for number, ws := range ve.workload.Workspaces {
		for i, shape := range ws.Jobs {
			re.Attempted++
			wait.Go(func() {
				complete := ve.runJob(ctx, (number+i)%len(ve.cluster.Daemons), ws.ID, i, shape)
				mu.Lock()
				defer mu.Unlock()
				if complete {
					re.Succeeded++
				}
			})
		}
	}
	wait.Wait()
	re.Detail = fmt.Sprintf("in %d ms", time.Since(began).Milliseconds())
	return ve.add(re)
}

// runJob submits a gang job and waits for it. It reports whether the job was done and its
// result has one part for each member.
func (ve *Verifier) runJob(ctx context.Context, number int, ws identifier.Workspace, i int, shape types.Shape) bool {
	client, err := ve.cluster.Caller(number, Token(ws))
	if err != nil {
		return false
	}
	job, err := client.SubmitJobWithResponse(ctx, caller.JobBody{
		Key:            identifier.Key(fmt.Sprintf("job-%d", i)),
		Kind:           ve.workload.JobKinds[i%len(ve.workload.JobKinds)],
		Class:          types.ClassNormal,
		Shape:          shape,
		ExpectedMillis: declaredRun,
		Payload:        payload,
	})
	if err != nil || job.JSON202 == nil {
		return false
	}
	wait := jobWait
	got, err := client.GetJobWithResponse(ctx, job.JSON202.JobID, &caller.GetJobParams{WaitMillis: wait})
	if err != nil || got.JSON200 == nil || got.JSON200.Outcome != types.OutcomeDone {
		return false
	}
	result, err := client.GetJobResultWithResponse(ctx, job.JSON202.JobID)
	return err == nil && result.JSON200 != nil && meter.Members(len(result.JSON200.Parts)) == shape.Members
}
