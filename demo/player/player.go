// Package player runs the workload of a deployment against entry instances and checks every
// answer.
package player

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
	// Play is the workload of one deployment.
	Play struct {
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

	// Line is one line of the results: how many operations were attempted and how many of
	// them succeeded completely.
	Line struct {
		What   string
		Asked  int
		Whole  int
		Detail string
	}

	// Player runs a workload against a cluster.
	Player struct {
		cluster  *launcher.Cluster
		workload Play
		lines    []Line
	}
)

// New returns a player that runs a workload against a cluster.
func New(cl *launcher.Cluster, pl Play) *Player { return &Player{cluster: cl, workload: pl} }

// Token is the bearer token of a workspace in the demo.
func Token(ws identifier.Workspace) string { return "token-of-" + string(ws) }

// Run runs the workload and returns the results. It returns an error if any part of it did
// not succeed.
func (pl *Player) Run(ctx context.Context) ([]Line, error) {
	steps := []func(context.Context) error{pl.setTable, pl.sendRequests, pl.sendDuplicates, pl.runJobs, pl.changeRow}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return pl.lines, err
		}
	}
	return pl.lines, pl.audit()
}

// add adds a line to the results. It returns an error if not all of it succeeded.
func (pl *Player) add(li Line) error {
	pl.lines = append(pl.lines, li)
	if li.Asked != li.Whole {
		return eris.Errorf("%s: %d of %d succeeded", li.What, li.Whole, li.Asked)
	}
	return nil
}

// setTable sets the row of each workspace in the shared table.
func (pl *Player) setTable(ctx context.Context) error {
	client, err := pl.cluster.Operator(0)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(startWait)
	li := Line{What: "rows set", Asked: len(pl.workload.Workspaces)}
	for _, ws := range pl.workload.Workspaces {
		edit := operator.RowEdit{Cells: ws.Cells, Author: "demo"}
		an, err := client.SetRowWithResponse(ctx, ws.ID, &operator.SetRowParams{}, edit)
		if err != nil {
			return eris.Wrap(err, "set a row")
		}
		if an.JSON200 == nil {
			return eris.Errorf("set row %s: %s", ws.ID, an.Body)
		}
		li.Whole++
	}
	if err := pl.add(li); err != nil {
		return err
	}
	return pl.awaitInForce(ctx, deadline)
}

// awaitInForce waits until every instance has the newest table version in force, has it
// confirmed, and has a seat.
func (pl *Player) awaitInForce(ctx context.Context, deadline time.Time) error {
	newest := meter.TableVersion(0)
	for _, da := range pl.cluster.Daemons {
		newest = max(newest, da.Table.Version())
	}
	for {
		behind := 0
		for _, da := range pl.cluster.Daemons {
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
func (pl *Player) sendRequests(ctx context.Context) error {
	var wait sync.WaitGroup
	var mu sync.Mutex
	li := Line{What: fmt.Sprintf("%s requests", pl.workload.RequestKind), Asked: pl.workload.Requests}
	began := time.Now()
	perSender := pl.workload.Requests / len(pl.cluster.Daemons)
	for number := range pl.cluster.Daemons {
		wait.Go(func() {
			complete := 0
			for i := range perSender {
				if pl.sendRequest(ctx, number, fmt.Sprintf("request-%d-%d", number, i)) {
					complete++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			li.Whole += complete
		})
	}
	wait.Wait()
	li.Asked = perSender * len(pl.cluster.Daemons)
	li.Detail = fmt.Sprintf("in %d ms", time.Since(began).Milliseconds())
	return pl.add(li)
}

func (pl *Player) body(key, payload string) caller.RequestBody {
	return caller.RequestBody{
		Key:           identifier.Key(key),
		Kind:          pl.workload.RequestKind,
		Class:         types.ClassNormal,
		TimeoutMillis: requestTimeout,
		Payload:       payload,
	}
}

// sendRequest sends a request and reports whether it got its answer.
func (pl *Player) sendRequest(ctx context.Context, number int, key string) bool {
	ws := pl.workload.Workspaces[number%len(pl.workload.Workspaces)]
	client, err := pl.cluster.Caller(number, Token(ws.ID))
	if err != nil {
		return false
	}
	payload := "work of " + key
	an, err := client.SendRequestWithResponse(ctx, pl.body(key, payload))
	return err == nil && an.JSON200 != nil && an.JSON200.Payload == "answer to "+payload
}

// sendDuplicates sends requests to two instances with the same key at the same time. Both
// calls must get the answer, and the runners must run the request once.
func (pl *Player) sendDuplicates(ctx context.Context) error {
	ws := pl.workload.Workspaces[0]
	li := Line{What: "same key at two instances", Asked: 20}
	ran := 0
	for i := range li.Asked {
		key := identifier.Key(fmt.Sprintf("twice-%d", i))
		if pl.sendPair(ctx, ws.ID, string(key)) {
			li.Whole++
		}
		for _, runners := range pl.cluster.Runners {
			for _, ru := range runners {
				ran += ru.RunCount(ws.ID, key)
			}
		}
	}
	li.Detail = fmt.Sprintf("%d runs", ran)
	if ran != li.Asked {
		return eris.Errorf("%d requests ran %d times in total, want once each", li.Asked, ran)
	}
	return pl.add(li)
}

// sendPair sends the same request to the first and the last instance at the same time, and
// reports whether both calls got the answer.
func (pl *Player) sendPair(ctx context.Context, ws identifier.Workspace, key string) bool {
	var wait sync.WaitGroup
	complete := make([]bool, 2)
	for side := range complete {
		number := side * (len(pl.cluster.Daemons) - 1)
		wait.Go(func() {
			client, err := pl.cluster.Caller(number, Token(ws))
			if err != nil {
				return
			}
			an, err := client.SendRequestWithResponse(ctx, pl.body(key, key))
			complete[side] = err == nil && an.JSON200 != nil && an.JSON200.Payload == "answer to "+key
		})
	}
	wait.Wait()
	return complete[0] && complete[1]
}

// changeRow changes one row and waits until the change is in force on all instances.
func (pl *Player) changeRow(ctx context.Context) error {
	client, err := pl.cluster.Operator(len(pl.cluster.Daemons) - 1)
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
	if err := pl.awaitInForce(ctx, began.Add(maxChangeTime.Duration())); err != nil {
		return err
	}
	return pl.add(Line{What: "row changed, in force everywhere", Asked: 1, Whole: 1, Detail: fmt.Sprintf("in %d ms", time.Since(began).Milliseconds())})
}

// audit checks the stand-in's record of what the runners ran.
func (pl *Player) audit() error {
	audit := pl.cluster.Platform.Audit()
	pl.lines = append(pl.lines, Line{
		What:   "gangs that ran partially",
		Detail: fmt.Sprintf("%d running partially, %d with two runs at once, longest partial run %d ms", audit.HalfRunning, audit.Overlapping, audit.LongestHalfMillis),
	})
	if audit.HalfRunning != 0 || audit.Overlapping != 0 {
		return eris.New("a gang ran partially, or in two runs at once")
	}
	return nil
}
