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

const saltBytes = 16

// diffSalt hashes the keys of both sides of a diff alike; it is drawn once a process, so that a hash shown says nothing
// beyond which keys are the same.
var diffSalt = newSalt()

// KeyHash is a tenant's key under a keyed hash (HMAC-SHA-256), by which a daemon knows a key without keeping it.
type KeyHash [sha256.Size]byte

// MarshalEasyJSON writes a hash in hexadecimal digits.
func (hash KeyHash) MarshalEasyJSON(writer *jwriter.Writer) {
	writer.String(hex.EncodeToString(hash[:]))
}

// UnmarshalEasyJSON reads a hash.
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

func newSalt() []byte {
	salt := make([]byte, saltBytes)
	// Reading from the system's source of randomness never fails: the library ends the process instead.
	_, _ = rand.Read(salt)
	return salt
}

func hashKey(salt []byte, key string) (hash KeyHash) {
	keyed := hmac.New(sha256.New, salt)
	_, _ = keyed.Write([]byte(key)) // Writing to a hash can't fail.
	keyed.Sum(hash[:0])
	return hash
}

func hashes(salt []byte, keys []string) []KeyHash {
	made := make([]KeyHash, 0, len(keys))
	for _, key := range keys {
		made = append(made, hashKey(salt, key))
	}
	return made
}

// Seal gives the spec as daemons get it: each key replaced by its hash under a salt that was drawn for this copy. The
// spec itself stays as it is. One without tenants is given back itself.
func (spec *Spec) Seal() *Spec {
	if len(spec.Tenants) == 0 || len(spec.KeySalt) > 0 {
		return spec
	}
	sealed := *spec
	sealed.KeySalt = newSalt()
	sealed.Tenants = make([]Tenant, len(spec.Tenants))
	for place, tenant := range spec.Tenants {
		tenant.KeyHashes, tenant.Keys = hashes(sealed.KeySalt, tenant.Keys), nil
		sealed.Tenants[place] = tenant
	}
	return &sealed
}

// SealContent gives an encoded spec as daemons get it; one that can't be read is given back as it is.
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

func newKeyring(spec *Spec) keyring {
	sealed := spec.Seal()
	ring := keyring{salt: sealed.KeySalt, owners: map[KeyHash]*Tenant{}}
	for place := range sealed.Tenants {
		for _, hash := range sealed.Tenants[place].KeyHashes {
			ring.owners[hash] = &sealed.Tenants[place]
		}
	}
	return ring
}

// owner gives the tenant of a key, nil where none has it. Keys are looked up by their hashes alone, so the time that it
// takes tells nothing of a key that is near one.
func (ring keyring) owner(key string) *Tenant {
	if key == "" || len(ring.owners) == 0 {
		return nil
	}
	hash := hashKey(ring.salt, key)
	found := ring.owners[hash]
	if found == nil {
		return nil
	}
	for _, own := range found.KeyHashes {
		if subtle.ConstantTimeCompare(own[:], hash[:]) == 1 {
			return found
		}
	}
	return nil
}
