// Package follower keeps the operators' configuration in force on this instance, and
// knows how fresh it is.
package follower

import (
	"cmp"
	"context"
	"slices"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/tailer"
)

// followWait is how long the store may wait for a change before it confirms that there is
// none. It is well below the time for which an unconfirmed configuration may be used.
const followWait = 1000 * clock.Millis(1)

type (
	// Source is where the configuration lies and how it is read.
	Source struct {
		Key    rowstore.Key
		Decode func(row rowstore.Row) (*policy.Policy, error)
		// DecodeWave reads a wave of upkeep; its second result is false for other rows.
		DecodeWave func(row rowstore.Row) (fleet.Wave, bool, error)
	}

	// Follower holds the newest configuration. It never goes back to an older one.
	Follower struct {
		source Source
		store  tailer.Store
		cl     clock.Clock
		log    zerolog.Logger

		mu locker.Mutex
		// current is nil before the first configuration.
		current *policy.Policy
		// confirmed is the moment before which every change is known; 0 means never.
		confirmed clock.Millis
		// waves holds the waves of upkeep by the name of their row.
		waves map[string]fleet.Wave
	}

	// reader takes what the tailer learns.
	reader struct{ fo *Follower }
)

// New returns a follower that knows nothing until Run.
func New(so Source, st tailer.Store, cl clock.Clock, log zerolog.Logger) *Follower {
	return &Follower{waves: map[string]fleet.Wave{}, source: so, store: st, cl: cl, log: log, mu: locker.New(locker.RankPolicy)}
}

// Run follows the configuration until ctx ends.
func (fo *Follower) Run(ctx context.Context) {
	tailer.New(fo.store, fo.source.Key.Table, tailer.Timing{Wait: followWait}, fo.cl, fo.log).Run(ctx, reader{fo})
}

// Current returns the newest configuration, or nil before there is one.
func (fo *Follower) Current() *policy.Policy {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.current
}

// Confirmed is the moment up to which every change is known.
func (fo *Follower) Confirmed() clock.Millis {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.confirmed
}

// Whole takes the rows of the table.
func (re reader) Whole(rows []rowstore.Row) { re.Changed(rows) }

// Changed takes changed rows; only the newest version of the configuration counts.
func (re reader) Changed(rows []rowstore.Row) {
	for _, ro := range rows {
		switch {
		case ro.Key == re.fo.source.Key && ro.Version > 0:
			re.fo.Apply(ro)
		case ro.Key != re.fo.source.Key:
			re.fo.applyWave(ro)
		}
	}
}

func (fo *Follower) applyWave(row rowstore.Row) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if row.Version == 0 {
		delete(fo.waves, row.Name)
		return
	}
	wa, is, err := fo.source.DecodeWave(row)
	if err != nil {
		fo.log.Error().Err(err).Str("row", row.Name).Msg("waveUnread")
	}
	if !is || err != nil {
		return
	}
	fo.waves[row.Name] = wa
	fo.log.Info().Int64("wave", wa.Number).Int("machines", len(wa.Machines)).Int("most", wa.Most).Msg("waveAsked")
}

// Waves lists the waves of upkeep that operators ask for, the lowest number first.
func (fo *Follower) Waves() []fleet.Wave {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	all := make([]fleet.Wave, 0, len(fo.waves))
	for _, wa := range fo.waves {
		all = append(all, wa)
	}
	slices.SortFunc(all, func(a, b fleet.Wave) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// Confirmed takes the moment up to which every change has been given.
func (re reader) Confirmed(at clock.Millis) {
	re.fo.mu.Lock()
	defer re.fo.mu.Unlock()
	re.fo.confirmed = max(re.fo.confirmed, at)
}

// Apply puts a version in force unless a newer one is.
func (fo *Follower) Apply(row rowstore.Row) {
	po, err := fo.source.Decode(row)
	if err != nil {
		fo.log.Error().Err(err).Int64("version", int64(row.Version)).Msg("configurationUnread")
		return
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.current != nil && fo.current.Version >= po.Version {
		return
	}
	fo.current = po
	fo.log.Info().Int64("version", int64(po.Version)).Int("queues", len(po.Queues)).Int("workspaces", len(po.Workspaces)).Msg("configurationApplied")
}
