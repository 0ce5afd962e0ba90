// Package configurer keeps this instance's copy of the shared table in force, confirms
// that it is the newest, and carries out the edits of operators.
package configurer

import (
	"context"
	"slices"
	"strings"

	"github.com/rs/zerolog"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/types"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/locker"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

type (
	// Self says who this instance is.
	Self struct {
		Instance    identifier.Instance
		Zone        identifier.Zone
		PeerAddress string
	}

	// Row is a workspace's row as it is in force here.
	Row struct {
		Workspace identifier.Workspace
		Version   meter.RowVersion
		Cells     types.Cells
	}

	// Snapshot is the whole table as it is in force here.
	Snapshot struct {
		Version meter.TableVersion
		// Head is the store version of the head row.
		Head meter.RowVersion
		// Confirmed means that the version is known to be the newest, within the
		// freshness bound.
		Confirmed bool
		Rows      []Row
		Draining  []identifier.Target
	}

	// Surveyor finds out whether guarantees can be honoured in a zone.
	Surveyor interface {
		// Survey returns what the placer does with the guarantees, and the version of the
		// zone's ledger that the answer holds for. An error of the kind
		// GuaranteeTooLarge says why they cannot be honoured.
		Survey(ctx context.Context, zone identifier.Zone, sn Snapshot) ([]string, meter.RowVersion, error)
	}

	// Configurer holds the copy of the table.
	Configurer struct {
		self      Self
		store     *storer.Store
		clock     clock.Clock
		log       zerolog.Logger
		surveyor  Surveyor
		freshness clock.Millis

		mu locker.Mutex
		// rows and drains are guarded by mu. A row's version only rises.
		rows   map[identifier.Workspace]Row
		drains map[identifier.Target]bool
		// head and headVersion describe the newest head read, guarded by mu; they only rise.
		head        meter.TableVersion
		headVersion meter.RowVersion
		// scanned is the store version up to which the copy is whole, guarded by mu; it
		// only rises.
		scanned meter.RowVersion
		// confirmedAt is when the last confirmation was sent, guarded by mu.
		confirmedAt clock.Millis
		confirmed   bool
		// beats counts the rows this instance has written for itself, guarded by mu.
		beats   int64
		leaving bool
		// hinted is the newest version that a peer has told of, guarded by mu.
		hinted meter.TableVersion
		// changed is closed and replaced with each new version, guarded by mu.
		changed chan struct{}
	}
)

// New returns a configurer without any rows.
func New(se Self, st *storer.Store, cl clock.Clock, log zerolog.Logger, su Surveyor, freshness clock.Millis) *Configurer {
	return &Configurer{
		self:      se,
		store:     st,
		clock:     cl,
		log:       log,
		surveyor:  su,
		freshness: freshness,
		mu:        locker.New(locker.RankConfig),
		rows:      map[identifier.Workspace]Row{},
		drains:    map[identifier.Target]bool{},
		changed:   make(chan struct{}),
	}
}

// Step confirms the table: it writes this instance's own row on condition that the head
// has not changed, and reads the changes if it has.
func (co *Configurer) Step(ctx context.Context) error {
	err := co.beat(ctx)
	if problem.KindOf(err) != problem.Conflict {
		return err
	}
	if err := co.Refresh(ctx); err != nil {
		return err
	}
	return co.beat(ctx)
}

func (co *Configurer) beat(ctx context.Context) error {
	sent := co.clock.Now()
	ba, version := co.beatBatch()
	_, err := co.store.Commit(ctx, ba)
	if err != nil {
		return err
	}
	co.confirm(version, sent)
	return nil
}

func (co *Configurer) beatBatch() (*storer.Batch, meter.TableVersion) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.beats++
	ba := &storer.Batch{}
	ba.Put(storer.MemberKey(co.self.Zone, co.self.Instance), rows.MemberRow{
		Instance:     co.self.Instance,
		Zone:         co.self.Zone,
		TableVersion: co.head,
		PeerAddress:  co.self.PeerAddress,
		Beats:        co.beats,
		Leaving:      co.leaving,
	})
	ba.Require(storer.HeadKey(), co.headVersion)
	return ba, co.head
}

// confirm records that a version was still the newest when a request was sent.
func (co *Configurer) confirm(version meter.TableVersion, sent clock.Millis) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if version == co.head && version >= co.hinted {
		co.confirmedAt, co.confirmed = sent, true
	}
}

