package membership

import (
	"reflect"
	"strings"
	"testing"

	"wardtray/wire"
)

// members makes a list whose members have one-letter ids; a member's zone is its id in upper case.
func members(ids string) []*wire.Member {
	list := make([]*wire.Member, 0, len(ids))
	for _, id := range ids {
		list = append(list, &wire.Member{Id: string(id), Zone: string(id - 'a' + 'A')})
	}
	return list
}

func ids(list []*wire.Member) string {
	var joined strings.Builder
	for _, member := range list {
		joined.WriteString(member.Id)
	}
	return joined.String()
}

func TestWithout(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ list, id, want string }{
		{"abc", "b", "ac"}, {"abc", "x", "abc"}, {"a", "a", ""}, {"", "a", ""},
	} {
		if got := ids(Without(members(test.list), test.id)); got != test.want {
			t.Errorf("%s without %s: %s, want %s", test.list, test.id, got, test.want)
		}
	}
}

func TestWithoutIndexCopies(t *testing.T) {
	t.Parallel()
	list := members("abc")
	for index, want := range []string{"bc", "ac", "ab"} {
		if got := ids(WithoutIndex(list, index)); got != want {
			t.Errorf("index %d: %s, want %s", index, got, want)
		}
	}
	if ids(list) != "abc" {
		t.Errorf("the list itself became %s", ids(list))
	}
}

func TestSameSet(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		left, right string
		want        bool
	}{{"ab", "ba", true}, {"ab", "abc", false}, {"ab", "ac", false}, {"", "", true}} {
		if got := SameSet(members(test.left), members(test.right)); got != test.want {
			t.Errorf("%s and %s: %v", test.left, test.right, got)
		}
	}
}

func TestContainsAndJoin(t *testing.T) {
	t.Parallel()
	list := members("ab")
	if got := ids(Join(list, members("c"), list)); got != "abcab" {
		t.Errorf("joined: %s", got)
	}
	if !Contains(list, "b") || Contains(list, "c") || !IsAcceptor(&wire.View{Acceptors: list}, "a") {
		t.Error("contains")
	}
}

func TestZoneCounts(t *testing.T) {
	t.Parallel()
	if got := ZoneCounts(members("aab")); !reflect.DeepEqual(got, map[string]int{"A": 2, "B": 1}) {
		t.Error(got)
	}
}
