package quarantine

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

// BenchmarkFingerprint measures the cost per request while any request is watched or quarantined.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 800)
	for b.Loop() {
		FingerprintOf("account", "POST", "/notes/1", body)
	}
}

var _ = Describe("a fingerprint", func() {
	It("is the same for the same request, and differs if any part of the request differs", func() {
		same := FingerprintOf("a", "POST", "/x/1", []byte("body"))
		Expect(FingerprintOf("a", "POST", "/x/1", []byte("body"))).To(Equal(same))
		others := []Fingerprint{
			FingerprintOf("b", "POST", "/x/1", []byte("body")),
			FingerprintOf("a", "PUT", "/x/1", []byte("body")),
			FingerprintOf("a", "POST", "/x/2", []byte("body")),
			FingerprintOf("a", "POST", "/x/1", []byte("bodies")),
			FingerprintOf("a", "POST", "/x/1b", []byte("ody")),
			FingerprintOf("aP", "OST", "/x/1", []byte("body")),
		}
		for _, f := range others {
			Expect(f).NotTo(Equal(same))
		}
	})
})
