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

// diffSalt hashes the keys of both documents of a diff alike. It is drawn once per process, so that a hash that is
// shown says no more than which keys are the same.
var diffSalt = newSalt()

// KeyHash is a tenant's key under a keyed hash (HMAC-SHA-256), by which a daemon recognizes a key without keeping it.
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

// newSalt draws a salt.
func newSalt() []byte {
	salt := make([]byte, saltBytes)
	// Reading from the system's source of randomness never fails: the library ends the process instead.
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

// Seal returns the daemons' copy of a document: each key replaced by its hash under a salt that was drawn for this
// copy. The document itself stays as it is. One without tenants, or sealed before, is returned itself.
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

// SealContent returns the daemons' copy of an encoded document; one that can't be read is returned unchanged.
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

// keyring finds the tenant of a key.
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

// owner returns the tenant of a key, or nil. Keys are looked up by their hashes alone, so that the time it takes
// reveals nothing about a key that is similar to one.
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
