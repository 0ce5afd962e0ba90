// Package claimer stores durable claims, which ensure that a non-idempotent request is
// dispatched at most once, no matter how often its key is sent and to which instance.
package claimer

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

const maxPending = 4096 // outcomes held in memory until the store is available again

type (
	// Claimer creates claims and records the final outcomes of claimed requests.
	Claimer struct {
		instance identifier.Instance
		store    *storer.Store
		log      zerolog.Logger

		mu locker.Mutex
		// pending holds outcomes that could not be written yet, guarded by mu.
		pending []pendingOutcome
	}

	// Request identifies a request to be claimed.
	Request struct {
		Workspace identifier.Workspace
		Key       identifier.Key
		// Digest covers everything that must be identical when the key is sent again.
		Digest string
	}

	// Claim is the right to dispatch a request once.
	Claim struct {
		request Request
		row     rows.ClaimRow
		version meter.RowVersion
	}

	// PriorRequest is the state and outcome of an earlier request with the same key.
	PriorRequest struct {
		State   rows.ClaimRowState
		Payload string
		Reason  string
	}

	pendingOutcome struct {
		claim Claim
	}
)

// New returns a claimer without pending outcomes.
func New(in identifier.Instance, st *storer.Store, log zerolog.Logger) *Claimer {
	return &Claimer{instance: in, store: st, log: log, mu: locker.New(locker.RankBudget)}
}

// Claim creates a claim, or returns the state of the earlier request if the key has been used. Errors
// are of the kinds KeyReused and StoreUnavailable; after StoreUnavailable the request must not be
// dispatched.
func (cl *Claimer) Claim(ctx context.Context, re Request) (*Claim, *PriorRequest, error) {
	return cl.create(ctx, re, rows.ClaimRowStateClaimed)
}

// Refuse records that the request was not run and never will be, or returns the state of the earlier
// request if the key has been used.
func (cl *Claimer) Refuse(ctx context.Context, re Request) (*PriorRequest, error) {
	_, prior, err := cl.create(ctx, re, rows.ClaimRowStateNotRun)
	return prior, err
}

func (cl *Claimer) create(ctx context.Context, re Request, state rows.ClaimRowState) (*Claim, *PriorRequest, error) {
	claim := Claim{request: re, row: rows.ClaimRow{
		ClaimID:    identifier.NewClaim(),
		BodyDigest: re.Digest,
		Instance:   cl.instance,
		State:      state,
	}}
	ba := &storer.Batch{}
	ba.Replace(storer.ClaimKey(re.Workspace, re.Key), 0, claim.row)
	version, err := cl.store.Commit(ctx, ba)
	switch problem.KindOf(err) {
	case "":
		claim.version = version
		return &claim, nil, nil
	case problem.Conflict:
		prior, err := cl.Lookup(ctx, re)
		if err == nil && prior == nil {
			err = problem.New(problem.StoreUnavailable, "claim of key %s was reported as existing, but was not found", re.Key)
		}
		return nil, prior, err
	default:
		cl.abandon(claim)
		return nil, nil, err
	}
}

// Lookup returns the state of an earlier request with the same key, or nil if there was none.
func (cl *Claimer) Lookup(ctx context.Context, re Request) (*PriorRequest, error) {
	row, err := storer.Read[rows.ClaimRow](ctx, cl.store, storer.ClaimKey(re.Workspace, re.Key))
	if err != nil || row.Version == 0 {
		return nil, err
	}
	if row.Value.BodyDigest != re.Digest {
		return nil, problem.New(problem.KeyReused, "key %s", re.Key)
	}
	return &PriorRequest{State: row.Value.State, Payload: row.Value.Payload, Reason: row.Value.Reason}, nil
}

// abandon queues the outcome "not run" for a claim that may or may not have been written. The
// request will not be dispatched.
func (cl *Claimer) abandon(claim Claim) {
	claim.row.State = rows.ClaimRowStateNotRun
	claim.version = 0
	cl.enqueue(claim)
}

// RecordOutcome records the final outcome of the request. If the store is unavailable, the
// outcome is queued and written later by Step. It is discarded if maxPending outcomes are queued.
func (cl *Claimer) RecordOutcome(ctx context.Context, claim *Claim, state rows.ClaimRowState, payload, reason string) {
	final := *claim
	final.row.State, final.row.Payload, final.row.Reason = state, payload, reason
	if err := cl.write(ctx, final); err != nil {
		cl.enqueue(final)
	}
}

func (cl *Claimer) enqueue(claim Claim) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.pending) >= maxPending {
		cl.log.Error().Str("key", string(claim.request.Key)).Msg("outcomeDiscarded")
		return
	}
	cl.pending = append(cl.pending, pendingOutcome{claim: claim})
}

// write replaces the claim row by the row with the final outcome. A conflict is not an error: it means
// that the row belongs to another claim or already has a final outcome.
func (cl *Claimer) write(ctx context.Context, claim Claim) error {
	key := storer.ClaimKey(claim.request.Workspace, claim.request.Key)
	if claim.version == 0 {
		row, err := storer.Read[rows.ClaimRow](ctx, cl.store, key)
		if err != nil {
			return err
		}
		if row.Version == 0 || row.Value.ClaimID != claim.row.ClaimID {
			return nil
		}
		claim.version = row.Version
	}
	ba := &storer.Batch{}
	ba.Replace(key, claim.version, claim.row)
	_, err := cl.store.Commit(ctx, ba)
	if problem.KindOf(err) == problem.Conflict {
		return nil
	}
	return err
}

// Step writes the queued outcomes. It stops at the first error and keeps the rest for the next step.
func (cl *Claimer) Step(ctx context.Context) error {
	for {
		next, found := cl.dequeue()
		if !found {
			return nil
		}
		if err := cl.write(ctx, next.claim); err != nil {
			cl.enqueue(next.claim)
			return err
		}
	}
}

func (cl *Claimer) dequeue() (pendingOutcome, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.pending) == 0 {
		return pendingOutcome{}, false
	}
	next := cl.pending[0]
	cl.pending = cl.pending[1:]
	return next, true
}

// PendingOutcomes returns the number of outcomes that have not been written yet.
func (cl *Claimer) PendingOutcomes() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.pending)
}
