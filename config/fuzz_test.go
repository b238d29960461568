package config_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/config"
)

// FuzzParse checks that invalid input of any content is reported with a line and
// does not panic.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{valid, "", "a", "- b", "instance: &x {id: *x}\n<<: *x", "? [a]\n: {", "listen:\n  entry:\n", "timing: {heartbeat: !!float 1}", "\"", "peers: [[], null, {id: }]", "instance: !!map\n", "---\n---\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data string) {
		c, err := config.Parse("a.yaml", []byte(data))
		if err == nil {
			NewWithT(t).Expect(c.Self().ID).To(Equal(c.Instance.ID))
			return
		}
		var all config.Errors
		NewWithT(t).Expect(errors.As(err, &all)).To(BeTrue())
		for _, e := range all {
			NewWithT(t).Expect(e.Line).To(BeNumerically(">", 0), e.Error())
		}
	})
}
