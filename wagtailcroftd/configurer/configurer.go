// Package configurer maintains this instance's copy of the shared table, confirms that it is the
// newest version, and applies the edits of operators.
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
	// Identity identifies this instance.
	Identity struct {
		Instance    identifier.Instance
		Zone        identifier.Zone
		PeerAddress string
	}

	// Row is the row of a workspace in this instance's copy of the table.
	Row struct {
		Workspace identifier.Workspace
		Version   meter.RowVersion
		Cells     types.Cells
	}

	// Snapshot is a consistent copy of the table as this instance has it.
	Snapshot struct {
		Version meter.TableVersion
		// HeadVersion is the row version of the head row.
		HeadVersion meter.RowVersion
		// Confirmed means that the version was confirmed as the newest within the freshness
		// period.
		Confirmed bool
		Rows      []Row
		Draining  []identifier.Target
	}

	// Validator checks whether guarantees can be honoured in a zone.
	Validator interface {
		// CheckGuarantees describes where the placer reserves the guarantees, and returns the
		// version of the zone's ledger for which this is valid. If the guarantees cannot be
		// honoured, the error is of the kind GuaranteeTooLarge and states the reason.
		CheckGuarantees(ctx context.Context, zone identifier.Zone, sn Snapshot) ([]string, meter.RowVersion, error)
	}

	// Configurer holds this instance's copy of the shared table.
	Configurer struct {
		self      Identity
		store     *storer.Store
		clock     clock.Clock
		log       zerolog.Logger
		validator Validator
		freshness clock.Millis

		mu locker.Mutex
		// rows and drains are guarded by mu. The version of a row never decreases.
		rows   map[identifier.Workspace]Row
		drains map[identifier.Target]bool
		// head and headVersion are the table version and the row version of the newest head row
		// read, guarded by mu; they never decrease.
		head        meter.TableVersion
		headVersion meter.RowVersion
		// scanned is the store version up to which the copy is complete, guarded by mu; it
		// never decreases.
		scanned meter.RowVersion
		// confirmedAt is the time at which the request that last confirmed the version was
		// sent, guarded by mu.
		confirmedAt clock.Millis
		confirmed   bool
		// heartbeats counts the writes of this instance's member row, guarded by mu.
		heartbeats   int64
		shuttingDown bool
		// peerVersion is the newest table version that a peer has reported, guarded by mu.
		peerVersion meter.TableVersion
		// changed is closed and replaced on each new table version, guarded by mu.
		changed chan struct{}
	}
)

// New returns a configurer with an empty copy of the table.
func New(id Identity, st *storer.Store, cl clock.Clock, log zerolog.Logger, va Validator, freshness clock.Millis) *Configurer {
	return &Configurer{
		self:      id,
		store:     st,
		clock:     cl,
		log:       log,
		validator: va,
		freshness: freshness,
		mu:        locker.New(locker.RankConfig),
		rows:      map[identifier.Workspace]Row{},
		drains:    map[identifier.Target]bool{},
		changed:   make(chan struct{}),
	}
}

// Step confirms that the copy is the newest: it writes this instance's member row on condition that the
// head row has not changed. If it has, Step reads the changes and tries once more.
func (co *Configurer) Step(ctx context.Context) error {
	err := co.heartbeat(ctx)
	if problem.KindOf(err) != problem.Conflict {
		return err
	}
	if err := co.Refresh(ctx); err != nil {
		return err
	}
	return co.heartbeat(ctx)
}

func (co *Configurer) heartbeat(ctx context.Context) error {
	sent := co.clock.Now()
	ba, version := co.heartbeatBatch()
	_, err := co.store.Commit(ctx, ba)
	if err != nil {
		return err
	}
	co.confirm(version, sent)
	return nil
}

func (co *Configurer) heartbeatBatch() (*storer.Batch, meter.TableVersion) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.heartbeats++
	ba := &storer.Batch{}
	ba.Put(storer.MemberKey(co.self.Zone, co.self.Instance), rows.MemberRow{
		Instance:     co.self.Instance,
		Zone:         co.self.Zone,
		TableVersion: co.head,
		PeerAddress:  co.self.PeerAddress,
		Heartbeats:   co.heartbeats,
		Leaving:      co.shuttingDown,
	})
	ba.Require(storer.HeadKey(), co.headVersion)
	return ba, co.head
}

// confirm records that a version was still the newest when the request was sent.
func (co *Configurer) confirm(version meter.TableVersion, sent clock.Millis) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if version == co.head && version >= co.peerVersion {
		co.confirmedAt, co.confirmed = sent, true
	}
}

// Refresh reads the changes of the table. A stale response, older than what is already known, has no
// effect.
func (co *Configurer) Refresh(ctx context.Context) error {
	co.mu.Lock()
	since := co.scanned
	co.mu.Unlock()
	list, upTo, err := storer.ScanRaw(ctx, co.store, storer.TableConfig, "", since)
	if err != nil {
		return err
	}
	version, err := co.applyScan(list, upTo)
	if version > 0 {
		co.log.Info().Int64("tableVersion", int64(version)).Msg("tableApplied")
	}
	return err
}

// applyScan applies the rows of a scan that is complete up to a store version. It returns the new table
// version, or 0 if the version has not changed.
func (co *Configurer) applyScan(list []storer.Raw, upTo meter.RowVersion) (meter.TableVersion, error) {
	co.mu.Lock()
	defer co.mu.Unlock()
	before := co.head
	for _, raw := range list {
		if err := co.applyRow(raw); err != nil {
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

// applyRow applies one row of the config table if it is newer than the known one.
func (co *Configurer) applyRow(raw storer.Raw) error {
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

// ReportVersion records the table version that a peer reported. It reports whether this version
// is newer than the copy; if so, the copy is unconfirmed until it has caught up.
func (co *Configurer) ReportVersion(version meter.TableVersion) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if version <= co.head {
		return false
	}
	co.peerVersion = max(co.peerVersion, version)
	co.confirmed = false
	return true
}

// MarkShuttingDown marks this instance as shutting down in its member row, from the next write on.
func (co *Configurer) MarkShuttingDown() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.shuttingDown = true
}

// Snapshot returns this instance's copy of the table.
func (co *Configurer) Snapshot() Snapshot {
	co.mu.Lock()
	defer co.mu.Unlock()
	sn := Snapshot{Version: co.head, HeadVersion: co.headVersion, Confirmed: co.isConfirmed()}
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

// Confirmed reports whether the copy was confirmed as the newest version within the freshness period.
func (co *Configurer) Confirmed() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.isConfirmed()
}

// Version returns the table version of the copy.
func (co *Configurer) Version() meter.TableVersion {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.head
}

// Row returns the row of a workspace from this instance's copy of the table.
func (co *Configurer) Row(ws identifier.Workspace) (Row, bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	row, found := co.rows[ws]
	return row, found
}

// WorkspaceForToken returns the workspace that a bearer token is bound to.
func (co *Configurer) WorkspaceForToken(token string) (identifier.Workspace, bool) {
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

// Changed returns a channel that is closed when the copy is updated to a newer table version.
func (co *Configurer) Changed() <-chan struct{} {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.changed
}

// Draining lists the targets that operators have set to drain.
func (co *Configurer) Draining() []identifier.Target { return co.Snapshot().Draining }
