// Package faulter plays load and faults against entry instances that run as processes of
// their own, and counts what callers were told beside what was really run.
package faulter

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
)

const (
	token          = "token-of-the-load"
	workspace      = identifier.Workspace("load")
	requestTimeout = 3 * clock.Second
	pace           = 20 * time.Millisecond // between two requests of one sender
	sendersPerOne  = 2
	tries          = 4 // calls with one key until the caller gives up
)

type (
	// Instance is one process under test.
	Instance struct {
		Name     string
		Zone     identifier.Zone
		Pid      int
		Caller   string
		Operator string
	}

	// Options say what is under test.
	Options struct {
		Instances     []Instance
		PlatformURL   string
		OperatorToken string
		// Runners holds the addresses of all runners.
		Runners []string
		// Length is how long the load is played.
		Length time.Duration
	}

	// Faulter plays load and faults.
	Faulter struct {
		options  Options
		platform *platform.ClientWithResponses

		mu sync.Mutex
		// keys is what the callers of each key were told last, guarded by mu.
		keys map[identifier.Key]told
		// cutOff counts calls that the graceful stop cut off, guarded by mu.
		cutOff int
		// stopping names the instance that is being stopped gracefully, guarded by mu.
		stopping string
		// jobs holds the ids of the gang jobs, guarded by mu.
		jobs   []identifier.Job
		report Report
	}

	// told is what the caller of a key knows in the end.
	told int

	// Report is what happened.
	Report struct {
		Answered, Refused, Unknown, NoAnswer int
		Failed                               int
		Doubled, FalselyNotRun, CutOff       int
		GangsDone, GangsNotDone              int
		HalfRunning, Overlapping             int32
		LongestHalf                          clock.Millis
		DrainSeconds, ConfigSeconds          float64
	}
)

// What a caller was told.
const (
	nothing told = iota
	done
	notRun
	failed
	unknown
)

// New returns a faulter.
func New(op Options) (*Faulter, error) {
	client, err := platform.NewClientWithResponses(op.PlatformURL)
	if err != nil {
		return nil, eris.Wrap(err, "the platform URL is not valid")
	}
	return &Faulter{options: op, platform: client, keys: map[identifier.Key]told{}}, nil
}

// Run plays everything and returns the report.
func (fa *Faulter) Run(ctx context.Context) (Report, error) {
	if err := fa.setRow(ctx, 1); err != nil {
		return fa.report, err
	}
	fa.pause(ctx, 5*time.Second)
	loadCtx, cancel := context.WithTimeout(ctx, fa.options.Length)
	defer cancel()
	var wait sync.WaitGroup
	for number := range fa.options.Instances {
		for sender := range sendersPerOne {
			wait.Go(func() { fa.load(loadCtx, number, sender) })
		}
	}
	wait.Go(func() { fa.submitJobs(loadCtx) })
	err := fa.script(ctx)
	wait.Wait()
	if err != nil {
		return fa.report, err
	}
	fa.settle(ctx)
	return fa.count(ctx)
}

func (fa *Faulter) pause(ctx context.Context, d time.Duration) {
	clock.Sleep(ctx, clock.New(), clock.FromDuration(d))
}

func bearer(secret string) func(context.Context, *http.Request) error {
	return func(_ context.Context, req *http.Request) error {
		req.Header.Set("Authorization", "Bearer "+secret)
		return nil
	}
}

func (fa *Faulter) caller(number int) (*caller.ClientWithResponses, error) {
	return caller.NewClientWithResponses("http://"+fa.options.Instances[number].Caller, caller.WithRequestEditorFn(bearer(token)))
}

func (fa *Faulter) operator(number int) (*operator.ClientWithResponses, error) {
	return operator.NewClientWithResponses("http://"+fa.options.Instances[number].Operator, operator.WithRequestEditorFn(bearer(fa.options.OperatorToken)))
}

// String prints the report as lines.
func (re Report) String() string {
	return fmt.Sprintf(`requests answered                         %d
requests truthfully refused               %d
requests that failed                      %d
requests unknown                          %d
requests without an answer (kills, cuts)  %d
doubled (must be 0)                       %d
falsely not run (must be 0)               %d
cut off by the graceful stop (must be 0)  %d
gangs done                                %d
gangs not done                            %d
gangs half running (must be 0)            %d
gangs overlapping (must be 0)             %d
longest a gang ran in part, ms            %d
drain in force everywhere, s (bound 3)    %.2f
change in force everywhere, s (bound 4)   %.2f
`, re.Answered, re.Refused, re.Failed, re.Unknown, re.NoAnswer, re.Doubled, re.FalselyNotRun, re.CutOff, re.GangsDone, re.GangsNotDone,
		re.HalfRunning, re.Overlapping, re.LongestHalf, re.DrainSeconds, re.ConfigSeconds)
}

// Check returns an error if a bound was passed.
func (re Report) Check() error {
	switch {
	case re.Doubled+re.FalselyNotRun+re.CutOff > 0:
		return eris.New("a request was doubled, falsely refused or cut off")
	case re.HalfRunning+re.Overlapping > 0:
		return eris.New("a gang ran in part or twice")
	case re.GangsNotDone > 0:
		return eris.New("a gang did not end")
	case re.DrainSeconds > 3 || re.ConfigSeconds > 4:
		return eris.New("a drain or a change took too long")
	case re.Answered == 0 || re.GangsDone == 0:
		return eris.New("nothing was served")
	default:
		return nil
	}
}
