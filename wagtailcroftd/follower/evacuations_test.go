package follower

import (
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/decisions/fleet"
	"github.com/wagtailcroft/wagtailcroft/decisions/policy"
	"github.com/wagtailcroft/wagtailcroft/shared/asserter"
	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

// prefix precedes the zone in the keys of these tests; the value "bad" cannot be decoded.
const prefix = "empty/"

// counts counts the evacuations.
type counts map[string]int

// Count counts an event.
func (co counts) Count(_, label string) { co[label]++ }

func newFollower(log zerolog.Logger) (*Follower, counts) {
	co := counts{}
	return New(Source{
		Key: rowstore.Key{Table: "op", Name: "config"}, Metrics: co, Zones: []identifier.Zone{"a", "b"},
		Decode:     func(rowstore.Row) (*policy.Policy, error) { return &policy.Policy{Version: 1}, nil },
		DecodeWave: func(rowstore.Row) (fleet.MaintenanceWave, bool, error) { return fleet.MaintenanceWave{}, false, nil },
		DecodeEvacuation: func(row rowstore.Row) (identifier.Zone, bool, error) {
			zone, is := strings.CutPrefix(row.Name, prefix)
			if string(row.Value) == "bad" {
				return identifier.Zone(zone), is, eris.New("bad")
			}
			return identifier.Zone(zone), is, nil
		},
	}, nil, clock.NewFake(1000), log), co
}

// row returns the row that requests the evacuation of a zone; version 0 means that it was removed.
func row(zone string, version meter.RowVersion) rowstore.Row {
	return rowstore.Row{Key: rowstore.Key{Table: "op", Name: prefix + zone}, Version: version}
}

func assertEvacuated(t *testing.T, fo *Follower, zones ...identifier.Zone) {
	t.Helper()
	got := fo.Evacuations()
	asserter.Equal(t, len(got), len(zones))
	for _, zone := range zones {
		if _, evacuated := got[zone]; !evacuated {
			t.Errorf("%s is not evacuated", zone)
		}
	}
}

func TestEvacuations(t *testing.T) {
	bad := row("a", 9)
	bad.Value = []byte("bad")
	t.Run("a zone is evacuated until its row is removed", func(t *testing.T) {
		fo, co := newFollower(zerolog.Nop())
		handler{fo}.Changed([]rowstore.Row{row("a", 3), row("b", 4)})
		assertEvacuated(t, fo, "a", "b")
		handler{fo}.Changed([]rowstore.Row{row("a", 0)})
		assertEvacuated(t, fo, "b")
		asserter.Equal(t, fo.Evacuations()["b"], 4)
		asserter.Equal(t, co["begun"], 2)
		asserter.Equal(t, co["ended"], 1)
	})
	t.Run("what was returned does not change", func(t *testing.T) {
		fo, _ := newFollower(zerolog.Nop())
		handler{fo}.Changed([]rowstore.Row{row("a", 3)})
		before := fo.Evacuations()
		handler{fo}.Changed([]rowstore.Row{row("a", 0)})
		asserter.Equal(t, len(before), 1)
	})
	t.Run("beginning, end and beginning that come at once", func(t *testing.T) {
		fo, co := newFollower(zerolog.Nop())
		handler{fo}.Changed([]rowstore.Row{row("a", 3), row("a", 0), row("a", 5)})
		assertEvacuated(t, fo, "a")
		asserter.Equal(t, fo.Evacuations()["a"], 5)
		asserter.Equal(t, co["begun"], 2)
	})
	t.Run("a request that is written again stays one", func(t *testing.T) {
		fo, co := newFollower(zerolog.Nop())
		handler{fo}.Changed([]rowstore.Row{row("a", 3), row("a", 6)})
		asserter.Equal(t, fo.Evacuations()["a"], 6)
		asserter.Equal(t, co["begun"], 1)
	})
	t.Run("an end that the store no longer tells", func(t *testing.T) {
		fo, co := newFollower(zerolog.Nop())
		handler{fo}.Changed([]rowstore.Row{row("a", 3), row("b", 4)})
		handler{fo}.Snapshot([]rowstore.Row{row("b", 4)})
		assertEvacuated(t, fo, "b")
		asserter.Equal(t, co["begun"], 2)
		asserter.Equal(t, co["ended"], 1)
	})
	t.Run("a row that cannot be decoded begins nothing", func(t *testing.T) {
		fo, _ := newFollower(zerolog.Nop())
		handler{fo}.Changed([]rowstore.Row{bad})
		assertEvacuated(t, fo)
	})
	t.Run("a row that can no longer be decoded ends nothing", func(t *testing.T) {
		fo, _ := newFollower(zerolog.Nop())
		handler{fo}.Changed([]rowstore.Row{row("a", 3), bad})
		assertEvacuated(t, fo, "a")
		handler{fo}.Snapshot([]rowstore.Row{bad})
		assertEvacuated(t, fo, "a")
		asserter.Equal(t, fo.Evacuations()["a"], 3)
	})
	t.Run("a beginning and an end are logged with the version of the row, and an unknown zone is", func(t *testing.T) {
		var log strings.Builder
		fo, _ := newFollower(zerolog.New(&log))
		handler{fo}.Changed([]rowstore.Row{row("a", 3), row("a", 0), row("nowhere", 7), bad})
		for _, line := range []string{
			`"zone":"a","version":3,"message":"evacuationBegun"`, `"zone":"a","version":3,"message":"evacuationEnded"`,
			`"message":"evacuatedZoneUnknown"`, `"version":9,"message":"evacuationInvalid"`,
		} {
			if !strings.Contains(log.String(), line) {
				t.Errorf("the log lacks %s: %s", line, log.String())
			}
		}
	})
	t.Run("without a decoder nothing is evacuated", func(t *testing.T) {
		fo, _ := newFollower(zerolog.Nop())
		fo.source.DecodeEvacuation = nil
		handler{fo}.Changed([]rowstore.Row{row("a", 3)})
		handler{fo}.Snapshot([]rowstore.Row{row("a", 3)})
		assertEvacuated(t, fo)
	})
}

func TestWait(t *testing.T) {
	for _, ex := range []struct{ maxAge, want clock.Millis }{{0, 1000}, {8000, 1000}, {4000, 1000}, {1600, 400}, {1, 100}} {
		asserter.Equal(t, Source{MaxAge: ex.maxAge}.wait(), ex.want)
	}
}
