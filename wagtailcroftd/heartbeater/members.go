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

// secondLook is the time between two looks at all zones, longer than between two beats.
const secondLook = 1500 * clock.Millis(1)

// Look reads which instances of the zone there are.
func (he *Heartbeater) Look(ctx context.Context) error {
	he.mu.Lock()
	since := he.scanned
	he.mu.Unlock()
	upTo, err := he.scan(ctx, storer.MemberPrefix(he.Zone), since)
	if err != nil {
		return err
	}
	he.mu.Lock()
	defer he.mu.Unlock()
	he.scanned, he.looked = max(he.scanned, upTo), he.Clock.Now()
	return nil
}

// LookEverywhere reads which instances there are in all zones. If that was not done
// lately it looks twice, for a row tells that its instance lives only by changing.
func (he *Heartbeater) LookEverywhere(ctx context.Context) error {
	he.mu.Lock()
	since, recent := he.everywhere, he.Clock.Now()-he.lookedEverywhere < he.Silence
	he.mu.Unlock()
	upTo, err := he.scan(ctx, "", since)
	if err != nil {
		return err
	}
	he.mu.Lock()
	he.everywhere, he.lookedEverywhere = max(he.everywhere, upTo), he.Clock.Now()
	he.mu.Unlock()
	if recent {
		return nil
	}
	he.age(he.Silence)
	clock.Sleep(ctx, he.Clock, secondLook)
	return he.LookEverywhere(ctx)
}

// age makes every member of another zone count as silent until its row changes.
func (he *Heartbeater) age(by clock.Millis) {
	he.mu.Lock()
	defer he.mu.Unlock()
	for id, me := range he.members {
		if me.Zone != he.Zone {
			me.Seen -= by
			he.members[id] = me
		}
	}
}

// scan takes over the rows that have changed under a prefix.
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
		Leaving:      row.Value.Leaving,
		Seen:         now,
		Version:      row.Version,
	}
}

// Sweep removes the rows of instances of the zone that have not changed for a long time.
// One that lives after all writes its row again.
func (he *Heartbeater) Sweep(ctx context.Context) error {
	for _, me := range he.forgotten() {
		ba := &storer.Batch{}
		key := storer.MemberKey(me.Zone, me.Instance)
		ba.Require(key, me.Version)
		ba.Remove(key)
		if _, err := he.Store.Commit(ctx, ba); err != nil && problem.KindOf(err) != problem.Conflict {
			return err
		}
	}
	return nil
}

func (he *Heartbeater) forgotten() []Member {
	he.mu.Lock()
	defer he.mu.Unlock()
	var list []Member
	for _, me := range he.members {
		if me.Zone == he.Zone && me.Instance != he.Instance && he.Clock.Now()-me.Seen >= he.Forget {
			list = append(list, me)
		}
	}
	return list
}

// neighbours lists the other instances of the zone that may be alive.
func (he *Heartbeater) neighbours() []Member {
	he.mu.Lock()
	defer he.mu.Unlock()
	var list []Member
	for _, me := range he.members {
		if me.Zone == he.Zone && me.Instance != he.Instance && he.mayLive(me) {
			list = append(list, me)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list
}

// mayLive reports whether a member's row or the member itself was heard of lately, or the
// rows have not been read lately, in which case they say nothing.
func (he *Heartbeater) mayLive(me Member) bool {
	now := he.Clock.Now()
	recent := now-me.Seen < he.Silence || he.inContact(me.Instance)
	return !me.Leaving && (recent || now-he.looked >= he.Silence)
}

func (he *Heartbeater) inContact(in identifier.Instance) bool {
	at, known := he.contact[in]
	return known && he.Clock.Now()-at < he.Silence
}

// Live is the number of instances of the zone that are alive, this one included.
func (he *Heartbeater) Live() int { return len(he.neighbours()) + 1 }

// Hears reports whether an instance has lately been in contact.
func (he *Heartbeater) Hears(in identifier.Instance) bool {
	he.mu.Lock()
	defer he.mu.Unlock()
	return he.inContact(in)
}

// HearsAll reports whether every other instance of the zone that may be alive has lately
// been in contact.
func (he *Heartbeater) HearsAll() bool {
	for _, me := range he.neighbours() {
		if !he.Hears(me.Instance) {
			return false
		}
	}
	return true
}

// Members lists all instances whose rows have changed within Forget, this one included.
func (he *Heartbeater) Members() []Member {
	he.mu.Lock()
	defer he.mu.Unlock()
	var list []Member
	for _, me := range he.members {
		age := he.Clock.Now() - me.Seen
		me.Stale = age >= he.Silence
		if age < he.Forget {
			list = append(list, me)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return list
}
