package opcmd

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/api"
	"github.com/larchwinch/larchwinch/pkg/bundle"
	"github.com/larchwinch/larchwinch/pkg/cmds/cmdutil"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"
)

const signaturesSuffix = ".signatures.json"

func (o *options) bundleCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "bundle",
		Short: "Write, check, sign and submit bundles, and show the active ones",
	}
	cmd.AddCommand(o.bundleInit(), o.bundleCheck(), o.bundleSign(), o.bundleSubmit(), o.bundleShow(), o.bundleHistory(), o.bundleDiff())
	return cmd
}

const template = `# A bundle of larchwinch. See docs/operate/bundles.md.
name = %q
version = 1
parent = "" # the digest of the version before; empty for the first

[[model]]
name = "my-model"
version = "1"
layers = 24
layer_mb = 300
context_tokens = 4096

[[pipeline]]
name = "my-pipeline"
model = "my-model"
priority = 5
max_tokens = 256

[[account]]
name = "my-account"
key_sha256 = [%q] # the key is %s
weight = 1
requests_per_second = 10
tokens_per_second = 1000
concurrent = 16
`

func (o *options) bundleInit() *cobra.Command {
	return &cobra.Command{
		Use:   "init NAME",
		Short: "Print a bundle to begin with",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			key := newKey()
			_, err := fmt.Fprintf(o.out, template, args[0], bundle.KeyDigest(key), key)
			return err
		},
	}
}

// readBundle reads and checks a bundle's file.
func readBundle(file string) (*bundle.Bundle, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, cmdutil.Usage(err)
	}
	b, err := bundle.Parse(file, text)
	if err != nil {
		return nil, nil, cmdutil.Usage(err)
	}
	return b, text, nil
}

func (o *options) bundleCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a bundle without submitting it",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			b, text, err := readBundle(args[0])
			if err != nil {
				return err
			}
			return o.show(b, table{
				header: []string{"BUNDLE", "VERSION", "DIGEST"},
				rows:   [][]string{{b.Name, strconv.FormatUint(b.Version, 10), bundle.Digest(text)}},
			})
		},
	}
}

func (o *options) bundleSign() *cobra.Command {
	var signer, keyFile string
	cmd := &cobra.Command{
		Use:   "sign FILE",
		Short: "Add a signature to FILE" + signaturesSuffix,
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			_, text, err := readBundle(args[0])
			if err != nil {
				return err
			}
			key, err := os.ReadFile(keyFile)
			if err != nil {
				return cmdutil.Usage(err)
			}
			sig, err := bundle.Sign(signer, strings.TrimSpace(string(key)), text)
			if err != nil {
				return cmdutil.Usage(err)
			}
			return addSignature(args[0], api.Signature{
				Signer: sig.GetSigner(),
				Value:  sig.GetValue(),
			})
		},
	}
	cmd.Flags().StringVar(&signer, "signer", "", "the signer's name as in the settings (required)")
	cmd.Flags().StringVar(&keyFile, "key-file", "", "file with the private key of `larchwinch key new` (required)")
	_ = cmd.MarkFlagRequired("signer")   // the flag exists
	_ = cmd.MarkFlagRequired("key-file") // the flag exists
	return cmd
}

func readSignatures(file string) ([]api.Signature, error) {
	text, err := os.ReadFile(file + signaturesSuffix)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read signatures")
	}
	var list []api.Signature
	if err := json.Unmarshal(text, &list); err != nil {
		return list, errors.Wrap(err, file+signaturesSuffix)
	}
	return list, nil
}

// addSignature adds a signature to the bundle's signature file, in place of an
// older one by the same signer.
func addSignature(file string, sig api.Signature) error {
	old, err := readSignatures(file)
	if err != nil {
		return err
	}
	list := []api.Signature{sig}
	for _, s := range old {
		if s.Signer != sig.Signer {
			list = append(list, s)
		}
	}
	text, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return os.WriteFile(file+signaturesSuffix, append(text, '\n'), 0o644)
}

