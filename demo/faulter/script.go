package faulter

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
func (fa *Faulter) runFaults(ctx context.Context) error {
	fa.sleep(ctx, warmUp)
	if err := fa.signal(killed, syscall.SIGKILL); err != nil {
		return err
	}
	if err := fa.signal(paused, syscall.SIGSTOP); err != nil {
		return err
	}
	fa.sleep(ctx, pauseLength)
	if err := fa.signal(paused, syscall.SIGCONT); err != nil {
		return err
	}
	if err := fa.measureDrain(ctx); err != nil {
		return err
	}
	if err := fa.gracefulStop(ctx); err != nil {
		return err
	}
	if err := fa.applyFaults(ctx, platform.Faults{StoreDown: true}); err != nil {
		return err
	}
	if err := fa.applyFaults(ctx, platform.Faults{LoseAnswers: 50, StoreDelayMillis: 100}); err != nil {
		return err
	}
	if err := fa.applyFaults(ctx, platform.Faults{CutZones: []identifier.Zone{fa.options.Instances[0].Zone}}); err != nil {
		return err
	}
	return fa.measureChange(ctx)
}

func (fa *Faulter) signal(number int, sig syscall.Signal) error {
	return eris.Wrapf(syscall.Kill(fa.options.Instances[number].Pid, sig), "signal instance %s", fa.options.Instances[number].Name)
}

// applyFaults sets faults of the platform for a while and then removes them.
func (fa *Faulter) applyFaults(ctx context.Context, faults platform.Faults) error {
	if _, err := fa.platform.SetFaultsWithResponse(ctx, faults); err != nil {
		return eris.Wrap(err, "set faults")
	}
	fa.sleep(ctx, faultLength)
	_, err := fa.platform.SetFaultsWithResponse(ctx, platform.Faults{})
	fa.sleep(ctx, faultLength)
	return eris.Wrap(err, "remove faults")
}

// gracefulStop stops an instance with SIGTERM. It waits while the instance shuts down.
func (fa *Faulter) gracefulStop(ctx context.Context) error {
	fa.mu.Lock()
	fa.stopping = fa.options.Instances[stopped].Name
	fa.mu.Unlock()
	if err := fa.signal(stopped, syscall.SIGTERM); err != nil {
		return err
	}
	fa.sleep(ctx, faultLength)
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.stopping = ""
	return nil
}

// setRow sets the row of the load's workspace, with the given weight, in the shared table.
func (fa *Faulter) setRow(ctx context.Context, weight meter.Weight) error {
	client, err := fa.operator(0)
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
func (fa *Faulter) measureChange(ctx context.Context) error {
	if err := fa.setRow(ctx, 2); err != nil {
		return err
	}
	began := time.Now()
	newest := fa.newestVersion()
	for fa.countBehind(newest) > 0 {
		if time.Since(began) > maxWait {
			break
		}
		fa.sleep(ctx, pollPause)
	}
	fa.report.ConfigSeconds = time.Since(began).Seconds()
	return nil
}

// running returns the instances that were neither killed nor stopped.
func (fa *Faulter) running() []Instance {
	var list []Instance
	for number, in := range fa.options.Instances {
		if number != killed && number != stopped {
			list = append(list, in)
		}
	}
	return list
}

// newestVersion returns the newest table version that is in force on any instance.
func (fa *Faulter) newestVersion() meter.TableVersion {
	var newest meter.TableVersion
	for _, in := range fa.running() {
		newest = max(newest, versionOf(in))
	}
	return newest
}

// countBehind counts the instances on which an older version is in force.
func (fa *Faulter) countBehind(version meter.TableVersion) int {
	count := 0
	for _, in := range fa.running() {
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
func (fa *Faulter) measureDrain(ctx context.Context) error {
	client, err := fa.operator(0)
	if err != nil {
		return err
	}
	target := identifier.Target(string(fa.options.Instances[0].Zone) + "-runner-00")
	an, err := client.DrainTargetWithResponse(ctx, target, &operator.DrainTargetParams{})
	if err != nil || an.JSON200 == nil {
		return eris.Errorf("drain %s: %v", target, err)
	}
	began := time.Now()
	last, seen := began, -1
	for time.Since(last) < quietPeriod && time.Since(began) < maxWait {
		if count := runCount(ctx, fa.options.Runners[0]); count != seen {
			if seen >= 0 {
				last = time.Now()
			}
			seen = count
		}
		fa.sleep(ctx, pollPause)
	}
	fa.report.DrainSeconds = last.Sub(began).Seconds()
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
func (fa *Faulter) awaitGangs(ctx context.Context) { fa.sleep(ctx, completionWait) }

// compare compares the answers to callers with the requests that the runners ran.
func (fa *Faulter) compare(ctx context.Context) (Report, error) {
	ran := map[identifier.Key]int{}
	for _, address := range fa.options.Runners {
		for _, call := range runLog(ctx, address) {
			ran[call.Key]++
		}
	}
	fa.mu.Lock()
	defer fa.mu.Unlock()
	re := &fa.report
	for key, outcome := range fa.keys {
		re.count(outcome, ran[key])
	}
	re.CutOff = fa.cutOff
	an, err := fa.platform.GetAuditWithResponse(ctx)
	if err != nil || an.JSON200 == nil {
		return *re, eris.Errorf("read the platform's audit: %v", err)
	}
	re.HalfRunning, re.Overlapping, re.LongestHalf = an.JSON200.HalfRunning, an.JSON200.Overlapping, an.JSON200.LongestHalfMillis
	return *re, fa.countJobs(ctx)
}

// count counts a key by its last answer and by how many times it ran.
func (re *Report) count(outcome answer, ran int) {
	if ran > 1 {
		re.Doubled++
	}
	switch outcome {
	case done:
		re.Answered++
	case notRun:
		re.Refused++
		if ran > 0 {
			re.FalselyNotRun++
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
func (fa *Faulter) countJobs(ctx context.Context) error {
	client, err := fa.caller(0)
	if err != nil {
		return err
	}
	for _, id := range fa.jobs {
		an, err := client.GetJobWithResponse(ctx, id, nil)
		if err == nil && an.JSON200 != nil && an.JSON200.Outcome == types.OutcomeDone {
			fa.report.GangsDone++
		} else {
			fa.report.GangsNotDone++
		}
	}
	return nil
}
