package state

import (
	"fmt"
	"iter"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// auditBlock is the number of records that are encoded together.
const auditBlock = 64

// AuditTrail is the immutable list of audit records, oldest first. Its zero
// value is empty. All but the latest records are kept encoded: as structs in a
// tree the records kept by every instance took more memory than all the rest.
type AuditTrail struct {
	blocks Table[[]byte] // by AuditKey of the first record
	recent []*AuditRecord
}

// Len returns the number of records.
func (a AuditTrail) Len() int { return a.blocks.Len()*auditBlock + len(a.recent) }

// All yields the records with their keys, oldest first. Records must not be
// changed.
func (a AuditTrail) All() iter.Seq2[string, *AuditRecord] {
	return func(yield func(string, *AuditRecord) bool) {
		for _, block := range a.blocks.All() {
			if !yieldAll(decodeBlock(block), yield) {
				return
			}
		}
		yieldAll(a.recent, yield)
	}
}

func yieldAll(records []*AuditRecord, yield func(string, *AuditRecord) bool) bool {
	for _, r := range records {
		if !yield(AuditKey(r.Sequence), r) {
			return false
		}
	}
	return true
}

// add returns the trail with one more record.
func (a AuditTrail) add(r *AuditRecord) AuditTrail {
	a.recent = append(slices.Clip(a.recent), r)
	if len(a.recent) < auditBlock {
		return a
	}
	data, err := cbor.Marshal(a.recent)
	if err != nil {
		// Records are plain structs of this package, which always encode.
		panic(fmt.Sprintf("encode audit records: %v", err))
	}
	return AuditTrail{blocks: a.blocks.Put(AuditKey(a.recent[0].Sequence), data)}
}

// prune returns the trail without the oldest block, if at least keep records
// remain.
func (a AuditTrail) prune(keep int) AuditTrail {
	if a.Len()-auditBlock < keep {
		return a
	}
	for k := range a.blocks.All() {
		a.blocks = a.blocks.Delete(k)
		break
	}
	return a
}

func decodeBlock(data []byte) []*AuditRecord {
	var records []*AuditRecord
	if err := cbor.Unmarshal(data, &records); err != nil {
		// add encoded the block, and trailOf has checked it.
		panic(fmt.Sprintf("decode audit records: %v", err))
	}
	return records
}

// trailOf returns the trail of a snapshot. It refuses a block that does not
// decode.
func trailOf(blocks [][]byte, recent []*AuditRecord) (AuditTrail, error) {
	trail := AuditTrail{recent: recent}
	e := edit[[]byte]{table: &trail.blocks}
	for _, data := range blocks {
		var records []*AuditRecord
		if err := cbor.Unmarshal(data, &records); err != nil {
			return AuditTrail{}, fmt.Errorf("decode audit records: %w", err)
		}
		if len(records) != auditBlock {
			return AuditTrail{}, fmt.Errorf("block of %d audit records, want %d", len(records), auditBlock)
		}
		e.put(AuditKey(records[0].Sequence), data)
	}
	e.commit()
	return trail, nil
}
