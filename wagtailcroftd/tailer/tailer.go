// Package tailer follows the changes of one table of the store. It reads the complete table,
// then its changes, and reads the complete table again if changes were missed.
package tailer

import (
	"context"
	"math/rand/v2"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

const (
	// initialBackoff and maxBackoff determine the random pause after a failed call. The bound of
	// its random part doubles with each failure up to maxBackoff, which is short enough that
	// every instance applies a change of the configuration within the required 2 s after an
	// outage.
	initialBackoff = 100 * clock.Millis(1)
	maxBackoff     = 800 * clock.Millis(1)
	// answerTimeout is how long the store may take to answer, in addition to the wait that
	// Watch asks for. The store answers within 4 ms, or 60 times that when it is slow.
	answerTimeout = 700 * clock.Millis(1)
	// maxLateFollows is how many calls in a row may not be answered in time before the table is read in
	// pages instead, since its changes may not fit through the link within the time of one call.
	maxLateFollows = 3
)

// pageLimits are the numbers of rows of a page that are tried one after the other when a page does not
// arrive in time; 0 leaves it to the store. A page of 1 MB takes 4 s on a link of 2 Mbit/s, and a row of a
// job is seldom above 20 KB.
var pageLimits = []int{0, 128, 32, 8, 2}

type (
	// Store is the part of the store that the tailer uses.
	Store interface {
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Watch(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error)
		CloseIdleConnections()
	}

	// Handler receives the rows and changes of the table. All its methods are called from one
	// goroutine.
	Handler interface {
		// Snapshot receives all rows of the table.
		Snapshot(rows []rowstore.Row)
		// Changed receives changed rows in order. Rows with version 0 were removed.
		Changed(rows []rowstore.Row)
		// ConfirmedAt is called when all changes before a time have been passed to the handler.
		ConfirmedAt(at clock.Millis)
	}

	// Tailer follows one table.
	Tailer struct {
		table rowstore.Table
		store Store
		cl    clock.Clock
		log   zerolog.Logger
		// wait is how long the store may wait for a change before it answers a Watch call.
		wait clock.Millis
		// batchDelay is a pause after each successful call, so that the next one returns
		// several changes together.
		batchDelay clock.Millis
		// version is the newest store version that was passed to the handler. It is valid only if
		// inSync is true, because a store that was never written has version 0.
		version meter.RowVersion
		// inSync means that the table has been read and no change was missed since.
		inSync bool
		// failures counts failed calls since the last successful one.
		failures int
	}

	// Timing determines how often the store is called.
	Timing struct {
		// Wait is how long the store may wait for a change before it answers.
		Wait clock.Millis
		// BatchDelay is a pause after each successful call, so that the next one returns several
		// changes together.
		BatchDelay clock.Millis
	}
)

// New returns a tailer that makes no calls until Run.
func New(st Store, ta rowstore.Table, ti Timing, cl clock.Clock, log zerolog.Logger) *Tailer {
	return &Tailer{table: ta, store: st, cl: cl, wait: ti.Wait, batchDelay: ti.BatchDelay, log: log.With().Str("table", string(ta)).Logger()}
}

// Run follows the table until ctx ends.
func (ta *Tailer) Run(ctx context.Context, ha Handler) {
	for ctx.Err() == nil {
		pause := ta.batchDelay
		if err := ta.step(ctx, ha); err != nil && ctx.Err() == nil {
			pause = ta.recordFailure(err)
		}
		if pause > 0 {
			clock.Sleep(ctx, ta.cl, pause)
		}
	}
}

// step reads the table or its next changes, and passes them to the handler.
func (ta *Tailer) step(ctx context.Context, ha Handler) error {
	sent := ta.cl.Now()
	if !ta.inSync {
		return ta.readTable(ctx, ha, sent)
	}
	page, err := ta.follow(ctx)
	if eris.Is(err, rowstore.ErrCompacted) {
		ta.log.Info().Int64("version", int64(ta.version)).Str("why", "change history compacted").Msg("tableReloaded")
		ta.inSync = false
		return nil
	}
	if err != nil {
		late := ta.cl.Now()-sent >= ta.wait+answerTimeout
		ta.inSync = !late || ta.failures+1 < maxLateFollows
		return err
	}
	ta.recordSuccess()
	if len(page.Rows) > 0 {
		ha.Changed(page.Rows)
	}
	ta.version = max(ta.version, page.Version)
	ha.ConfirmedAt(sent)
	return nil
}

func (ta *Tailer) follow(ctx context.Context) (rowstore.Page, error) {
	ctx, cancel := ta.cl.WithTimeout(ctx, ta.wait+answerTimeout)
	defer cancel()
	return ta.store.Watch(ctx, ta.table, ta.version, ta.wait)
}

// readTable reads the complete table. Changes that are made while it reads are returned again by
// the next Watch call.
func (ta *Tailer) readTable(ctx context.Context, ha Handler, sent clock.Millis) error {
	rows, version, err := ReadTable(ctx, ta.store, ta.cl, ta.table)
	if err != nil {
		return err
	}
	ta.recordSuccess()
	ha.Snapshot(rows)
	ta.version, ta.inSync = version, true
	ha.ConfirmedAt(sent)
	return nil
}

// ReadTable reads all rows of a table page by page, smaller ones where a page does not arrive in time. It
// returns the rows and the version of the store when the first page was read.
func ReadTable(ctx context.Context, st Store, cl clock.Clock, table rowstore.Table) ([]rowstore.Row, meter.RowVersion, error) {
	var rows []rowstore.Row
	var version meter.RowVersion
	from := ""
	limits := pageLimits
	for {
		bound, cancel := cl.WithTimeout(ctx, answerTimeout)
		page, err := st.Read(bound, table, from, "", limits[0])
		late := bound.Err() != nil && ctx.Err() == nil
		cancel()
		if late && err != nil && len(limits) > 1 {
			st.CloseIdleConnections()
			limits = limits[1:]
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		if rows == nil {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		from = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
}

// recordSuccess resets the failure count.
func (ta *Tailer) recordSuccess() {
	if ta.failures > 0 {
		ta.log.Info().Int("failures", ta.failures).Msg("storeRecovered")
	}
	ta.failures = 0
}

// recordFailure counts a failed call and returns the pause before the next one. The pause has full
// jitter, so that the instances do not all call the store at the same time after an outage.
func (ta *Tailer) recordFailure(err error) clock.Millis {
	ta.failures++
	if ta.failures == 1 {
		ta.log.Warn().Err(err).Msg("storeUnreachable")
	}
	ta.store.CloseIdleConnections()
	limit := min(initialBackoff<<min(ta.failures, 4), maxBackoff)
	return initialBackoff/2 + clock.Millis(rand.Int64N(int64(limit)))
}
