package config

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// saltBytes is the length of a salt.
const saltBytes = 16

// diffSalt is the salt for the keys of both documents of a diff. It is generated once per process, so that a printed
// hash reveals only which keys are equal.
var diffSalt = newSalt()

// KeyHash is a tenant's key under a keyed hash (HMAC-SHA-256), by which a daemon recognizes a key without storing it.
type KeyHash [sha256.Size]byte

// MarshalEasyJSON writes the hash in hexadecimal digits.
func (hash KeyHash) MarshalEasyJSON(writer *jwriter.Writer) {
	writer.String(hex.EncodeToString(hash[:]))
}

// UnmarshalEasyJSON reads the hash from hexadecimal digits.
func (hash *KeyHash) UnmarshalEasyJSON(lexer *jlexer.Lexer) {
	text := lexer.String()
	if !lexer.Ok() {
		return
	}
	content, err := hex.DecodeString(text)
	if err != nil || len(content) != len(hash) {
		lexer.AddError(fmt.Errorf("a key's hash wants %d hexadecimal digits", 2*len(hash)))
		return
	}
	copy(hash[:], content)
}

// newSalt returns a random salt.
func newSalt() []byte {
	salt := make([]byte, saltBytes)
	// rand.Read never returns an error: if the system's source of randomness fails, it ends the process.
	_, _ = rand.Read(salt)
	return salt
}

// hashKey returns a key's hash under a salt.
func hashKey(salt []byte, key string) (hash KeyHash) {
	keyed := hmac.New(sha256.New, salt)
	_, _ = keyed.Write([]byte(key)) // Writing to a hash can't fail.
	keyed.Sum(hash[:0])
	return hash
}

// hashKeys returns the hashes of keys under one salt, in the same order.
func hashKeys(salt []byte, keys []string) []KeyHash {
	hashes := make([]KeyHash, 0, len(keys))
	for _, key := range keys {
		hashes = append(hashes, hashKey(salt, key))
	}
	return hashes
}

// Seal returns the daemons' copy of a document, in which each key is replaced by its hash under a salt generated for
// this copy. The document itself is not changed. A document without tenants, or sealed before, is returned as it is.
func (spec *Spec) Seal() *Spec {
	if len(spec.Tenants) == 0 || len(spec.KeySalt) > 0 {
		return spec
	}
	sealed := *spec
	sealed.KeySalt = newSalt()
	sealed.Tenants = make([]Tenant, len(spec.Tenants))
	for i, tenant := range spec.Tenants {
		tenant.KeyHashes, tenant.Keys = hashKeys(sealed.KeySalt, tenant.Keys), nil
		sealed.Tenants[i] = tenant
	}
	return &sealed
}

// SealContent returns the daemons' copy of an encoded document. A document that can't be read is returned unchanged.
func SealContent(content []byte) []byte {
	if !bytes.Contains(content, []byte(`"tenants":`)) {
		return content
	}
	spec, err := Decode(content)
	if err != nil || len(spec.Tenants) == 0 {
		return content
	}
	return spec.Seal().Encode()
}

// keyring maps keys to tenants by the keys' hashes.
type keyring struct {
	salt   []byte
	owners map[KeyHash]*Tenant
}

// newKeyring indexes the tenants of a document by the hashes of their keys.
func newKeyring(spec *Spec) keyring {
	sealed := spec.Seal()
	ring := keyring{salt: sealed.KeySalt, owners: map[KeyHash]*Tenant{}}
	for i := range sealed.Tenants {
		for _, hash := range sealed.Tenants[i].KeyHashes {
			ring.owners[hash] = &sealed.Tenants[i]
		}
	}
	return ring
}

// owner returns the tenant of a key, or nil. Keys are looked up only by their hashes, so that the duration of a lookup
// does not reveal whether the key is similar to a valid one.
func (ring keyring) owner(key string) *Tenant {
	if key == "" || len(ring.owners) == 0 {
		return nil
	}
	hash := hashKey(ring.salt, key)
	tenant := ring.owners[hash]
	if tenant == nil {
		return nil
	}
	for _, known := range tenant.KeyHashes {
		if subtle.ConstantTimeCompare(known[:], hash[:]) == 1 {
			return tenant
		}
	}
	return nil
}
