package storer

import (
	"fmt"

	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

// The tables of the table service.
const (
	TableConfig  = "config"
	TableHistory = "history"
	TableClaims  = "claims"
	TableJobs    = "jobs"
	TableEnded   = "ended"
	TableJobKeys = "jobKeys"
	TableLeases  = "leases"
	TableLedgers = "ledgers"
	TableMembers = "members"

	// WorkspacePrefix is the name prefix of workspace rows in TableConfig.
	WorkspacePrefix = "workspace/"
	// DrainPrefix is the name prefix of drain rows in TableConfig.
	DrainPrefix = "drain/"
	// HeadName is the name of the head row in TableConfig, which holds the table version.
	HeadName = "head"
)

// WorkspaceKey is the key of the row of a workspace.
func WorkspaceKey(ws identifier.Workspace) Key {
	return Key{Table: TableConfig, Name: WorkspacePrefix + string(ws)}
}

// HeadKey is the key of the head row of the shared table.
func HeadKey() Key { return Key{Table: TableConfig, Name: HeadName} }

// DrainKey is the key of the row that marks a target as draining.
func DrainKey(ta identifier.Target) Key {
	return Key{Table: TableConfig, Name: DrainPrefix + string(ta)}
}

// HistoryKey is the key of the row of an accepted edit. Zero padding makes the names sort by
// version.
func HistoryKey(ve meter.TableVersion) Key {
	return Key{Table: TableHistory, Name: fmt.Sprintf("%012d", ve)}
}

// ClaimKey is the key of the claim of a request. The length prefix keeps the names of different
// workspaces from colliding.
func ClaimKey(ws identifier.Workspace, key identifier.Key) Key {
	return Key{Table: TableClaims, Name: fmt.Sprintf("%d:%s/%s", len(ws), ws, key)}
}

// JobKey is the key of the row of a job that has not ended.
func JobKey(zone identifier.Zone, job identifier.Job) Key {
	return Key{Table: TableJobs, Name: JobPrefix(zone) + string(job)}
}

// EndedKey is the key of the row of a job that has ended.
func EndedKey(zone identifier.Zone, job identifier.Job) Key {
	return Key{Table: TableEnded, Name: JobPrefix(zone) + string(job)}
}

// JobPrefix is the name prefix of the job rows of a zone.
func JobPrefix(zone identifier.Zone) string { return string(zone) + "/" }

// JobIndexKey is the key of the row that maps a job's id to its zone.
func JobIndexKey(job identifier.Job) Key { return Key{Table: TableJobKeys, Name: string(job)} }

// LeasePrefix is the name prefix of the lease rows of a zone.
func LeasePrefix(zone identifier.Zone) string { return string(zone) + "/" }

// SchedulerKey is the key of the scheduler lease of a zone.
func SchedulerKey(zone identifier.Zone) Key {
	return Key{Table: TableLeases, Name: LeasePrefix(zone) + "scheduler"}
}

// FenceKey is the key of the row that holds the fencing token of a zone.
func FenceKey(zone identifier.Zone) Key {
	return Key{Table: TableLeases, Name: LeasePrefix(zone) + "fence"}
}

// SeatKey is the key of the lease on one share (seat) of the runners of a zone.
func SeatKey(zone identifier.Zone, seat int) Key {
	return Key{Table: TableLeases, Name: fmt.Sprintf("%sseat/%d", LeasePrefix(zone), seat)}
}

// LedgerKey is the key of the reservation ledger of a zone.
func LedgerKey(zone identifier.Zone) Key { return Key{Table: TableLedgers, Name: string(zone)} }

// MemberPrefix is the name prefix of the rows of the entry instances of a zone.
func MemberPrefix(zone identifier.Zone) string { return string(zone) + "/" }

// MemberKey is the key of the row of an entry instance.
func MemberKey(zone identifier.Zone, in identifier.Instance) Key {
	return Key{Table: TableMembers, Name: MemberPrefix(zone) + string(in)}
}

// ResultName is the name of the object that holds the result of a job.
func ResultName(job identifier.Job) string { return "results/" + string(job) }
