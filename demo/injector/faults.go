package injector

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/platform"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/runner"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// killed, paused and stopped are the indexes of the instances that the faults affect.
	killed  = 1
	paused  = 2
	stopped = 5

	warmUp         = 8 * time.Second
	pauseLength    = 10 * time.Second // longer than a lease
	faultLength    = 5 * time.Second
	completionWait = 25 * time.Second
	pollPause      = 25 * time.Millisecond
	maxWait        = 20 * time.Second
	quietPeriod    = 5 * time.Second // a drain is in force once the runner got no new request for this long
)

// runFaults runs the faults one after another, under load.
func (ij *Injector) runFaults(ctx context.Context) error {
	ij.sleep(ctx, warmUp)
	if err := ij.signal(killed, syscall.SIGKILL); err != nil {
		return err
	}
	if err := ij.signal(paused, syscall.SIGSTOP); err != nil {
		return err
	}
	ij.sleep(ctx, pauseLength)
	if err := ij.signal(paused, syscall.SIGCONT); err != nil {
		return err
	}
	if err := ij.measureDrain(ctx); err != nil {
		return err
	}
	if err := ij.gracefulStop(ctx); err != nil {
		return err
	}
	if err := ij.applyFaults(ctx, platform.Faults{StoreDown: true}); err != nil {
		return err
	}
	if err := ij.applyFaults(ctx, platform.Faults{LoseAnswers: 50, StoreDelayMillis: 100}); err != nil {
		return err
	}
	if err := ij.applyFaults(ctx, platform.Faults{CutZones: []identifier.Zone{ij.options.Instances[0].Zone}}); err != nil {
		return err
	}
	return ij.measureChange(ctx)
}

func (ij *Injector) signal(number int, sig syscall.Signal) error {
	return eris.Wrapf(syscall.Kill(ij.options.Instances[number].PID, sig), "signal instance %s", ij.options.Instances[number].Name)
}

// applyFaults sets faults of the platform for a while and then removes them.
func (ij *Injector) applyFaults(ctx context.Context, faults platform.Faults) error {
	if _, err := ij.platform.SetFaultsWithResponse(ctx, faults); err != nil {
		return eris.Wrap(err, "set faults")
	}
	ij.sleep(ctx, faultLength)
	_, err := ij.platform.SetFaultsWithResponse(ctx, platform.Faults{})
	ij.sleep(ctx, faultLength)
	return eris.Wrap(err, "remove faults")
}

// gracefulStop stops an instance with SIGTERM and gives it faultLength to shut down. Accepted
// calls to the instance that break during that time count as cut off.
func (ij *Injector) gracefulStop(ctx context.Context) error {
	ij.mu.Lock()
	ij.stopping = ij.options.Instances[stopped].Name
	ij.mu.Unlock()
	if err := ij.signal(stopped, syscall.SIGTERM); err != nil {
		return err
	}
	ij.sleep(ctx, faultLength)
	ij.mu.Lock()
	defer ij.mu.Unlock()
	ij.stopping = ""
	return nil
}

// setRow sets the row of the load's workspace, with the given weight, in the shared table.
func (ij *Injector) setRow(ctx context.Context, weight meter.Weight) error {
	client, err := ij.operator(0)
	if err != nil {
		return err
	}
	table, err := client.GetTableWithResponse(ctx)
	if err != nil || table.JSON200 == nil {
		return eris.Errorf("get the shared table: %v", err)
	}
	edit := operator.RowEdit{Author: "faults", Cells: types.Cells{
		Weight:       weight,
		Guarantees:   []types.Guarantee{},
		Limits:       types.Limits{Accelerators: 1000, Requests: 500, UnconfirmedRequests: 50, QueuedJobs: 500},
		TokenDigests: []string{identifier.Digest(token)},
	}}
	for _, row := range table.JSON200.Rows {
		if row.Workspace == workspace {
			edit.ExpectedVersion = row.RowVersion
		}
	}
	an, err := client.SetRowWithResponse(ctx, workspace, &operator.SetRowParams{}, edit)
	if err != nil || an.JSON200 == nil {
		return eris.Errorf("set the row of the workspace: %v", err)
	}
	return nil
}

// measureChange measures the time from the acceptance of a table change until it is in force
// on every instance that still runs.
func (ij *Injector) measureChange(ctx context.Context) error {
	if err := ij.setRow(ctx, 2); err != nil {
		return err
	}
	began := time.Now()
	newest := ij.newestVersion()
	for ij.countBehind(newest) > 0 {
		if time.Since(began) > maxWait {
			break
		}
		ij.sleep(ctx, pollPause)
	}
	ij.report.TableChangeSeconds = time.Since(began).Seconds()
	return nil
}

