package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/config"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const examples = "../../examples"

func readExample(name string) string {
	text, err := os.ReadFile(filepath.Join(examples, name))
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

func writeSettings(text string) string {
	file := filepath.Join(GinkgoT().TempDir(), "settings.toml")
	Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
	return file
}

var _ = Describe("the examples", func() {
	It("are valid", func() {
		for _, n := range []string{"1", "2", "3"} {
			_, err := config.ReadEntry(filepath.Join(examples, "local", "entry-"+n+".toml"))
			Expect(err).NotTo(HaveOccurred())
			_, err = config.ReadControl(filepath.Join(examples, "local", "control-"+n+".toml"))
			Expect(err).NotTo(HaveOccurred())
		}
		var all []*bundle.Bundle
		for _, n := range []string{"mesipuu.toml", "quaistern.toml"} {
			b, err := bundle.Parse(n, []byte(readExample(n)))
			Expect(err).NotTo(HaveOccurred())
			Expect(b.Accounts).To(HaveLen(10))
			all = append(all, b)
		}
		_, err := bundle.NewSet(1, all)
		Expect(err).NotTo(HaveOccurred(), "both deployments together")
	})
})

var _ = Describe("settings", func() {
	cases := []struct {
		name       string
		from       string
		to         string
		wantErrors []string
	}{
		{name: "unknown key", from: "host = ", to: "hostt = ", wantErrors: []string{"hostt: unknown key", `host: "" is no name`}},
		{name: "wrong unit", from: "log = ", to: "drain_timeout = \"5 minutes\"\nlog = ", wantErrors: []string{"is not a duration", "250ms"}},
		{name: "bad address", from: `caller_address = "127.0.2.1:8080"`, to: `caller_address = "entry-1:8080"`, wantErrors: []string{`caller_address: "entry-1:8080" is no address`, "an IP number and a port"}},
		{name: "no control", from: `control = [`, to: `control = []` + "\nx = [", wantErrors: []string{"control: missing", "x: unknown key"}},
		{name: "no policy", from: "log = ", to: "routing_policy = \"best\"\nlog = ", wantErrors: []string{`"best" is not a routing policy`, "expected-finish"}},
		{name: "syntax error", from: "host = ", to: "host = [", wantErrors: []string{"(syntax)"}},
		{name: "bad key", from: "public_key = \"", to: "public_key = \"x", wantErrors: []string{"signer.0.public_key", "larchwinch key new"}},
	}
	for _, c := range cases {
		It("report every problem: "+c.name, func() {
			text := strings.Replace(readExample("local/entry-1.toml"), c.from, c.to, 1)
			_, err := config.ReadEntry(writeSettings(text))
			Expect(err).To(HaveOccurred())
			for _, s := range c.wantErrors {
				Expect(err.Error()).To(ContainSubstring(s))
			}
		})
	}

	It("of a control host reject a host list whose host isn't an IP number", func() {
		text := strings.Replace(readExample("local/control-1.toml"), "http://127.0.4.1:6000", "http://list:6000", 1)
		_, err := config.ReadControl(writeSettings(text))
		Expect(err).To(MatchError(ContainSubstring("host_list")))
	})

	It("of a control host report each invalid replica and operator", func() {
		text := strings.Replace(readExample("local/control-1.toml"), "id = 2\n", "id = 1\n", 1)
		text = strings.Replace(text, `roles = ["read"]`, `roles = ["write"]`, 1)
		_, err := config.ReadControl(writeSettings(text))
		Expect(err).To(MatchError(And(ContainSubstring("replica.1.id"), ContainSubstring(`"write" is not a role`))))
	})
})

var _ = Describe("bundles", func() {
	cases := []struct {
		name      string
		from      string
		to        string
		wantError string
	}{
		{name: "duplicate name", from: `name = "kesklinn"`, to: `name = "haabersti"`, wantError: `account.1.name: "haabersti" stands twice`},
		{name: "unknown model", from: `model = "koit"` + "\npriority = 9", to: `model = "koot"` + "\npriority = 9", wantError: `no model "koot"`},
		{name: "priority", from: "priority = 9", to: "priority = 12", wantError: "pipeline.0.priority: 12 is out of range; allowed: 0 to 9"},
		{name: "more tokens than the context", from: "max_tokens = 256", to: "max_tokens = 9000", wantError: "more than the model's context"},
		{name: "layers", from: "layers = 24", to: "layers = 0", wantError: "model.0.layers"},
		{name: "wrong type", from: "layers = 24", to: `layers = "many"`, wantError: "line 9"},
		{name: "first version with a parent", from: `parent = ""`, to: `parent = "x"`, wantError: "version 1 names a parent"},
	}
	for _, c := range cases {
		It("report the problem: "+c.name, func() {
			text := strings.Replace(readExample("mesipuu.toml"), c.from, c.to, 1)
			b, err := bundle.Parse("mesipuu.toml", []byte(text))
			if err == nil {
				_, err = bundle.NewSet(1, []*bundle.Bundle{b})
			}
			Expect(err).To(MatchError(ContainSubstring(c.wantError)))
		})
	}
})
