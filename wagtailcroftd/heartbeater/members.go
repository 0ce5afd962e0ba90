package heartbeater

import (
	"context"
	"slices"
	"strings"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/rows"
	"github.com/wagtailcroft/wagtailcroft/shared/identifier"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/problem"
	"github.com/wagtailcroft/wagtailcroft/wagtailcroftd/storer"
)

// rescanDelay is the time between the two reads of all zones. It is longer than the heartbeat
// interval, so that the row of a live instance changes in between.
const rescanDelay = 1500 * clock.Millis(1)

// ReadZone reads the member rows of this zone.
func (he *Heartbeater) ReadZone(ctx context.Context) error {
	he.mu.Lock()
	since := he.scanned
	he.mu.Unlock()
	upTo, err := he.scan(ctx, storer.MemberPrefix(he.Zone), since)
	if err != nil {
		return err
	}
	he.mu.Lock()
	defer he.mu.Unlock()
	he.scanned, he.scannedAt = max(he.scanned, upTo), he.Clock.Now()
	return nil
}

// ReadAllZones reads the member rows of all zones. If they have not been read recently, it reads
// them twice, because only a row that changes shows that its instance is alive.
func (he *Heartbeater) ReadAllZones(ctx context.Context) error {
	he.mu.Lock()
	since, recent := he.allScanned, he.Clock.Now()-he.allScannedAt < he.LivenessTimeout
	he.mu.Unlock()
	upTo, err := he.scan(ctx, "", since)
	if err != nil {
		return err
	}
	he.mu.Lock()
	he.allScanned, he.allScannedAt = max(he.allScanned, upTo), he.Clock.Now()
	he.mu.Unlock()
	if recent {
		return nil
	}
	he.expireOtherZones(he.LivenessTimeout)
	clock.Sleep(ctx, he.Clock, rescanDelay)
	return he.ReadAllZones(ctx)
}

// expireOtherZones makes every member of another zone count as unresponsive until its row changes.
func (he *Heartbeater) expireOtherZones(by clock.Millis) {
	he.mu.Lock()
	defer he.mu.Unlock()
	for id, me := range he.members {
		if me.Zone != he.Zone {
			me.ChangedAt -= by
			he.members[id] = me
		}
	}
}

// scan applies the member rows under a prefix that have changed since a store version.
func (he *Heartbeater) scan(ctx context.Context, prefix string, since meter.RowVersion) (meter.RowVersion, error) {
	list, upTo, err := storer.Scan[rows.MemberRow](ctx, he.Store, storer.TableMembers, prefix, since)
	if err != nil {
		return 0, err
	}
	he.mu.Lock()
	defer he.mu.Unlock()
	now := he.Clock.Now()
	for _, row := range list {
		if row.Removed {
			_, name, _ := strings.Cut(row.Name, "/")
			delete(he.members, identifier.Instance(name))
			continue
		}
		he.members[row.Value.Instance] = memberOf(row, now)
	}
	return upTo, nil
}

func memberOf(row storer.Row[rows.MemberRow], now clock.Millis) Member {
	return Member{
		Instance:     row.Value.Instance,
		Zone:         row.Value.Zone,
		Address:      row.Value.PeerAddress,
		TableVersion: row.Value.TableVersion,
		ShuttingDown: row.Value.Leaving,
		ChangedAt:    now,
		RowVersion:   row.Version,
	}
}

// RemoveExpired removes the member rows of this zone that have not changed within
// RetentionTimeout. An instance that is still alive writes its row again.
func (he *Heartbeater) RemoveExpired(ctx context.Context) error {
	for _, me := range he.expired() {
		ba := &storer.Batch{}
		key := storer.MemberKey(me.Zone, me.Instance)
		ba.Require(key, me.RowVersion)
		ba.Remove(key)
		if _, err := he.Store.Commit(ctx, ba); err != nil && problem.KindOf(err) != problem.Conflict {
			return err
		}
	}
	return nil
}

func (he *Heartbeater) expired() []Member {
	he.mu.Lock()
	defer he.mu.Unlock()
	var list []Member
	for _, me := range he.members {
		if me.Zone == he.Zone && me.Instance != he.Instance && he.Clock.Now()-me.ChangedAt >= he.RetentionTimeout {
			list = append(list, me)
		}
	}
	return list
}

// zonePeers lists the other instances of this zone that may be alive.
func (he *Heartbeater) zonePeers() []Member {
	he.mu.Lock()
	defer he.mu.Unlock()
	var list []Member
	for _, me := range he.members {
		if me.Zone == he.Zone && me.Instance != he.Instance && he.mayBeAlive(me) {
			list = append(list, me)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list
}

// mayBeAlive reports whether a member is not shutting down and either its row has changed recently, the
// member was recently in contact, or the rows have not been read recently, in which case an unchanged
// row proves nothing.
func (he *Heartbeater) mayBeAlive(me Member) bool {
	now := he.Clock.Now()
	recent := now-me.ChangedAt < he.LivenessTimeout || he.inContact(me.Instance)
	return !me.ShuttingDown && (recent || now-he.scannedAt >= he.LivenessTimeout)
}

func (he *Heartbeater) inContact(in identifier.Instance) bool {
	at, known := he.lastContact[in]
	return known && he.Clock.Now()-at < he.LivenessTimeout
}

// LiveCount returns the number of instances of this zone that may be alive, including this one.
func (he *Heartbeater) LiveCount() int { return len(he.zonePeers()) + 1 }

// InContact reports whether an instance was in contact within the liveness timeout.
func (he *Heartbeater) InContact(in identifier.Instance) bool {
	he.mu.Lock()
	defer he.mu.Unlock()
	return he.inContact(in)
}

// AllInContact reports whether every other instance of this zone that may be alive was in contact
// within the liveness timeout.
func (he *Heartbeater) AllInContact() bool {
	for _, me := range he.zonePeers() {
		if !he.InContact(me.Instance) {
			return false
		}
	}
	return true
}

// Members lists all instances whose rows have changed within RetentionTimeout, including this one.
func (he *Heartbeater) Members() []Member {
	he.mu.Lock()
	defer he.mu.Unlock()
	var list []Member
	for _, me := range he.members {
		age := he.Clock.Now() - me.ChangedAt
		me.Stale = age >= he.LivenessTimeout
		if age < he.RetentionTimeout {
			list = append(list, me)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list
}
