package config

import (
	"bytes"
	"strings"
	"testing"
)

// The keys of these tests. None of them may appear outside the control plane.
const (
	firstKey  = "nu6wsjnbanfqasnmgkcu"
	secondKey = "yj8pjbvk9m68k7b2ex5w"
	otherKey  = "otherotherotherother"
)

func specWithTenants(t *testing.T, tenants string) *Spec {
	t.Helper()
	parsed, err := Parse([]byte(`{"zones":[],"pools":[{"name":"p","services":["s"]}],"lanes":[
{"name":"closed","pool":"p","worth":1,"patience":"1s","purse":1},
{"name":"open","pool":"p","worth":1,"patience":"1s","purse":1,"public":true}],"tenants":` + tenants + `}`))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

const twoTenants = `[{"name":"a","keys":["` + firstKey + `","` + secondKey + `"],
"quota":{"rate":100,"burst":50,"tokens":true,"uncounted_tokens":7}},{"name":"b","keys":["` + otherKey + `"],"rank":2}]`

// A key is attributed to its tenant and authorized, both by the spec itself and by the daemons' copy, which holds only
// hashes. An unknown key is authorized only for public routes.
func TestTenantOfAKey(t *testing.T) {
	spec := specWithTenants(t, twoTenants)
	if problems := spec.Check(); len(problems) > 0 {
		t.Fatal(problems)
	}
	sealed, err := Decode(SealContent(spec.Encode()))
	if err != nil {
		t.Fatal(err)
	}
	for name, catalog := range map[string]*Catalog{"spec": NewCatalog(spec), "sealed": NewCatalog(sealed)} {
		for key, want := range map[string]string{firstKey: "a", secondKey: "a", otherKey: "b", "unknown": "", "": ""} {
			tenant, known := catalog.TenantOf(key, catalog.Routes["closed"])
			if known != (want != "") || known && tenant.Name != want {
				t.Errorf("%s: the key of tenant %q is attributed to %v, authorized %v", name, want, tenant, known)
			}
			if _, known := catalog.TenantOf(key, catalog.Routes["open"]); !known {
				t.Errorf("%s: the key of tenant %q is not authorized for a public route", name, want)
			}
		}
	}
	without := specWithTenants(t, "[]")
	if tenant, known := NewCatalog(without).TenantOf("any", &without.Routes[0]); tenant != nil || !known {
		t.Error("a spec without tenants requires a key")
	}
}

// Neither the daemons' copy of a spec nor a diff contains a key.
func TestKeysStayWithTheControlPlane(t *testing.T) {
	spec := specWithTenants(t, twoTenants)
	shown := append(SealContent(spec.Encode()), strings.Join(Diff(&Spec{}, spec), "\n")...)
	for _, key := range []string{firstKey, secondKey, otherKey} {
		if bytes.Contains(shown, []byte(key)) {
			t.Errorf("a key is contained in %s", shown)
		}
	}
	if spec.Tenants[0].Keys[0] != firstKey || len(spec.KeySalt) > 0 {
		t.Error("sealing a copy changed the spec")
	}
	if bytes.Equal(spec.Seal().KeySalt, spec.Seal().KeySalt) {
		t.Error("two copies have the same salt")
	}
	if plain := []byte(`{"zones":[],"pools":[],"lanes":[]}`); !bytes.Equal(SealContent(plain), plain) {
		t.Error("sealing changed a spec without tenants")
	}
}

func TestProblemsOfTenants(t *testing.T) {
	for tenants, path := range map[string]string{
		`[{"name":"a","keys":["` + firstKey + `"]},{"name":"b","keys":["x","` + firstKey + `"]}]`: "tenants[1].keys[1]",
		`[{"name":"a"},{"name":"a"}]`:                                     "tenants[1].name",
		`[{"name":"a","keys":["with blank"]}]`:                            "tenants[0].keys[0]",
		`[{"name":"a","keys":[""]}]`:                                      "tenants[0].keys[0]",
		`[{"name":"a","quota":{"rate":-1}}]`:                              "tenants[0].quota.rate",
		`[{"name":"a","quota":{"rate":1,"burst":-1}}]`:                    "tenants[0].quota.burst",
		`[{"name":"a","rank":-1}]`:                                        "tenants[0].rank",
		`[{"name":"a","key_hashes":["` + strings.Repeat("0", 64) + `"]}]`: "tenants[0].key_hashes",
	} {
		problems := specWithTenants(t, tenants).Check()
		if len(problems) != 1 || problems[0].Path != path {
			t.Errorf("%s: %v", tenants, problems)
		}
		for _, problem := range problems {
			if strings.Contains(problem.Detail, firstKey) {
				t.Errorf("a problem contains a key: %v", problem)
			}
		}
	}
	if problems := specWithTenants(t, `[{"name":"a","keys":["k","k"]}]`).Check(); len(problems) > 0 {
		t.Errorf("a tenant's own key twice: %v", problems)
	}
	if _, err := Parse([]byte(`{"zones":[],"pools":[],"lanes":[],"tenants":[{"name":"a","key_hashes":["00"]}]}`)); err == nil {
		t.Error("a hash of one byte is accepted")
	}
}

// Tenants are replaced, added and removed by name. A key may move to another tenant within a change, but a change that
// gives a tenant the key of another one has a problem.
func TestChangesOfTenants(t *testing.T) {
	present := specWithTenants(t, twoTenants)
	change, err := ParseChange([]byte(`{"upsert":{"tenants":[{"name":"b","keys":["fresh"]},
{"name":"c","keys":["` + otherKey + `"]}]},"remove":{"tenants":["a"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	next, problems := change.Apply(present)
	if len(problems) > 0 || len(next.Tenants) != 2 || next.Tenants[0].Name != "b" || next.Tenants[1].Name != "c" {
		t.Fatalf("%v %v", problems, next.Tenants)
	}
	catalog := NewCatalog(next)
	if tenant, _ := catalog.TenantOf(otherKey, catalog.Routes["closed"]); tenant == nil || tenant.Name != "c" {
		t.Errorf("the moved key is attributed to %v", tenant)
	}
	if _, known := catalog.TenantOf(firstKey, catalog.Routes["closed"]); known {
		t.Error("a removed tenant's key is still authorized")
	}
	stolen, err := ParseChange([]byte(`{"upsert":{"tenants":[{"name":"c","keys":["` + firstKey + `"]}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	if _, problems := stolen.Apply(present); len(problems) != 1 || problems[0].Path != "upsert.tenants[0].keys[0]" {
		t.Errorf("another tenant's key: %v", problems)
	}
}

func TestQuotaCost(t *testing.T) {
	for name, test := range map[string]struct {
		quota    Quota
		declared bool
		want     float64
	}{
		"tokens":              {Quota{Tokens: true, UncountedTokens: 7}, true, 120},
		"tokens not declared": {Quota{Tokens: true, UncountedTokens: 7}, false, 7},
		"requests":            {Quota{UncountedTokens: 7}, true, 1},
	} {
		if cost := test.quota.Cost(120, test.declared); cost != test.want {
			t.Errorf("%s: %v", name, cost)
		}
	}
}
