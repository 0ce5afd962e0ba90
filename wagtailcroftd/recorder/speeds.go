package recorder

import (
	"encoding/binary"

	"github.com/wagtailcroft/wagtailcroft/decisions/gauger"
	"github.com/wagtailcroft/wagtailcroft/shared/gen/ledger"
	"github.com/wagtailcroft/wagtailcroft/shared/meter"
	"github.com/wagtailcroft/wagtailcroft/shared/rowstore"
)

const (
	// speedBytes is the number of bytes for a worker, and markBytes that of its mark.
	speedBytes = 5
	markBytes  = 4
	// rowBytesPerSpeed is what a worker takes of the row, in which the bytes are encoded again.
	rowBytesPerSpeed = 7
	// speedsShare is the part of the largest row that speeds may take.
	speedsShare = 2
)

// MaxSpeeds returns of how many workers the speeds fit into a row.
func MaxSpeeds(rowLimit meter.Bytes) int { return int(rowLimit) / rowBytesPerSpeed / speedsShare }

// EncodeSpeeds encodes the row of the speeds of workers.
func EncodeSpeeds(memories []gauger.Memory) []byte {
	packed := make([]byte, 0, speedBytes*len(memories))
	for _, me := range memories {
		packed = append(binary.BigEndian.AppendUint32(packed, uint32(me.Mark)), byte(me.Effect))
	}
	return Encode(ledger.Speeds{Workers: packed})
}

// DecodeSpeeds decodes the row of the speeds of workers.
func DecodeSpeeds(row rowstore.Row) ([]gauger.Memory, error) {
	sp, err := Decode[ledger.Speeds](row)
	if err != nil {
		return nil, err
	}
	var memories []gauger.Memory
	for packed := sp.Workers; len(packed) >= speedBytes; packed = packed[speedBytes:] {
		memories = append(memories, gauger.Memory{Mark: gauger.Mark(binary.BigEndian.Uint32(packed)), Effect: int8(packed[markBytes])})
	}
	return memories, nil
}
