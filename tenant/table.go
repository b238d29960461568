package tenant

import (
	"crypto/sha256"
	"fmt"
	"math"
	"unicode/utf8"

	"apricotrouter/state"
)

// Table is the tenants of a configuration by key and by name. A nil table has no
// tenants.
type Table struct {
	byKey  map[Hash]*state.Tenant
	byName map[string]*state.Tenant
}

// NewTable returns the table of a valid configuration, which may be nil. Former
// tenants have no keys.
func NewTable(c *state.QueueConfig) *Table {
	if c == nil || len(c.Tenants) == 0 {
		return nil
	}
	tenants := c.Tenants
	t := &Table{byKey: make(map[Hash]*state.Tenant, len(tenants)), byName: make(map[string]*state.Tenant, len(tenants))}
	for i := range c.FormerTenants {
		t.byName[c.FormerTenants[i].Name] = &c.FormerTenants[i]
	}
	for i := range tenants {
		t.byName[tenants[i].Name] = &tenants[i]
		for _, k := range tenants[i].Keys {
			if len(k) == sha256.Size {
				t.byKey[Hash(k)] = &tenants[i]
			}
		}
	}
	return t
}

// ByKey returns the tenant with the key of the given hash, or nil.
func (t *Table) ByKey(hash []byte) *state.Tenant {
	if t == nil || len(hash) != sha256.Size {
		return nil
	}
	return t.byKey[Hash(hash)]
}

// ByName returns the tenant with the name, or nil.
func (t *Table) ByName(name string) *state.Tenant {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// Len returns the number of tenants.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.byName)
}

// Check returns an error that says why the tenants of a configuration are
// invalid, or nil.
func Check(tenants []state.Tenant) error {
	if len(tenants) > MaxTenants {
		return fmt.Errorf("%d tenants are more than %d", len(tenants), MaxTenants)
	}
	names := make(map[string]bool, len(tenants))
	owners := make(map[Hash]string, len(tenants))
	for i := range tenants {
		t := &tenants[i]
		switch {
		case t.Name == "":
			return fmt.Errorf("tenant %d has no name", i)
		case len(t.Name) > MaxNameBytes || !utf8.ValidString(t.Name):
			return fmt.Errorf("the name of tenant %d is longer than %d bytes or not UTF-8", i, MaxNameBytes)
		case names[t.Name]:
			return fmt.Errorf("two tenants are called %q", t.Name)
		case math.IsNaN(t.Weight) || math.IsInf(t.Weight, 0) || t.Weight <= 0:
			return fmt.Errorf("tenant %q has weight %v, which is not above 0", t.Name, t.Weight)
		case !t.Cap.Valid():
			return fmt.Errorf("tenant %q has a negative cap: %s", t.Name, t.Cap)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if len(k) != sha256.Size {
				return fmt.Errorf("tenant %q has a key that is not a hash", t.Name)
			}
			if owner, ok := owners[Hash(k)]; ok && owner != t.Name {
				return fmt.Errorf("tenants %q and %q share a key", owner, t.Name)
			}
			owners[Hash(k)] = t.Name
		}
	}
	return nil
}
