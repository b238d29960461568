package state

import (
	"fmt"
	"iter"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// auditBlockSize is the number of audit records in one encoded block.
const auditBlockSize = 64

// AuditTrail is an immutable list of audit records, oldest first. Its zero
// value is empty. All but the latest records are stored in encoded blocks: as
// structs in a tree, the audit records took more memory on every instance than
// the rest of the state.
type AuditTrail struct {
	blocks Table[[]byte] // by AuditKey of the first record
	recent []*AuditRecord
}

// Len returns the number of records.
func (a AuditTrail) Len() int { return a.blocks.Len()*auditBlockSize + len(a.recent) }

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

// add returns the trail with r appended.
func (a AuditTrail) add(r *AuditRecord) AuditTrail {
	a.recent = append(slices.Clip(a.recent), r)
	if len(a.recent) < auditBlockSize {
		return a
	}
	data, err := cbor.Marshal(a.recent)
	if err != nil {
		// Encoding the plain structs of this package never fails.
		panic(fmt.Sprintf("encode audit records: %v", err))
	}
	return AuditTrail{blocks: a.blocks.Put(AuditKey(a.recent[0].Sequence), data)}
}

// prune returns the trail without its oldest block if at least minRecords
// records remain, and otherwise the trail itself.
func (a AuditTrail) prune(minRecords int) AuditTrail {
	if a.Len()-auditBlockSize < minRecords {
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
		// Blocks are encoded by add and validated by newAuditTrail.
		panic(fmt.Sprintf("decode audit records: %v", err))
	}
	return records
}

// newAuditTrail returns the audit trail of a snapshot. It returns an error if a
// block can't be decoded or has the wrong number of records.
func newAuditTrail(blocks [][]byte, recent []*AuditRecord) (AuditTrail, error) {
	trail := AuditTrail{recent: recent}
	e := tableTxn[[]byte]{table: &trail.blocks}
	for _, data := range blocks {
		var records []*AuditRecord
		if err := cbor.Unmarshal(data, &records); err != nil {
			return AuditTrail{}, fmt.Errorf("decode audit records: %w", err)
		}
		if len(records) != auditBlockSize {
			return AuditTrail{}, fmt.Errorf("block of %d audit records, want %d", len(records), auditBlockSize)
		}
		e.put(AuditKey(records[0].Sequence), data)
	}
	e.commit()
	return trail, nil
}
