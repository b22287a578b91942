package membership

import (
	"reflect"
	"testing"

	"wardtray/control/membership/membertest"
	"wardtray/wire"
)

func TestWithout(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ list, id, want string }{
		{"abc", "b", "ac"}, {"abc", "x", "abc"}, {"a", "a", ""}, {"", "a", ""},
	} {
		if got := membertest.IDs(Without(membertest.Members(test.list), test.id)); got != test.want {
			t.Errorf("%s without %s: %s, want %s", test.list, test.id, got, test.want)
		}
	}
}

func TestWithoutIndexCopies(t *testing.T) {
	t.Parallel()
	list := membertest.Members("abc")
	for index, want := range []string{"bc", "ac", "ab"} {
		if got := membertest.IDs(WithoutIndex(list, index)); got != want {
			t.Errorf("index %d: %s, want %s", index, got, want)
		}
	}
	if membertest.IDs(list) != "abc" {
		t.Errorf("the argument was changed to %s", membertest.IDs(list))
	}
}

func TestSameSet(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		left, right string
		want        bool
	}{{"ab", "ba", true}, {"ab", "abc", false}, {"ab", "ac", false}, {"", "", true}} {
		if got := SameSet(membertest.Members(test.left), membertest.Members(test.right)); got != test.want {
			t.Errorf("%s and %s: same set %v", test.left, test.right, got)
		}
	}
}

func TestJoin(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ first, second, third, want string }{
		{"ab", "c", "ab", "abcab"}, {"", "c", "", "c"}, {"", "", "", ""},
	} {
		joined := Join(membertest.Members(test.first), membertest.Members(test.second), membertest.Members(test.third))
		if got := membertest.IDs(joined); got != test.want {
			t.Errorf("%+v: joined list %s", test, got)
		}
	}
}

func TestContains(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		list, id string
		want     bool
	}{{"ab", "a", true}, {"ab", "b", true}, {"ab", "c", false}, {"", "a", false}} {
		list := membertest.Members(test.list)
		if got := Contains(list, test.id); got != test.want {
			t.Errorf("%s in %q: contained %v", test.id, test.list, got)
		}
		if got := IsAcceptor(&wire.View{Acceptors: list}, test.id); got != test.want {
			t.Errorf("%s among the acceptors %q: acceptor %v", test.id, test.list, got)
		}
	}
}

func TestZoneCounts(t *testing.T) {
	t.Parallel()
	if got := ZoneCounts(membertest.Members("aab")); !reflect.DeepEqual(got, map[string]int{"a": 2, "b": 1}) {
		t.Error(got)
	}
}
