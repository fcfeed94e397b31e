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
	"google.golang.org/protobuf/types/dynamicpb"
)

func TestRPC(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rpc")
}

// commitToWrite names the commit whose fixture is written; docs/design/upgrades.md.
var commitToWrite = os.Getenv("WRITE_RELEASE")

// released returns the wire types of an earlier release, as the descriptor set that its
// generated code holds.
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
	if commitToWrite != "" {
		It("are written for a release", func() {
			text, err := proto.MarshalOptions{Deterministic: true}.Marshal(&descriptorpb.FileDescriptorSet{
				File: []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(File_larchwinch_proto)},
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(os.WriteFile(filepath.Join("testdata", commitToWrite+".binpb"), text, 0o600)).To(Succeed())
		})
	}
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

		It("read what is written today, but for what they don't know: "+name, func() {
			old, now := released(file).Messages(), File_larchwinch_proto.Messages()
			for i := range old.Len() {
				was := old.Get(i)
				today := dynamicpb.NewMessage(now.ByName(was.Name()))
				fill(today, 1)
				text, err := proto.Marshal(today)
				Expect(err).NotTo(HaveOccurred())
				read := dynamicpb.NewMessage(was)
				Expect(proto.Unmarshal(text, read)).To(Succeed(), string(was.Name()))
				expectRead(read, today)
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

// maxDepth bounds how deep fill fills messages within messages.
const maxDepth = 4

// fill sets every field of a message to a value that isn't its default. Of fields that exclude each
// other the first one is set.
func fill(m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if one := f.ContainingOneof(); one != nil && m.WhichOneof(one) != nil || f.IsMap() || f.Message() != nil && depth >= maxDepth {
			continue
		}
		if f.IsList() {
			list := m.Mutable(f).List()
			if f.Message() == nil {
				list.Append(sample(f))
				continue
			}
			e := list.NewElement()
			fill(e.Message(), depth+1)
			list.Append(e)
			continue
		}
		if f.Message() != nil {
			fill(m.Mutable(f).Message(), depth+1)
			continue
		}
		m.Set(f, sample(f))
	}
}

// sample returns a value of a scalar field that tells fields apart.
func sample(f protoreflect.FieldDescriptor) protoreflect.Value {
	n := int(f.Number())
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(string(f.Name()))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(f.Name()))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n) + 0.5)
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(n) + 0.5)
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(n))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	}
	return protoreflect.ValueOfUint64(uint64(n))
}

// expectRead checks that each field that a message of an earlier release has is as it was written
// today.
func expectRead(read, today protoreflect.Message) {
	fields := read.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		g := today.Descriptor().Fields().ByNumber(f.Number())
		if g == nil {
			continue // reserved today
		}
		Expect(read.Has(f)).To(Equal(today.Has(g)), string(f.FullName()))
		switch {
		case f.IsMap() || !read.Has(f):
		case f.IsList() && f.Message() != nil:
			expectRead(read.Get(f).List().Get(0).Message(), today.Get(g).List().Get(0).Message())
		case f.IsList():
			Expect(read.Get(f).List().Get(0).Interface()).To(Equal(today.Get(g).List().Get(0).Interface()), string(f.FullName()))
		case f.Message() != nil:
			expectRead(read.Get(f).Message(), today.Get(g).Message())
		default:
			Expect(read.Get(f).Interface()).To(Equal(today.Get(g).Interface()), string(f.FullName()))
		}
	}
}