// running returns the instances that were neither killed nor stopped.
func (ij *Injector) running() []Instance {
	var list []Instance
	for number, in := range ij.options.Instances {
		if number != killed && number != stopped {
			list = append(list, in)
		}
	}
	return list
}

// newestVersion returns the newest table version that is in force on any instance.
func (ij *Injector) newestVersion() meter.TableVersion {
	var newest meter.TableVersion
	for _, in := range ij.running() {
		newest = max(newest, versionOf(in))
	}
	return newest
}

// countBehind counts the instances on which an older version is in force.
func (ij *Injector) countBehind(version meter.TableVersion) int {
	count := 0
	for _, in := range ij.running() {
		if versionOf(in) < version {
			count++
		}
	}
	return count
}

// versionOf returns the table version that is in force on an instance, from its metrics, or 0
// if they cannot be read.
func versionOf(in Instance) meter.TableVersion {
	an, err := http.Get("http://" + in.Operator + "/debug/vars")
	if err != nil {
		return 0
	}
	defer func() { _ = an.Body.Close() }()
	text, err := io.ReadAll(an.Body)
	if err != nil {
		return 0
	}
	var vars struct {
		TableVersion meter.TableVersion `json:"tableVersion"`
	}
	if json.Unmarshal(text, &vars) != nil {
		return 0
	}
	return vars.TableVersion
}

// measureDrain drains the first runner and measures the time until its last new request.
func (ij *Injector) measureDrain(ctx context.Context) error {
	client, err := ij.operator(0)
	if err != nil {
		return err
	}
	target := identifier.Target(string(ij.options.Instances[0].Zone) + "-runner-00")
	an, err := client.DrainTargetWithResponse(ctx, target, &operator.DrainTargetParams{})
	if err != nil || an.JSON200 == nil {
		return eris.Errorf("drain %s: %v", target, err)
	}
	began := time.Now()
	last, seen := began, -1
	for time.Since(last) < quietPeriod && time.Since(began) < maxWait {
		if count := runCount(ctx, ij.options.Runners[0]); count != seen {
			if seen >= 0 {
				last = time.Now()
			}
			seen = count
		}
		ij.sleep(ctx, pollPause)
	}
	ij.report.DrainSeconds = last.Sub(began).Seconds()
	return nil
}

func runCount(ctx context.Context, address string) int { return len(runLog(ctx, address)) }

// runLog returns the calls that a runner recorded.
func runLog(ctx context.Context, address string) []runner.RunCall {
	client, err := runner.NewClientWithResponses("http://" + address)
	if err != nil {
		return nil
	}
	an, err := client.ListRunsWithResponse(ctx)
	if err != nil || an.JSON200 == nil {
		return nil
	}
	return an.JSON200.Runs
}

// awaitGangs gives the gangs time to complete.
func (ij *Injector) awaitGangs(ctx context.Context) { ij.sleep(ctx, completionWait) }

// compare compares the answers to callers with the requests that the runners ran.
func (ij *Injector) compare(ctx context.Context) (Report, error) {
	ran := map[identifier.Key]int{}
	for _, address := range ij.options.Runners {
		for _, call := range runLog(ctx, address) {
			ran[call.Key]++
		}
	}
	ij.mu.Lock()
	defer ij.mu.Unlock()
	re := &ij.report
	for key, outcome := range ij.keys {
		re.count(outcome, ran[key])
	}
	re.CutOff = ij.cutOff
	an, err := ij.platform.GetAuditWithResponse(ctx)
	if err != nil || an.JSON200 == nil {
		return *re, eris.Errorf("read the platform's audit: %v", err)
	}
	re.PartialGangs, re.OverlappingGangs, re.LongestPartialRun = an.JSON200.HalfRunning, an.JSON200.Overlapping, an.JSON200.LongestHalfMillis
	return *re, ij.countJobs(ctx)
}

// count counts a key by its last answer and by how many times it ran.
func (re *Report) count(outcome answer, ran int) {
	if ran > 1 {
		re.RunTwice++
	}
	switch outcome {
	case done:
		re.Answered++
	case notRun:
		re.Refused++
		if ran > 0 {
			re.RunAfterRefusal++
		}
	case failed:
		re.Failed++
	case unknown:
		re.Unknown++
	default:
		re.NoAnswer++
	}
}

// countJobs counts the gang jobs by whether they completed.
func (ij *Injector) countJobs(ctx context.Context) error {
	client, err := ij.caller(0)
	if err != nil {
		return err
	}
	for _, id := range ij.jobs {
		an, err := client.GetJobWithResponse(ctx, id, nil)
		if err == nil && an.JSON200 != nil && an.JSON200.Outcome == types.OutcomeDone {
			ij.report.GangsDone++
		} else {
			ij.report.GangsNotDone++
		}
	}
	return nil
}
