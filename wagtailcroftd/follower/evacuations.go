package follower

import (
	"maps"
	"slices"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

// Evacuations returns the evacuated availability zones. The caller must not change the result. Every
// evacuation that was requested before ConfirmedAt and still stands is contained, if ConfirmedAt was called first.
func (fo *Follower) Evacuations() fleet.Evacuations {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.evacuations
}

// applyEvacuation records that a zone is evacuated, or that it no longer is if the row was removed. It
// reports whether the row concerns an evacuation. A row that cannot be decoded changes nothing.
func (fo *Follower) applyEvacuation(row rowstore.Row) bool {
	if fo.source.DecodeEvacuation == nil {
		return false
	}
	zone, isEvacuation, err := fo.source.DecodeEvacuation(row)
	if err != nil {
		fo.log.Error().Err(err).Str("row", row.Name).Int64("version", int64(row.Version)).Msg("evacuationInvalid")
	}
	if !isEvacuation || err != nil {
		return isEvacuation
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	before, evacuated := fo.evacuations[zone]
	if before == row.Version {
		return true
	}
	next := maps.Clone(fo.evacuations)
	if row.Version == 0 {
		delete(next, zone)
		fo.log.Info().Str("zone", string(zone)).Int64("version", int64(before)).Msg("evacuationEnded")
		fo.source.Metrics.Count("evacuations", "ended")
	} else {
		next[zone] = row.Version
	}
	fo.evacuations = next
	if row.Version == 0 || evacuated {
		return true
	}
	fo.log.Info().Str("zone", string(zone)).Int64("version", int64(row.Version)).Msg("evacuationBegun")
	fo.source.Metrics.Count("evacuations", "begun")
	if len(fo.source.Zones) > 0 && !slices.Contains(fo.source.Zones, zone) {
		fo.log.Warn().Str("zone", string(zone)).Int64("version", int64(row.Version)).Str("remedy", "remove the row if the name is wrong").Msg("evacuatedZoneUnknown")
	}
	return true
}

// dropEvacuations removes the evacuations whose rows are not among all rows of the table.
func (fo *Follower) dropEvacuations(rows []rowstore.Row) {
	if fo.source.DecodeEvacuation == nil {
		return
	}
	standing := map[identifier.Zone]bool{}
	for _, ro := range rows {
		if zone, isEvacuation, _ := fo.source.DecodeEvacuation(ro); isEvacuation {
			standing[zone] = true // also if the row cannot be decoded any more
		}
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	next := fleet.Evacuations{}
	for zone, version := range fo.evacuations {
		if standing[zone] {
			next[zone] = version
			continue
		}
		fo.log.Info().Str("zone", string(zone)).Int64("version", int64(version)).Msg("evacuationEnded")
		fo.source.Metrics.Count("evacuations", "ended")
	}
	fo.evacuations = next
}
