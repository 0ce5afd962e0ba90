package fleet

import (
	"context"
	"time"
)

// processor is the processor of a machine that sends calls. It works on one call at a time, in the
// order in which they were made; nil takes no time.
type processor struct {
	// busy holds one element while the processor works on a call.
	busy chan struct{}
	// callTime is the processor time of a call.
	callTime time.Duration
}

// SetProcessor makes each call from a machine take processor time on it. Calls that are made at the same
// time wait for each other.
func (cl *Cluster) SetProcessor(from string, callTime time.Duration) {
	cl.faults.mu.Lock()
	defer cl.faults.mu.Unlock()
	cl.faults.processors[from] = &processor{busy: make(chan struct{}, 1), callTime: callTime}
}

func (fa *faults) processorOf(from string) *processor {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return fa.processors[from]
}

// use waits for the processor time of a call, and reports whether ctx allows to send the call after it.
func (pr *processor) use(ctx context.Context) bool {
	if pr == nil {
		return true
	}
	select {
	case pr.busy <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	time.Sleep(pr.callTime)
	<-pr.busy
	return ctx.Err() == nil
}
