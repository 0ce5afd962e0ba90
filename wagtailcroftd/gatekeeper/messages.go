package gatekeeper

import (
	"io"

	"github.com/rotisserie/eris"

	"github.com/wagtailcroft/wagtailcroft/decisions/shedder"
)

const (
	// maxUnanswered is how many messages another instance may send without waiting for answers; a call has
	// two.
	maxUnanswered = 256
	// shortLength is the first length that takes more than one byte. A longer one follows the negated
	// number of its bytes.
	shortLength = 0x80
	// maxLengthBytes is the size of the largest length.
	maxLengthBytes = 8
)

// errMessageTooLarge means that a message is larger than any that an instance sends.
var errMessageTooLarge = eris.New("the message is larger than any of another instance; check who calls this port")

// messages follows the messages in a stream of encoding/gob, whose decoder reserves the length that a message
// claims before it is there.
type messages struct {
	// limit is the largest length.
	limit uint64
	// left is what is still to come of the present message, and lengthLeft of its length.
	left       uint64
	lengthLeft int
	length     uint64
	// received is the size of what has been received of the present message, never above limit and a length.
	received int
	// unanswered is the number of messages that have begun, less two for each answer, at least 0. Those that
	// describe a type are counted too; each type is described once.
	unanswered int
}

// scan takes the next bytes. It returns an error if a message is too large or too many are unanswered.
func (me *messages) scan(next []byte) error {
	for len(next) > 0 {
		if me.left > 0 {
			size := min(me.left, uint64(len(next)))
			next = next[size:]
			me.left -= size
			me.received += int(size)
			continue
		}
		if err := me.scanLength(next[0]); err != nil {
			return err
		}
		next = next[1:]
	}
	return nil
}

// scanLength takes the next byte of a length.
func (me *messages) scanLength(by byte) error {
	switch {
	case me.lengthLeft > 0:
		me.length = me.length<<8 | uint64(by)
		me.lengthLeft--
	case by < shortLength:
		me.length = uint64(by)
	default:
		me.length, me.lengthLeft = 0, -int(int8(by))
	}
	if me.lengthLeft > maxLengthBytes {
		return errMessageTooLarge
	}
	if me.lengthLeft > 0 {
		return nil
	}
	me.left, me.received = me.length, 0
	me.unanswered++
	if me.length > me.limit || me.unanswered > maxUnanswered {
		return errMessageTooLarge
	}
	return nil
}

// whole reports whether the present message is complete.
func (me *messages) whole() bool { return me.left == 0 && me.lengthLeft == 0 }

// answered notes an answer.
func (me *messages) answered() { me.unanswered = max(me.unanswered-2, 0) }

// readMessages notes what another instance has sent.
func (co *conn) readMessages(next []byte, readErr error) (int, error) {
	var err error
	gone := co.update(func() int {
		err = co.messages.scan(next)
		co.phase, co.kept = shedder.Body, co.messages.received
		if co.messages.whole() {
			co.phase = shedder.Serving
		}
		return len(next)
	})
	if err != nil {
		co.ga.note(co.listener, messageTooLarge)
	}
	if gone || err != nil {
		return 0, io.EOF
	}
	return len(next), readErr
}
