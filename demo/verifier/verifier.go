// Package verifier runs the workload of a deployment against entry instances and checks every
// answer.
package verifier

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/demo/launcher"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/caller"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/operator"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	requestTimeout = 5 * clock.Second
	jobWait        = 20 * clock.Second
	startWait      = 15 * time.Second
	pollPause      = 50 * time.Millisecond
	maxChangeTime  = 4 * clock.Second
)

type (
	// Workload is the workload of one deployment.
	Workload struct {
		Name       string
		Workspaces []Workspace
		// RequestKind is the kind of all requests. The jobs have the JobKinds in turn.
		RequestKind caller.RequestBodyKind
		JobKinds    []caller.JobBodyKind
		Requests    int
	}

	// Workspace holds the row and the gang jobs of one workspace.
	Workspace struct {
		ID    identifier.Workspace
		Cells types.Cells
		Jobs  []types.Shape
	}

	// Result is one line of the results: how many operations were attempted and how many of
	// them succeeded completely.
	Result struct {
		Operation string
		Attempted int
		Succeeded int
		Detail    string
	}

	// Verifier runs a workload against a cluster.
	Verifier struct {
		cluster  *launcher.Cluster
		workload Workload
		results  []Result
	}
)

// New returns a verifier that runs a workload against a cluster.
func New(cl *launcher.Cluster, wl Workload) *Verifier { return &Verifier{cluster: cl, workload: wl} }

// Token is the bearer token of a workspace in the demo.
func Token(ws identifier.Workspace) string { return "token-of-" + string(ws) }

// Run runs the workload and returns the results. It returns an error if any part of it did
// not succeed.
func (ve *Verifier) Run(ctx context.Context) ([]Result, error) {
	steps := []func(context.Context) error{ve.setTable, ve.sendRequests, ve.sendDuplicates, ve.runJobs, ve.changeRow}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return ve.results, err
		}
	}
	return ve.results, ve.audit()
}

// add adds a line to the results. It returns an error if not all of it succeeded.
func (ve *Verifier) add(re Result) error {
	ve.results = append(ve.results, re)
	if re.Attempted != re.Succeeded {
		return eris.Errorf("%s: %d of %d succeeded", re.Operation, re.Succeeded, re.Attempted)
	}
	return nil
}

// setTable sets the row of each workspace in the shared table.
func (ve *Verifier) setTable(ctx context.Context) error {
	client, err := ve.cluster.Operator(0)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(startWait)
	re := Result{Operation: "rows set", Attempted: len(ve.workload.Workspaces)}
	for _, ws := range ve.workload.Workspaces {
		edit := operator.RowEdit{Cells: ws.Cells, Author: "demo"}
		an, err := client.SetRowWithResponse(ctx, ws.ID, &operator.SetRowParams{}, edit)
		if err != nil {
			return eris.Wrap(err, "set a row")
		}
		if an.JSON200 == nil {
			return eris.Errorf("set row %s: %s", ws.ID, an.Body)
		}
		re.Succeeded++
	}
	if err := ve.add(re); err != nil {
		return err
	}
	return ve.awaitInForce(ctx, deadline)
}