func (o *options) bundleSubmit() *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a signed bundle; sending it again is harmless",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, text, err := readBundle(args[0])
			if err != nil {
				return err
			}
			sigs, err := readSignatures(args[0])
			if err != nil {
				return err
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			v := api.BundleVersion{}
			err = c.Post(cmd.Context(), api.AdminBundlesPath, api.SignedBundle{
				Content:    string(text),
				Signatures: sigs,
			}, &v)
			if err != nil {
				return withExitCode(err)
			}
			return o.show(v, versionTable([]api.BundleVersion{v}))
		},
	}
}

func versionTable(list []api.BundleVersion) table {
	t := table{
		header: []string{"BUNDLE", "VERSION", "REVISION", "ACCEPTED", "SIGNED BY", "DIGEST"},
	}
	for _, v := range list {
		t.rows = append(t.rows, []string{
			v.Name,
			strconv.FormatUint(v.Version, 10),
			strconv.FormatUint(v.Revision, 10),
			time.UnixMilli(v.AcceptedMS).UTC().Format(time.RFC3339),
			strings.Join(v.Signers, ","),
			v.Digest,
		})
	}
	return t
}

// fetchVersion fetches one version of a bundle, including its text.
func (o *options) fetchVersion(cmd *cobra.Command, name, version string) (api.BundleVersion, error) {
	v := api.BundleVersion{}
	c, err := o.client()
	if err != nil {
		return v, err
	}
	return v, withExitCode(c.Get(cmd.Context(), api.AdminBundlesPath+"/"+name+"/"+version, &v))
}

func (o *options) bundleShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show [NAME [VERSION]]",
		Short: "List the active bundles, or print one's text",
		Args:  cobra.MaximumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				return o.showPages(cmd, api.AdminBundlesPath)
			}
			version := "latest"
			if len(args) > 1 {
				version = args[1]
			}
			v, err := o.fetchVersion(cmd, args[0], version)
			if err != nil {
				return err
			}
			return o.show(v, table{
				rows: [][]string{{strings.TrimRight(v.Content, "\n")}},
			})
		},
	}
}

func (o *options) bundleHistory() *cobra.Command {
	return &cobra.Command{
		Use:   "history NAME",
		Short: "List a bundle's versions, and who signed them",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.showPages(cmd, api.AdminBundlesPath+"/"+args[0])
		},
	}
}

func (o *options) showPages(cmd *cobra.Command, path string) error {
	c, err := o.client()
	if err != nil {
		return err
	}
	all := []api.BundleVersion{}
	for next := "0"; next != ""; {
		page := api.BundlePage{}
		if err := c.Get(cmd.Context(), path+"?page="+next, &page); err != nil {
			return withExitCode(err)
		}
		all = append(all, page.Items...)
		next = page.Next
	}
	return o.show(all, versionTable(all))
}

func (o *options) bundleDiff() *cobra.Command {
	return &cobra.Command{
		Use:   "diff NAME FROM TO",
		Short: "Show what changed between two versions; TO may be a file or latest",
		Args:  cobra.ExactArgs(3),
		RunE: func(cmd *cobra.Command, args []string) error {
			from, err := o.fetchVersion(cmd, args[0], args[1])
			if err != nil {
				return err
			}
			to, err := o.diffTarget(cmd, args[0], args[2])
			if err != nil {
				return err
			}
			text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
				A:        difflib.SplitLines(from.Content),
				B:        difflib.SplitLines(to.Content),
				FromFile: args[0] + " " + args[1],
				ToFile:   args[0] + " " + args[2],
				Context:  3,
			})
			if err != nil {
				return errors.Wrap(err, "diff")
			}
			return o.show(text, table{
				rows: [][]string{{text}},
			})
		},
	}
}

func (o *options) diffTarget(cmd *cobra.Command, name, which string) (api.BundleVersion, error) {
	if _, err := os.Stat(which); err != nil {
		return o.fetchVersion(cmd, name, which)
	}
	_, text, err := readBundle(which)
	return api.BundleVersion{
		Content: string(text),
	}, err
}
