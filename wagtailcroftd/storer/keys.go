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

	// WorkspacePrefix begins the names of workspace rows in TableConfig.
	WorkspacePrefix = "workspace/"
	// DrainPrefix begins the names of drain rows in TableConfig.
	DrainPrefix = "drain/"
	// HeadName is the name of the head in TableConfig.
	HeadName = "head"
)

// WorkspaceKey names the row of a workspace.
func WorkspaceKey(ws identifier.Workspace) Key {
	return Key{Table: TableConfig, Name: WorkspacePrefix + string(ws)}
}

// HeadKey names the head of the shared table.
func HeadKey() Key { return Key{Table: TableConfig, Name: HeadName} }

// DrainKey names the row that empties a target.
func DrainKey(ta identifier.Target) Key {
	return Key{Table: TableConfig, Name: DrainPrefix + string(ta)}
}

// HistoryKey names the row of an accepted edit; names sort by version.
func HistoryKey(ve meter.TableVersion) Key {
	return Key{Table: TableHistory, Name: fmt.Sprintf("%012d", ve)}
}

// ClaimKey names the claim of a request. The length keeps names of different workspaces
// apart.
func ClaimKey(ws identifier.Workspace, key identifier.Key) Key {
	return Key{Table: TableClaims, Name: fmt.Sprintf("%d:%s/%s", len(ws), ws, key)}
}

// JobKey names the row of a job.
func JobKey(zone identifier.Zone, job identifier.Job) Key {
	return Key{Table: TableJobs, Name: JobPrefix(zone) + string(job)}
}

// EndedKey names the row of a job that has ended.
func EndedKey(zone identifier.Zone, job identifier.Job) Key {
	return Key{Table: TableEnded, Name: JobPrefix(zone) + string(job)}
}

// JobPrefix begins the names of the jobs of a zone.
func JobPrefix(zone identifier.Zone) string { return string(zone) + "/" }

// JobKeyKey names the row that leads from a job's id to its zone.
func JobKeyKey(job identifier.Job) Key { return Key{Table: TableJobKeys, Name: string(job)} }

// LeasePrefix begins the names of the leases of a zone.
func LeasePrefix(zone identifier.Zone) string { return string(zone) + "/" }

// SchedulerKey names the scheduler lease of a zone.
func SchedulerKey(zone identifier.Zone) Key {
	return Key{Table: TableLeases, Name: LeasePrefix(zone) + "scheduler"}
}

// FenceKey names the fence of a zone.
func FenceKey(zone identifier.Zone) Key {
	return Key{Table: TableLeases, Name: LeasePrefix(zone) + "fence"}
}

// SeatKey names one share of the runners of a zone.
func SeatKey(zone identifier.Zone, seat int) Key {
	return Key{Table: TableLeases, Name: fmt.Sprintf("%sseat/%d", LeasePrefix(zone), seat)}
}

// LedgerKey names the ledger of a zone.
func LedgerKey(zone identifier.Zone) Key { return Key{Table: TableLedgers, Name: string(zone)} }

// MemberPrefix begins the names of the rows of the entry instances of a zone.
func MemberPrefix(zone identifier.Zone) string { return string(zone) + "/" }

// MemberKey names the row of an entry instance.
func MemberKey(zone identifier.Zone, in identifier.Instance) Key {
	return Key{Table: TableMembers, Name: MemberPrefix(zone) + string(in)}
}

// ResultName names the object that holds the result of a job.
func ResultName(job identifier.Job) string { return "results/" + string(job) }
