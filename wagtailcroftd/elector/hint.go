package elector

import (
	"context"

	"github.com/wagtailcroft/wagtailcroft/shared/clock"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
)

const (
	// hintLasts is how long the word of another instance holds: its holder may recover.
	hintLasts = 1000 * clock.Millis(1)
	// doubtAfter is how long the row must have stayed as it is before a standby asks the
	// holder whether it works: one renewal, and the way of the next.
	doubtAfter = 950 * clock.Millis(1)
	// hintYieldParts divides the yield where the holder is known to have gone: what is left
	// differs by more than the way to the store between instances of unlike processors.
	hintYieldParts = 4
	// hintJitter spreads instances of like processors, of which all but one take the duty in
	// vain; a transaction takes 6 ms.
	hintJitter = 40 * clock.Millis(1)
)

// hint is what another instance, or a broken connection, tells of a holder.
type hint struct {
	incarnation string
	fence       meter.LeaseEpoch
	// version is that of the row for which alone the hint holds; 0 stands for any.
	version meter.RowVersion
	why     string
	at      clock.Millis
}

// Hint takes the word that the holder with a fence has gone. With an incarnation it is
// certain, without one it holds for a while.
func (el *Elector) Hint(incarnation string, fence meter.LeaseEpoch, why string) {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.hint = hint{incarnation: incarnation, fence: fence, why: why, at: el.cl.Now()}
	if el.interrupt != nil {
		el.interrupted = true
		el.interrupt()
	}
}

// hinted returns the hint if it holds for the present holder.
func (el *Elector) hinted() (hint, bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	hi := el.hint
	if el.holder == nil || hi.fence == 0 || hi.fence != el.holder.Fence {
		return hint{}, false
	}
	if hi.incarnation == "" {
		return hi, el.cl.Now()-hi.at <= hintLasts
	}
	return hi, hi.incarnation == el.holder.Incarnation && (hi.version == 0 || hi.version == el.version)
}

// dropWord forgets what another instance has said: the store does not serve this one
// either, or another has come first.
func (el *Elector) dropWord() {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.hint.incarnation == "" {
		el.hint = hint{}
	}
}

// watch has the elector told when the process of the holder ends.
func (el *Elector) watch(ctx context.Context) {
	if el.holder == nil || el.holder.Address == "" || el.holder.Instance == el.Me.Instance || el.holder.Incarnation == el.watched {
		return
	}
	if el.unwatch != nil {
		el.unwatch()
	}
	ctx, el.unwatch = context.WithCancel(ctx)
	former := *el.holder
	el.watched = former.Incarnation
	go func() {
		if el.peers.Ended(ctx, former.Address) {
			el.Hint(former.Incarnation, former.Fence, "its process has ended")
		}
	}()
}

// doubt asks the holder whether it works once a renewal is missing. One that neither renews
// nor answers has died without a sign, stands still, or is cut off.
func (el *Elector) doubt(ctx context.Context) {
	now := el.cl.Now()
	if el.holder == nil || el.holder.Instance == "" || el.holder.Instance == el.Me.Instance || el.holder.Address == "" ||
		el.unchanged == 0 || now-el.unchanged < doubtAfter || el.asked == el.version {
		return
	}
	el.asked = el.version
	if _, hinted := el.hinted(); hinted || el.peers.Answers(ctx, el.holder.Address) || ctx.Err() != nil {
		return
	}
	el.log.Info().Str("holder", string(el.holder.Instance)).Int64("unchangedMillis", int64(el.cl.Now()-el.unchanged)).Msg("holderDoubted")
	el.mu.Lock()
	defer el.mu.Unlock()
	el.hint = hint{
		incarnation: el.holder.Incarnation, fence: el.holder.Fence, version: el.version, why: "it neither renews nor answers", at: el.cl.Now(),
	}
}

// gone tells why the holder is taken to have gone, once this instance has let others go
// first; an empty text means that it is not.
func (el *Elector) gone() string {
	if hi, hinted := el.hinted(); hinted && el.cl.Now()-hi.at >= el.hintYield() {
		return hi.why
	}
	return ""
}

// hintYield is how long this instance lets others go first when the holder has gone: only
// long enough to tell the instances apart.
func (el *Elector) hintYield() clock.Millis { return el.Yield/hintYieldParts + el.jitter }
