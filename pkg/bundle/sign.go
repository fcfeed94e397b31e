package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"

	"github.com/go-faster/errors"
	"github.com/larchwinch/larchwinch/pkg/rpc"
)

// signContext is signed before a bundle's text, so that a signature can't be taken
// for one of another use of the same key.
const signContext = "larchwinch bundle v1\n"

// Signer is an operator whose signature is accepted for some bundles.
type Signer struct {
	name    string
	key     ed25519.PublicKey
	bundles map[string]bool
}

// AnyBundle as a bundle's name allows a signer to sign every bundle.
const AnyBundle = "*"

// NewSigner returns a signer for the named bundles. key is a base64 public key.
func NewSigner(name, key string, bundles []string) (Signer, error) {
	raw, err := base64.StdEncoding.DecodeString(key)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return Signer{}, errors.Errorf("%q is not an Ed25519 public key in base64", key)
	}
	scope := map[string]bool{}
	for _, b := range bundles {
		scope[b] = true
	}
	return Signer{
		name:    name,
		key:     raw,
		bundles: scope,
	}, nil
}

// Trust decides whether a bundle version has enough valid signatures.
type Trust struct {
	signers  map[string]Signer
	required int
}

// NewTrust returns a Trust that requires the given number of valid signatures.
func NewTrust(signers []Signer, required int) *Trust {
	t := &Trust{
		signers:  map[string]Signer{},
		required: required,
	}
	for _, s := range signers {
		t.signers[s.name] = s
	}
	return t
}

// SignatureError says that a version has too few valid signatures.
type SignatureError struct {
	Bundle   string
	Valid    int
	Required int
}

// Error implements error.
func (e *SignatureError) Error() string {
	return errors.Errorf("bundle %q has %d valid signatures of operators who may sign it, and needs %d", e.Bundle, e.Valid, e.Required).Error()
}

// Verify returns a *SignatureError unless enough signers who may sign v have
// signed it.
func (t *Trust) Verify(v *rpc.BundleVersion) error {
	valid := map[string]bool{}
	for _, sig := range v.GetSignatures() {
		s, ok := t.signers[sig.GetSigner()]
		if !ok || !s.maySign(v.GetName()) {
			continue
		}
		if ed25519.Verify(s.key, signedText(v.GetContent()), sig.GetValue()) {
			valid[s.name] = true
		}
	}
	if len(valid) < t.required {
		return &SignatureError{
			Bundle:   v.GetName(),
			Valid:    len(valid),
			Required: t.required,
		}
	}
	return nil
}

func (s Signer) maySign(name string) bool {
	return s.bundles[AnyBundle] || s.bundles[name]
}

func signedText(content []byte) []byte {
	return append([]byte(signContext), content...)
}

// Sign returns signer's signature over content. key is a base64 private key.
func Sign(signer, key string, content []byte) (*rpc.Signature, error) {
	raw, err := base64.StdEncoding.DecodeString(key)
	if err != nil || len(raw) != ed25519.PrivateKeySize {
		return nil, errors.New("the key is not an Ed25519 private key in base64")
	}
	return &rpc.Signature{
		Signer: signer,
		Value:  ed25519.Sign(raw, signedText(content)),
	}, nil
}

// NewKeyPair returns a new signing key pair, both keys in base64.
func NewKeyPair() (public, private string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", errors.Wrap(err, "generate key")
	}
	return base64.StdEncoding.EncodeToString(pub), base64.StdEncoding.EncodeToString(priv), nil
}
