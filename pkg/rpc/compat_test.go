package rpc

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
)

func TestRPC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rpc")
}

// released returns the wire types of an earlier release, as protoc compiled them from that
// release's larchwinch.proto: protoc --descriptor_set_out=testdata/COMMIT.binpb.
func released(file string) protoreflect.FileDescriptor {
	text, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	set := &descriptorpb.FileDescriptorSet{}
	Expect(proto.Unmarshal(text, set)).To(Succeed())
	files, err := protodesc.NewFiles(set)
	Expect(err).NotTo(HaveOccurred())
	d, err := files.FindFileByPath("larchwinch.proto")
	Expect(err).NotTo(HaveOccurred())
	return d
}

// Guards against hosts and replicas of two builds that misread each other's messages or
// records while hosts are replaced one by one.
var _ = Describe("the wire types of the last two releases", func() {
	files, _ := filepath.Glob("testdata/*.binpb") // the pattern is valid
	It("are there", func() { Expect(files).To(HaveLen(2)) })
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".binpb")
		It("keep the number, type and meaning of each field: "+name, func() {
			old, now := released(file).Messages(), File_larchwinch_proto.Messages()
			for i := range old.Len() {
				was := old.Get(i)
				is := now.ByName(was.Name())
				Expect(is).NotTo(BeNil(), string(was.Name()))
				expectCompatible(was, is)
			}
		})

		It("keep every call: "+name, func() {
			old, now := released(file).Services(), File_larchwinch_proto.Services()
			for i := range old.Len() {
				was := old.Get(i)
				is := now.ByName(was.Name())
				Expect(is).NotTo(BeNil(), string(was.Name()))
				for k := range was.Methods().Len() {
					call := was.Methods().Get(k)
					same := is.Methods().ByName(call.Name())
					Expect(same).NotTo(BeNil(), string(call.FullName()))
					Expect(same.Input().Name()).To(Equal(call.Input().Name()))
					Expect(same.Output().Name()).To(Equal(call.Output().Name()))
				}
			}
		})
	}
})

// expectCompatible checks that a message has each field of an earlier form of it, or has
// reserved its number, and uses no number again that the earlier form had reserved.
func expectCompatible(was, is protoreflect.MessageDescriptor) {
	for i := range was.Fields().Len() {
		f := was.Fields().Get(i)
		g := is.Fields().ByNumber(f.Number())
		if g == nil {
			Expect(is.ReservedRanges().Has(f.Number())).To(BeTrue(), "%s is gone, and its number is free", f.FullName())
			continue
		}
		Expect(g.Name()).To(Equal(f.Name()), string(f.FullName()))
		Expect(g.Kind()).To(Equal(f.Kind()), string(f.FullName()))
		Expect(g.Cardinality()).To(Equal(f.Cardinality()), string(f.FullName()))
	}
	for i := range is.Fields().Len() {
		f := is.Fields().Get(i)
		Expect(was.ReservedRanges().Has(f.Number())).To(BeFalse(), "%s uses a reserved number again", f.FullName())
	}
}
