// Package tailer keeps up with the changes of one table of the store: it reads the table
// whole, then follows its changes, and reads it whole again where changes were missed.
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
	// firstPause and longestPause bound the pause after a failed call, which doubles with
	// each failure. The longest keeps every instance within the 2 s that a change of the
	// configuration may take after an outage.
	firstPause   = 100 * clock.Millis(1)
	longestPause = 800 * clock.Millis(1)
	// slack is the time that an answer may take beyond the wait that was asked for: the
	// store answers within 4 ms, and 60 times that when it is slow.
	slack = 700 * clock.Millis(1)
)

type (
	// Store is what the tailer needs of the store.
	Store interface {
		Read(ctx context.Context, ta rowstore.Table, from, to string, limit int) (rowstore.Page, error)
		Follow(ctx context.Context, ta rowstore.Table, after meter.RowVersion, wait clock.Millis) (rowstore.Page, error)
		Reset()
	}

	// Reader takes what the tailer learns. Its methods are called by one goroutine.
	Reader interface {
		// Whole gives all rows of the table.
		Whole(rows []rowstore.Row)
		// Changed gives changed rows, in order. Rows of version 0 were removed.
		Changed(rows []rowstore.Row)
		// Confirmed tells that all changes before the moment have been given.
		Confirmed(at clock.Millis)
	}

	// Tailer follows one table.
	Tailer struct {
		table rowstore.Table
		store Store
		cl    clock.Clock
		log   zerolog.Logger
		// wait is how long the store may wait for a change before it answers.
		wait clock.Millis
		// gap is a pause after each answer, in which changes gather.
		gap clock.Millis
		// version is the newest that has been given, if the table is known; a store that was
		// never written has version 0.
		version meter.RowVersion
		// known means that the table has been read, and no change was missed since.
		known bool
		// failures counts failed calls since the last good one.
		failures int
	}

	// Timing is how often the table is asked for.
	Timing struct {
		Wait clock.Millis
		Gap  clock.Millis
	}
)

// New returns a tailer of a table.
func New(st Store, ta rowstore.Table, ti Timing, cl clock.Clock, log zerolog.Logger) *Tailer {
	return &Tailer{table: ta, store: st, cl: cl, wait: ti.Wait, gap: ti.Gap, log: log.With().Str("table", string(ta)).Logger()}
}

// Run follows the table until ctx ends.
func (ta *Tailer) Run(ctx context.Context, re Reader) {
	for ctx.Err() == nil {
		pause := ta.gap
		if err := ta.step(ctx, re); err != nil && ctx.Err() == nil {
			pause = ta.failed(err)
		}
		if pause > 0 {
			clock.Sleep(ctx, ta.cl, pause)
		}
	}
}

// step makes one call and gives what it brought.
func (ta *Tailer) step(ctx context.Context, re Reader) error {
	sent := ta.cl.Now()
	if !ta.known {
		return ta.whole(ctx, re, sent)
	}
	page, err := ta.follow(ctx)
	if eris.Is(err, rowstore.ErrCompacted) {
		ta.log.Info().Int64("version", int64(ta.version)).Str("why", "history dropped").Msg("tableReread")
		ta.known = false
		return nil
	}
	if err != nil {
		return err
	}
	ta.good()
	if len(page.Rows) > 0 {
		re.Changed(page.Rows)
	}
	ta.version = max(ta.version, page.Version)
	re.Confirmed(sent)
	return nil
}

func (ta *Tailer) follow(ctx context.Context) (rowstore.Page, error) {
	ctx, cancel := ta.cl.Bound(ctx, ta.wait+slack)
	defer cancel()
	return ta.store.Follow(ctx, ta.table, ta.version, ta.wait)
}

// whole reads the table page by page. Changes made meanwhile come again from the feed.
func (ta *Tailer) whole(ctx context.Context, re Reader, sent clock.Millis) error {
	rows, version, err := Whole(ctx, ta.store, ta.cl, ta.table)
	if err != nil {
		return err
	}
	ta.good()
	re.Whole(rows)
	ta.version, ta.known = version, true
	re.Confirmed(sent)
	return nil
}

// Whole reads all rows of a table, and the store's version when the reading began.
func Whole(ctx context.Context, st Store, cl clock.Clock, table rowstore.Table) ([]rowstore.Row, meter.RowVersion, error) {
	var rows []rowstore.Row
	var version meter.RowVersion
	from := ""
	for {
		bound, cancel := cl.Bound(ctx, slack)
		page, err := st.Read(bound, table, from, "", 0)
		cancel()
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

func (ta *Tailer) good() {
	if ta.failures > 0 {
		ta.log.Info().Int("failures", ta.failures).Msg("storeRegained")
	}
	ta.failures = 0
}

// failed returns the pause before the next call, with full jitter, so that instances do
// not return all at once.
func (ta *Tailer) failed(err error) clock.Millis {
	ta.failures++
	if ta.failures == 1 {
		ta.log.Warn().Err(err).Msg("storeLost")
	}
	ta.store.Reset()
	most := min(firstPause<<min(ta.failures, 4), longestPause)
	return firstPause/2 + clock.Millis(rand.Int64N(int64(most)))
}
