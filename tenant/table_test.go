package tenant_test

import (
	"crypto/sha256"
	"fmt"
	"math"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/state"
	"apricotrouter/tenant"
)

func key(s string) []byte {
	h := sha256.Sum256([]byte(s))
	return h[:]
}

// Guards against a key that identifies another tenant or none.
func TestTableFindsTenantsByKeyAndName(t *testing.T) {
	g := NewWithT(t)
	tenants := []state.Tenant{
		{Name: "a", Keys: [][]byte{key("k1"), key("k2")}, Weight: 1},
		{Name: "b", Keys: [][]byte{key("k3")}, Weight: 2},
		{Name: "c", Weight: 3},
	}
	g.Expect(tenant.Check(tenants)).To(Succeed())
	table := tenant.NewTable(&state.QueueConfig{Tenants: tenants})
	g.Expect(table.ByKey(key("k1")).Name).To(Equal("a"))
	g.Expect(table.ByKey(key("k2")).Name).To(Equal("a"))
	g.Expect(table.ByKey(key("k3")).Name).To(Equal("b"))
	g.Expect(table.ByName("c").Weight).To(BeEquivalentTo(3))
	for _, unknown := range [][]byte{nil, {}, key("k4"), key("")[:31], []byte("k1"), append(key("k1"), 0)} {
		g.Expect(table.ByKey(unknown)).To(BeNil())
	}
	g.Expect(table.ByName("")).To(BeNil())
	g.Expect((*tenant.Table)(nil).ByKey(key("k1"))).To(BeNil())
}

// Guards against a configuration that lets a key identify two tenants, and
// against one with a weight or cap that the decisions can't use.
func TestInvalidTenantsAreRejected(t *testing.T) {
	g := NewWithT(t)
	many := make([]state.Tenant, tenant.MaxTenants+1)
	for i := range many {
		many[i] = state.Tenant{Name: fmt.Sprint("t", i), Keys: [][]byte{key(fmt.Sprint("k", i))}, Weight: 1}
	}
	g.Expect(tenant.Check(many[1:])).To(Succeed())
	for name, tenants := range map[string][]state.Tenant{
		"too many":       many,
		"no name":        {{Weight: 1}},
		"long name":      {{Name: strings.Repeat("n", tenant.MaxNameBytes+1), Weight: 1}},
		"name not UTF-8": {{Name: "\xff", Weight: 1}},
		"same name":      {{Name: "a", Weight: 1}, {Name: "a", Weight: 1}},
		"shared key":     {{Name: "a", Weight: 1, Keys: [][]byte{key("k")}}, {Name: "b", Weight: 1, Keys: [][]byte{key("l"), key("k")}}},
		"no hash":        {{Name: "a", Weight: 1, Keys: [][]byte{[]byte("k")}}},
		"no weight":      {{Name: "a"}},
		"negative":       {{Name: "a", Weight: -1}},
		"infinite":       {{Name: "a", Weight: math.Inf(1)}},
		"not a number":   {{Name: "a", Weight: math.NaN()}},
		"cpu":            {{Name: "a", Weight: 1, Cap: state.Resources{MilliCPU: -1}}},
		"memory":         {{Name: "a", Weight: 1, Cap: state.Resources{MemoryMiB: -1}}},
		"accelerators":   {{Name: "a", Weight: 1, Cap: state.Resources{Accelerators: -1}}},
	} {
		g.Expect(tenant.Check(tenants)).NotTo(Succeed(), name)
	}
	g.Expect(tenant.Check([]state.Tenant{{Name: "a", Weight: 1, Keys: [][]byte{key("k"), key("k")}}})).To(Succeed(), "a key that one tenant has twice")
}

// Guards against invalid keys, and against errors that contain a key.
func TestInvalidKeysHaveNoHash(t *testing.T) {
	g := NewWithT(t)
	for _, bad := range []string{"", "secret\xff", strings.Repeat("secret", 43)} {
		_, err := tenant.HashKey(bad)
		g.Expect(err).To(HaveOccurred())
		g.Expect(err.Error()).NotTo(ContainSubstring("secret"))
	}
	h, err := tenant.HashKey(strings.Repeat("k", tenant.MaxKeyBytes))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(h[:]).To(Equal(key(strings.Repeat("k", tenant.MaxKeyBytes))))
}