// awaitInForce waits until every instance has the newest table version in force, has it
// confirmed, and has a seat.
func (ve *Verifier) awaitInForce(ctx context.Context, deadline time.Time) error {
	newest := meter.TableVersion(0)
	for _, da := range ve.cluster.Daemons {
		newest = max(newest, da.Table.Version())
	}
	for {
		behind := 0
		for _, da := range ve.cluster.Daemons {
			if da.Table.Version() < newest || !da.Table.Confirmed() || da.Leases.Seats() == 0 {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		if time.Now().After(deadline) {
			return eris.Errorf("%d instances have no seat or do not have table version %d in force and confirmed", behind, newest)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPause):
		}
	}
}

// sendRequests sends requests to all instances at the same time and checks that each request
// gets its own complete answer.
func (ve *Verifier) sendRequests(ctx context.Context) error {
	var wait sync.WaitGroup
	var mu sync.Mutex
	re := Result{Operation: fmt.Sprintf("%s requests", ve.workload.RequestKind), Attempted: ve.workload.Requests}
	began := time.Now()
	perSender := ve.workload.Requests / len(ve.cluster.Daemons)
	for number := range ve.cluster.Daemons {
		wait.Go(func() {
			complete := 0
			for i := range perSender {
				if ve.sendRequest(ctx, number, fmt.Sprintf("request-%d-%d", number, i)) {
					complete++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			re.Succeeded += complete
		})
	}
	wait.Wait()
	re.Attempted = perSender * len(ve.cluster.Daemons)
	re.Detail = fmt.Sprintf("in %d ms", time.Since(began).Milliseconds())
	return ve.add(re)
}

func (ve *Verifier) body(key, payload string) caller.RequestBody {
	return caller.RequestBody{
		Key:           identifier.Key(key),
		Kind:          ve.workload.RequestKind,
		Class:         types.ClassNormal,
		TimeoutMillis: requestTimeout,
		Payload:       payload,
	}
}

// sendRequest sends a request and reports whether it got its answer.
func (ve *Verifier) sendRequest(ctx context.Context, number int, key string) bool {
	ws := ve.workload.Workspaces[number%len(ve.workload.Workspaces)]
	client, err := ve.cluster.Caller(number, Token(ws.ID))
	if err != nil {
		return false
	}
	payload := "work of " + key
	an, err := client.SendRequestWithResponse(ctx, ve.body(key, payload))
	return err == nil && an.JSON200 != nil && an.JSON200.Payload == "answer to "+payload
}

// sendDuplicates sends requests to two instances with the same key at the same time. Both
// calls must get the answer, and the runners must run the request once.
func (ve *Verifier) sendDuplicates(ctx context.Context) error {
	ws := ve.workload.Workspaces[0]
	re := Result{Operation: "same key at two instances", Attempted: 20}
	ran := 0
	for i := range re.Attempted {
		key := identifier.Key(fmt.Sprintf("twice-%d", i))
		if ve.sendPair(ctx, ws.ID, string(key)) {
			re.Succeeded++
		}
		for _, runners := range ve.cluster.Runners {
			for _, ru := range runners {
				ran += ru.RunCount(ws.ID, key)
			}
		}
	}
	re.Detail = fmt.Sprintf("%d runs", ran)
	if ran != re.Attempted {
		return eris.Errorf("%d requests ran %d times in total, want once each", re.Attempted, ran)
	}
	return ve.add(re)
}

// sendPair sends the same request to the first and the last instance at the same time, and
// reports whether both calls got the answer.
func (ve *Verifier) sendPair(ctx context.Context, ws identifier.Workspace, key string) bool {
	var wait sync.WaitGroup
	complete := make([]bool, 2)
	for side := range complete {
		number := side * (len(ve.cluster.Daemons) - 1)
		wait.Go(func() {
			client, err := ve.cluster.Caller(number, Token(ws))
			if err != nil {
				return
			}
			an, err := client.SendRequestWithResponse(ctx, ve.body(key, key))
			complete[side] = err == nil && an.JSON200 != nil && an.JSON200.Payload == "answer to "+key
		})
	}
	wait.Wait()
	return complete[0] && complete[1]
}

// changeRow changes one row and waits until the change is in force on all instances.
func (ve *Verifier) changeRow(ctx context.Context) error {
	client, err := ve.cluster.Operator(len(ve.cluster.Daemons) - 1)
	if err != nil {
		return err
	}
	table, err := client.GetTableWithResponse(ctx)
	if err != nil || table.JSON200 == nil {
		return eris.Errorf("get the shared table: %v", err)
	}
	row := table.JSON200.Rows[0]
	row.Cells.Weight++
	began := time.Now()
	an, err := client.SetRowWithResponse(ctx, row.Workspace, &operator.SetRowParams{}, operator.RowEdit{ExpectedVersion: row.RowVersion, Cells: row.Cells, Author: "demo"})
	if err != nil || an.JSON200 == nil || len(an.JSON200.Changes) != 1 {
		return eris.Errorf("change one cell: %v", err)
	}
	if err := ve.awaitInForce(ctx, began.Add(maxChangeTime.Duration())); err != nil {
		return err
	}
	return ve.add(Result{Operation: "row changed, in force everywhere", Attempted: 1, Succeeded: 1, Detail: fmt.Sprintf("in %d ms", time.Since(began).Milliseconds())})
}

// audit checks the stand-in's record of what the runners ran.
func (ve *Verifier) audit() error {
	audit := ve.cluster.Platform.Audit()
	ve.results = append(ve.results, Result{
		Operation: "gangs that ran partially",
		Detail:    fmt.Sprintf("%d running partially, %d with two runs at once, longest partial run %d ms", audit.HalfRunning, audit.Overlapping, audit.LongestHalfMillis),
	})
	if audit.HalfRunning != 0 || audit.Overlapping != 0 {
		return eris.New("a gang ran partially, or in two runs at once")
	}
	return nil
}
