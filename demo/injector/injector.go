// Package injector puts load and faults on entry instances that run as separate processes. It
// then compares the answers that callers got with the runs that the runners recorded.
package injector

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
	token              = "token-of-the-load"
	workspace          = identifier.Workspace("load")
	requestTimeout     = 3 * clock.Second
	requestInterval    = 20 * time.Millisecond // between two requests of one sender
	sendersPerInstance = 2
	maxTries           = 4 // maximum number of calls with one key
)

type (
	// Instance describes one entry instance under test.
	Instance struct {
		Name     string
		Zone     identifier.Zone
		PID      int
		Caller   string
		Operator string
	}

	// Options describe the instances under test and the load.
	Options struct {
		Instances     []Instance
		PlatformURL   string
		OperatorToken string
		// Runners holds the addresses of all runners.
		Runners []string
		// Length is the time for which requests and jobs are sent.
		Length time.Duration
	}

	// Injector runs the load and the faults.
	Injector struct {
		options  Options
		platform *platform.ClientWithResponses

		mu sync.Mutex
		// keys holds the last answer to the caller of each key, guarded by mu.
		keys map[identifier.Key]answer
		// cutOff counts the accepted calls whose connection broke during the graceful stop of
		// their instance, guarded by mu.
		cutOff int
		// stopping names the instance that is being stopped gracefully, guarded by mu.
		stopping string
		// jobs holds the ids of the accepted gang jobs, guarded by mu.
		jobs   []identifier.Job
		report Report
	}

	// answer is the last answer to the caller of a key.
	answer int

	// Report holds the results of a test.
	Report struct {
		// Answered, Refused, Failed, Unknown and NoAnswer count keys by their last answer.
		// Refused means that the request was not run.
		Answered, Refused, Unknown, NoAnswer int
		Failed                               int
		// RunTwice counts keys that ran more than once, RunAfterRefusal keys that ran although
		// their caller was told that they did not, and CutOff calls that were cut off by the
		// graceful stop of an instance.
		RunTwice, RunAfterRefusal, CutOff int
		GangsDone, GangsNotDone           int
		// PartialGangs counts gangs of which only some members run at the end, OverlappingGangs
		// gangs of which two runs were active at the same time.
		PartialGangs, OverlappingGangs int32
		// LongestPartialRun is the longest time for which only some members of a gang ran.
		LongestPartialRun clock.Millis
		// DrainSeconds and TableChangeSeconds are the times until a drain and a change of the
		// shared table were in force on all instances.
		DrainSeconds, TableChangeSeconds float64
	}
)

// Answers to a caller.
const (
	noAnswer answer = iota
	done
	notRun
	failed
	unknown
)

// New returns an injector for the instances in the options.
func New(op Options) (*Injector, error) {
	client, err := platform.NewClientWithResponses(op.PlatformURL)
	if err != nil {
		return nil, eris.Wrap(err, "the platform URL is not valid")
	}
	return &Injector{options: op, platform: client, keys: map[identifier.Key]answer{}}, nil
}

// Run runs the load and the faults and returns the report.
func (ij *Injector) Run(ctx context.Context) (Report, error) {
	if err := ij.setRow(ctx, 1); err != nil {
		return ij.report, err
	}
	ij.sleep(ctx, 5*time.Second)
	loadCtx, cancel := context.WithTimeout(ctx, ij.options.Length)
	defer cancel()
	var wait sync.WaitGroup
	for number := range ij.options.Instances {
		for sender := range sendersPerInstance {
			wait.Go(func() { ij.sendRequests(loadCtx, number, sender) })
		}
	}
	wait.Go(func() { ij.submitJobs(loadCtx) })
	err := ij.runFaults(ctx)
	wait.Wait()
	if err != nil {
		return ij.report, err
	}
	ij.awaitGangs(ctx)
	return ij.compare(ctx)
}

func (ij *Injector) sleep(ctx context.Context, d time.Duration) {
	clock.Sleep(ctx, clock.New(), clock.FromDuration(d))
}

func bearer(secret string) func(context.Context, *http.Request) error {
	return func(_ context.Context, req *http.Request) error {
		req.Header.Set("Authorization", "Bearer "+secret)
		return nil
	}
}

func (ij *Injector) caller(number int) (*caller.ClientWithResponses, error) {
	return caller.NewClientWithResponses("http://"+ij.options.Instances[number].Caller, caller.WithRequestEditorFn(bearer(token)))
}

func (ij *Injector) operator(number int) (*operator.ClientWithResponses, error) {
	return operator.NewClientWithResponses("http://"+ij.options.Instances[number].Operator, operator.WithRequestEditorFn(bearer(ij.options.OperatorToken)))
}

// String returns the report as lines of text.
func (re Report) String() string {
	return fmt.Sprintf(`requests answered                         %d
requests refused and not run              %d
requests failed                           %d
requests with an unknown outcome          %d
requests without an answer (kills, cuts)  %d
requests run twice (must be 0)            %d
refused but run (must be 0)               %d
cut off by the graceful stop (must be 0)  %d
gangs done                                %d
gangs not done                            %d
gangs running partially (must be 0)       %d
gangs with two runs at once (must be 0)   %d
longest partial run of a gang, ms         %d
drain in force everywhere, s (bound 3)    %.2f
change in force everywhere, s (bound 4)   %.2f
`, re.Answered, re.Refused, re.Failed, re.Unknown, re.NoAnswer, re.RunTwice, re.RunAfterRefusal, re.CutOff, re.GangsDone, re.GangsNotDone,
		re.PartialGangs, re.OverlappingGangs, re.LongestPartialRun, re.DrainSeconds, re.TableChangeSeconds)
}

// Check returns an error if a bound was exceeded.
func (re Report) Check() error {
	switch {
	case re.RunTwice+re.RunAfterRefusal+re.CutOff > 0:
		return eris.New("a request was run twice, was run after a refusal, or was cut off by the graceful stop")
	case re.PartialGangs+re.OverlappingGangs > 0:
		return eris.New("a gang ran partially, or in two runs at once")
	case re.GangsNotDone > 0:
		return eris.New("a gang job did not complete")
	case re.DrainSeconds > 3 || re.TableChangeSeconds > 4:
		return eris.New("a drain took more than 3 s or a table change more than 4 s to be in force everywhere")
	case re.Answered == 0 || re.GangsDone == 0:
		return eris.New("no request was answered or no gang job completed")
	default:
		return nil
	}
}
