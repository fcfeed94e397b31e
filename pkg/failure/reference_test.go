package failure_test

import (
	"fmt"
	"os"
	"strings"

	"github.com/larchwinch/larchwinch/pkg/failure"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// reference returns the page of error kinds, generated from the table.
func reference() string {
	var b strings.Builder
	b.WriteString("# Error kinds\n\nEvery error answer has the shape `{\"error\":{\"kind\",\"message\",\"ran\",\"retry_after_ms\",…}}`.\n" +
		"`ran` says whether the request was run; a failure may know better than the table.\n\n" +
		"| kind | status | ran | come back after | means |\n|---|---|---|---|---|\n")
	for _, k := range failure.Kinds() {
		a := k.Answer()
		back := "never"
		if a.RetryAfter > 0 {
			back = a.RetryAfter.String()
		}
		fmt.Fprintf(&b, "| %s | %d | %s | %s | %s |\n", a.Name, a.Status, a.Ran, back, a.Meaning)
	}
	return b.String()
}

var _ = Describe("the reference of error kinds", func() {
	It("matches the table", func() {
		const file = "../../docs/operate/errors.md"
		if os.Getenv("UPDATE_DOCS") != "" {
			Expect(os.WriteFile(file, []byte(reference()), 0o644)).To(Succeed())
		}
		text, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal(reference()), "run the test once with UPDATE_DOCS=1")
	})
})
