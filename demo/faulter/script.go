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

// The instances that the faults meet, by number.
const (
	killed  = 1
	paused  = 2
	stopped = 5

	firstPause = 8 * time.Second
	pauseLong  = 10 * time.Second // beyond the length of a lease
	outage     = 5 * time.Second
	settling   = 25 * time.Second
	pollPause  = 25 * time.Millisecond
	longest    = 20 * time.Second
	quiet      = 5 * time.Second // a drained runner is watched this long
)

// script plays the faults one after another while the load goes on.
func (fa *Faulter) script(ctx context.Context) error {
	fa.pause(ctx, firstPause)
	if err := fa.signal(killed, syscall.SIGKILL); err != nil {
		return err
	}
	if err := fa.signal(paused, syscall.SIGSTOP); err != nil {
		return err
	}
	fa.pause(ctx, pauseLong)
	if err := fa.signal(paused, syscall.SIGCONT); err != nil {
		return err
	}
	if err := fa.measureDrain(ctx); err != nil {
		return err
	}
	if err := fa.gracefulStop(ctx); err != nil {
		return err
	}
	if err := fa.during(ctx, platform.Faults{StoreDown: true}); err != nil {
		return err
	}
	if err := fa.during(ctx, platform.Faults{LoseAnswers: 50, StoreDelayMillis: 100}); err != nil {
		return err
	}
	if err := fa.during(ctx, platform.Faults{CutZones: []identifier.Zone{fa.options.Instances[0].Zone}}); err != nil {
		return err
	}
	return fa.measureChange(ctx)
}

func (fa *Faulter) signal(number int, sig syscall.Signal) error {
	return eris.Wrapf(syscall.Kill(fa.options.Instances[number].Pid, sig), "signal instance %s", fa.options.Instances[number].Name)
}

// during plays faults of the platform for a while.
func (fa *Faulter) during(ctx context.Context, faults platform.Faults) error {
	if _, err := fa.platform.SetFaultsWithResponse(ctx, faults); err != nil {
		return eris.Wrap(err, "set faults")
	}
	fa.pause(ctx, outage)
	_, err := fa.platform.SetFaultsWithResponse(ctx, platform.Faults{})
	fa.pause(ctx, outage)
	return eris.Wrap(err, "end faults")
}

// gracefulStop stops an instance and waits until it is gone.
func (fa *Faulter) gracefulStop(ctx context.Context) error {
	fa.mu.Lock()
	fa.stopping = fa.options.Instances[stopped].Name
	fa.mu.Unlock()
	if err := fa.signal(stopped, syscall.SIGTERM); err != nil {
		return err
	}
	fa.pause(ctx, outage)
	fa.mu.Lock()
	defer fa.mu.Unlock()
	fa.stopping = ""
	return nil
}

// setRow gives the workspace of the load a row with a weight, and returns once accepted.
func (fa *Faulter) setRow(ctx context.Context, weight meter.Weight) error {
	client, err := fa.operator(0)
	if err != nil {
		return err
	}
	table, err := client.GetTableWithResponse(ctx)
	if err != nil || table.JSON200 == nil {
		return eris.Errorf("get the table: %v", err)
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
		return eris.Errorf("set the row: %v", err)
	}
	return nil
}

// measureChange times a change from its acceptance until every instance that lives has it
// in force.
func (fa *Faulter) measureChange(ctx context.Context) error {
	if err := fa.setRow(ctx, 2); err != nil {
		return err
	}
	began := time.Now()
	newest := fa.newest()
	for fa.behind(newest) > 0 {
		if time.Since(began) > longest {
			break
		}
		fa.pause(ctx, pollPause)
	}
	fa.report.ConfigSeconds = time.Since(began).Seconds()
	return nil
}

func (fa *Faulter) living() []Instance {
	var list []Instance
	for number, in := range fa.options.Instances {
		if number != killed && number != stopped {
			list = append(list, in)
		}
	}
	return list
}

func (fa *Faulter) newest() meter.TableVersion {
	var newest meter.TableVersion
	for _, in := range fa.living() {
		newest = max(newest, versionOf(in))
	}
	return newest
}

func (fa *Faulter) behind(newest meter.TableVersion) int {
	count := 0
	for _, in := range fa.living() {
		if versionOf(in) < newest {
			count++
		}
	}
	return count
}

// versionOf reads the table version in force from the metrics of an instance.
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

// measureDrain drains the first runner and times its last new request.
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
	for time.Since(last) < quiet && time.Since(began) < longest {
		if count := runsOf(ctx, fa.options.Runners[0]); count != seen {
			if seen >= 0 {
				last = time.Now()
			}
			seen = count
		}
		fa.pause(ctx, pollPause)
	}
	fa.report.DrainSeconds = last.Sub(began).Seconds()
	return nil
}

func runsOf(ctx context.Context, address string) int { return len(logOf(ctx, address)) }

func logOf(ctx context.Context, address string) []runner.RunCall {
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

// settle waits until the gangs have had the time to end.
func (fa *Faulter) settle(ctx context.Context) { fa.pause(ctx, settling) }

// count compares what callers were told with what was really run.
func (fa *Faulter) count(ctx context.Context) (Report, error) {
	ran := map[identifier.Key]int{}
	for _, address := range fa.options.Runners {
		for _, call := range logOf(ctx, address) {
			ran[call.Key]++
		}
	}
	fa.mu.Lock()
	defer fa.mu.Unlock()
	re := &fa.report
	for key, outcome := range fa.keys {
		re.add(outcome, ran[key])
	}
	re.CutOff = fa.cutOff
	an, err := fa.platform.GetAuditWithResponse(ctx)
	if err != nil || an.JSON200 == nil {
		return *re, eris.Errorf("read the audit: %v", err)
	}
	re.HalfRunning, re.Overlapping, re.LongestHalf = an.JSON200.HalfRunning, an.JSON200.Overlapping, an.JSON200.LongestHalfMillis
	return *re, fa.countJobs(ctx)
}

func (re *Report) add(outcome told, ran int) {
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
