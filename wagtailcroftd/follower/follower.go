// Package follower follows the operators' configuration in the store, applies each new version
// on this instance, and records when the configuration was last confirmed to be current.
package follower

import (
	"cmp"
	"context"
	"slices"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/tailer"
)

const (
	// followWait is how long the store may wait for a change before it confirms that there is none.
	// It is well below the time for which an unconfirmed configuration may be used. minFollowWait bounds
	// the calls.
	followWait    = 1000 * clock.Millis(1)
	minFollowWait = 100 * clock.Millis(1)
	// confirmationsPerAge is how often the table is confirmed at least within Source.MaxAge: the age of a
	// confirmation reaches twice the wait.
	confirmationsPerAge = 4
)

type (
	// Source is the key of the configuration row and the functions that decode the rows of its
	// table.
	Source struct {
		Key    rowstore.Key
		Decode func(row rowstore.Row) (*policy.Policy, error)
		// DecodeWave decodes a maintenance wave. Its second result is false for a row that is
		// not a maintenance wave.
		DecodeWave func(row rowstore.Row) (fleet.MaintenanceWave, bool, error)
		// DecodeEvacuation decodes the request to evacuate an availability zone. Its second result is
		// false for a row that is no such request. It is nil where no zone is evacuated.
		DecodeEvacuation func(row rowstore.Row) (identifier.Zone, bool, error)
		// MaxAge is how old a confirmation of the evacuations may be; 0 means that it does not matter.
		MaxAge clock.Millis
		// Zones are the availability zones of the system; none means that they are not known.
		Zones []identifier.Zone
		// Metrics counts the evacuations.
		Metrics Metrics
	}

	// Metrics counts events.
	Metrics interface {
		Count(name, label string)
	}

	// Follower holds the newest configuration. It never returns to an older version.
	Follower struct {
		source Source
		store  tailer.Store
		cl     clock.Clock
		log    zerolog.Logger

		mu locker.Mutex
		// current is nil until the first configuration has been read.
		current *policy.Policy
		// confirmedAt is the time up to which all changes have been applied; 0 means never.
		confirmedAt clock.Millis
		// waves holds the maintenance waves by the name of their row.
		waves map[string]fleet.MaintenanceWave
		// evacuations holds the evacuated zones. A map is never changed once it is here.
		evacuations fleet.Evacuations
	}

	// handler passes the rows of the tailer on to the follower.
	handler struct{ fo *Follower }
)

// New returns a follower that reads no configuration until Run.
func New(so Source, st tailer.Store, cl clock.Clock, log zerolog.Logger) *Follower {
	return &Follower{evacuations: fleet.Evacuations{}, waves: map[string]fleet.MaintenanceWave{}, source: so, store: st, cl: cl, log: log, mu: locker.New(locker.RankPolicy)}
}

// Run follows the configuration until ctx ends.
func (fo *Follower) Run(ctx context.Context) {
	tailer.New(fo.store, fo.source.Key.Table, tailer.Timing{Wait: fo.source.wait()}, fo.cl, fo.log).Run(ctx, handler{fo})
}

// wait returns how long the store may wait for a change.
func (so Source) wait() clock.Millis {
	if so.MaxAge == 0 {
		return followWait
	}
	return min(max(so.MaxAge/confirmationsPerAge, minFollowWait), followWait)
}

// Current returns the newest configuration, or nil if none has been read yet.
func (fo *Follower) Current() *policy.Policy {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.current
}

// ConfirmedAt returns the time up to which all changes have been applied, or 0 if the table has
// not been read yet.
func (fo *Follower) ConfirmedAt() clock.Millis {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.confirmedAt
}

// Snapshot applies all rows of the table.
func (ha handler) Snapshot(rows []rowstore.Row) {
	ha.fo.dropEvacuations(rows)
	ha.Changed(rows)
}

// Changed applies changed rows. Older versions of the configuration are ignored.
func (ha handler) Changed(rows []rowstore.Row) {
	for _, ro := range rows {
		switch {
		case ro.Key == ha.fo.source.Key && ro.Version > 0:
			ha.fo.Apply(ro)
		case ro.Key == ha.fo.source.Key || ha.fo.applyEvacuation(ro):
		default:
			ha.fo.applyWave(ro)
		}
	}
}

// applyWave records a maintenance wave, or removes it if its row was removed.
func (fo *Follower) applyWave(row rowstore.Row) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if row.Version == 0 {
		delete(fo.waves, row.Name)
		return
	}
	wa, isWave, err := fo.source.DecodeWave(row)
	if err != nil {
		fo.log.Error().Err(err).Str("row", row.Name).Msg("maintenanceWaveInvalid")
	}
	if !isWave || err != nil {
		return
	}
	fo.waves[row.Name] = wa
	fo.log.Info().Int64("wave", wa.Number).Int("machines", len(wa.Machines)).Int("most", wa.MaxDown).Msg("maintenanceWaveRequested")
}

// Waves returns the maintenance waves that operators have requested, ordered by number.
func (fo *Follower) Waves() []fleet.MaintenanceWave {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	all := make([]fleet.MaintenanceWave, 0, len(fo.waves))
	for _, wa := range fo.waves {
		all = append(all, wa)
	}
	slices.SortFunc(all, func(a, b fleet.MaintenanceWave) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// ConfirmedAt records the time up to which all changes have been applied.
func (ha handler) ConfirmedAt(at clock.Millis) {
	ha.fo.mu.Lock()
	defer ha.fo.mu.Unlock()
	ha.fo.confirmedAt = max(ha.fo.confirmedAt, at)
}

// Apply puts the configuration of a row in force unless the current one is as new or newer.
func (fo *Follower) Apply(row rowstore.Row) {
	po, err := fo.source.Decode(row)
	if err != nil {
		fo.log.Error().Err(err).Int64("version", int64(row.Version)).Msg("configurationInvalid")
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
