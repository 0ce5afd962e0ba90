// Package claimer keeps the durable claims that let a non-idempotent request be dispatched
// at most once, wherever and however often its key is sent.
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

const mostUnsettled = 4096 // outcomes kept until the store answers again

type (
	// Claimer makes and settles claims.
	Claimer struct {
		instance identifier.Instance
		store    *storer.Store
		log      zerolog.Logger

		mu locker.Mutex
		// unsettled holds outcomes that could not be written yet, guarded by mu.
		unsettled []settlement
	}

	// Request names what is claimed.
	Request struct {
		Workspace identifier.Workspace
		Key       identifier.Key
		// Digest is that of everything that must be the same when a key is sent again.
		Digest string
	}

	// Claim is the right to dispatch a request, once.
	Claim struct {
		request Request
		row     rows.ClaimRow
		version meter.RowVersion
	}

	// Prior is what an earlier call with the same key has come to.
	Prior struct {
		State   rows.ClaimRowState
		Payload string
		Reason  string
	}

	settlement struct {
		claim Claim
	}
)

// New returns a claimer.
func New(in identifier.Instance, st *storer.Store, log zerolog.Logger) *Claimer {
	return &Claimer{instance: in, store: st, log: log, mu: locker.New(locker.RankBudget)}
}

// Claim makes the claim, or returns what an earlier call has come to. Errors are of the
// kinds KeyReused and StoreUnavailable; after the latter nothing may be dispatched.
func (cl *Claimer) Claim(ctx context.Context, re Request) (*Claim, *Prior, error) {
	return cl.create(ctx, re, rows.ClaimRowStateClaimed)
}

// Refuse excludes for good that the request is run, or returns what an earlier call has
// come to.
func (cl *Claimer) Refuse(ctx context.Context, re Request) (*Prior, error) {
	_, prior, err := cl.create(ctx, re, rows.ClaimRowStateNotRun)
	return prior, err
}

func (cl *Claimer) create(ctx context.Context, re Request, state rows.ClaimRowState) (*Claim, *Prior, error) {
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
		prior, err := cl.Look(ctx, re)
		if err == nil && prior == nil {
			err = problem.New(problem.StoreUnavailable, "the claim of key %s was there and is not", re.Key)
		}
		return nil, prior, err
	default:
		cl.abandon(claim)
		return nil, nil, err
	}
}

// Look returns what an earlier call with the same key has come to; nil means that there
// was none.
func (cl *Claimer) Look(ctx context.Context, re Request) (*Prior, error) {
	row, err := storer.Read[rows.ClaimRow](ctx, cl.store, storer.ClaimKey(re.Workspace, re.Key))
	if err != nil || row.Version == 0 {
		return nil, err
	}
	if row.Value.BodyDigest != re.Digest {
		return nil, problem.New(problem.KeyReused, "key %s", re.Key)
	}
	return &Prior{State: row.Value.State, Payload: row.Value.Payload, Reason: row.Value.Reason}, nil
}

// abandon remembers that a claim which may have been written will never be used.
func (cl *Claimer) abandon(claim Claim) {
	claim.row.State = rows.ClaimRowStateNotRun
	claim.version = 0
	cl.keep(claim)
}

// Settle records what became of the request. If the store does not answer, the outcome
// is kept and written later by Step.
func (cl *Claimer) Settle(ctx context.Context, claim *Claim, state rows.ClaimRowState, payload, reason string) {
	settled := *claim
	settled.row.State, settled.row.Payload, settled.row.Reason = state, payload, reason
	if err := cl.write(ctx, settled); err != nil {
		cl.keep(settled)
	}
}

func (cl *Claimer) keep(claim Claim) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.unsettled) >= mostUnsettled {
		cl.log.Error().Str("key", string(claim.request.Key)).Msg("outcomeDropped")
		return
	}
	cl.unsettled = append(cl.unsettled, settlement{claim: claim})
}

// write puts the settled row in place of the claim. A conflict means that the row is
// another's or has been settled, and is no error.
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

// Step writes outcomes that were kept, until the store stops answering.
func (cl *Claimer) Step(ctx context.Context) error {
	for {
		next, found := cl.take()
		if !found {
			return nil
		}
		if err := cl.write(ctx, next.claim); err != nil {
			cl.keep(next.claim)
			return err
		}
	}
}

func (cl *Claimer) take() (settlement, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.unsettled) == 0 {
		return settlement{}, false
	}
	next := cl.unsettled[0]
	cl.unsettled = cl.unsettled[1:]
	return next, true
}

// Unsettled is the number of outcomes that are not written yet.
func (cl *Claimer) Unsettled() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.unsettled)
}
