package replica

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"apricotrouter/raft"
	"apricotrouter/state"
)

// applied is an applied log entry with its result.
type applied struct {
	entry  raft.Entry
	result state.Result
}

// applyEntries applies entries in order and returns the resulting state.
// Entries that the state already includes are skipped; a gap is an error.
func applyEntries(s *state.State, entries []raft.Entry) (*state.State, []applied, error) {
	results := make([]applied, 0, len(entries))
	for _, e := range entries {
		if e.Index <= s.Index {
			continue
		}
		if e.Index != s.Index+1 {
			return nil, nil, fmt.Errorf("entry %d does not follow the state at index %d", e.Index, s.Index)
		}
		c, err := commandOf(e)
		if err != nil {
			return nil, nil, err
		}
		next, result := s.Apply(e.Index, c)
		s = next
		results = append(results, applied{entry: e, result: result})
	}
	return s, results, nil
}

// commandOf decodes the command of an entry. Entries of the consensus protocol
// itself become no-op commands, so that State.Index advances with the log.
func commandOf(e raft.Entry) (state.Command, error) {
	if e.Type != raft.EntryCommand {
		return state.NewCommand(state.Noop{}), nil
	}
	var c state.Command
	if err := cbor.Unmarshal(e.Data, &c); err != nil {
		return c, fmt.Errorf("decode command at index %d: %w", e.Index, err)
	}
	return c, nil
}