// Refresh reads what has changed. A stale answer, one that is older than what is known,
// changes nothing.
func (co *Configurer) Refresh(ctx context.Context) error {
	co.mu.Lock()
	since := co.scanned
	co.mu.Unlock()
	list, upTo, err := storer.ScanRaw(ctx, co.store, storer.TableConfig, "", since)
	if err != nil {
		return err
	}
	version, err := co.takeOver(list, upTo)
	if version > 0 {
		co.log.Info().Int64("tableVersion", int64(version)).Msg("tableInForce")
	}
	return err
}

// takeOver applies the rows of a scan that is whole up to a store version. It returns the
// table version that came into force, or 0.
func (co *Configurer) takeOver(list []storer.Raw, upTo meter.RowVersion) (meter.TableVersion, error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	before := co.head
	for _, raw := range list {
		if err := co.apply(raw); err != nil {
			return 0, err
		}
	}
	co.scanned = max(co.scanned, upTo)
	if co.head == before {
		return 0, nil
	}
	close(co.changed)
	co.changed = make(chan struct{})
	return co.head, nil
}

// apply takes over one row of the config table if it is newer than what is known.
func (co *Configurer) apply(raw storer.Raw) error {
	switch {
	case raw.Name == storer.HeadName:
		row, err := storer.Decode[rows.TableHead](raw)
		if err != nil || row.Version <= co.headVersion {
			return err
		}
		co.head, co.headVersion = row.Value.TableVersion, row.Version
	case strings.HasPrefix(raw.Name, storer.DrainPrefix):
		target := identifier.Target(strings.TrimPrefix(raw.Name, storer.DrainPrefix))
		if raw.Removed {
			delete(co.drains, target)
		} else {
			co.drains[target] = true
		}
	default:
		row, err := storer.Decode[rows.WorkspaceRow](raw)
		if err != nil || row.Version <= co.rows[row.Value.Workspace].Version {
			return err
		}
		co.rows[row.Value.Workspace] = Row{Workspace: row.Value.Workspace, Version: row.Version, Cells: row.Value.Cells}
	}
	return nil
}

// Hint records that a peer has a version in force. It reports whether this instance is
// behind; it does not count as confirmed until it has caught up.
func (co *Configurer) Hint(version meter.TableVersion) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if version <= co.head {
		return false
	}
	co.hinted = max(co.hinted, version)
	co.confirmed = false
	return true
}

// Leave makes this instance's own row say that it is stopping.
func (co *Configurer) Leave() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.leaving = true
}

// Snapshot returns the table as it is in force here.
func (co *Configurer) Snapshot() Snapshot {
	co.mu.Lock()
	defer co.mu.Unlock()
	sn := Snapshot{Version: co.head, Head: co.headVersion, Confirmed: co.isConfirmed()}
	for _, row := range co.rows {
		sn.Rows = append(sn.Rows, row)
	}
	slices.SortFunc(sn.Rows, func(a, b Row) int { return strings.Compare(string(a.Workspace), string(b.Workspace)) })
	for target := range co.drains {
		sn.Draining = append(sn.Draining, target)
	}
	slices.Sort(sn.Draining)
	return sn
}

func (co *Configurer) isConfirmed() bool {
	return co.confirmed && co.clock.Now()-co.confirmedAt < co.freshness
}

// Confirmed reports whether the table in force is known to be the newest.
func (co *Configurer) Confirmed() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.isConfirmed()
}

// Version is the table version in force.
func (co *Configurer) Version() meter.TableVersion {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.head
}

// Row returns the row of a workspace.
func (co *Configurer) Row(ws identifier.Workspace) (Row, bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	row, found := co.rows[ws]
	return row, found
}

// Bearer returns the workspace that a token is bound to.
func (co *Configurer) Bearer(token string) (identifier.Workspace, bool) {
	digest := identifier.Digest(token)
	co.mu.Lock()
	defer co.mu.Unlock()
	for _, row := range co.rows {
		if slices.Contains(row.Cells.TokenDigests, digest) {
			return row.Workspace, true
		}
	}
	return "", false
}

// Changed returns a channel that is closed when a newer version comes into force.
func (co *Configurer) Changed() <-chan struct{} {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.changed
}

// Draining lists the targets that operators want emptied.
func (co *Configurer) Draining() []identifier.Target { return co.Snapshot().Draining }
