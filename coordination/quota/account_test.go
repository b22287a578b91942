package quota

import (
	"testing"
	"time"
)

func TestDraw(t *testing.T) {
	for _, test := range []struct {
		name                string
		balance, need, want float64
	}{
		{"as much as is needed", 50, 20, 20},
		{"as much as there is", 50, 80, 50},
		{"nothing from a debt", -5, 20, 0},
		{"all of an oversize need", 25, 120, 120},
		{"an oversize need from an empty bucket", 24, 120, 24},
	} {
		account := &account{limit: Limit{Rate: 10, Capacity: 100}, balance: test.balance}
		if got := account.draw(test.need); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// The bucket must be charged for what a silent daemon may have refilled, and credited with what it did not refill.
func TestChargesAreReconciled(t *testing.T) {
	now := time.Unix(1000, 0)
	account := newAccount(now)
	account.limit, account.balance = Limit{Rate: 100, Capacity: 1000}, 500
	account.replace("a", &allocation{rate: 10, exposure: 100, chargedTo: now, expiresAt: now.Add(3 * time.Second)})
	account.charge(now.Add(2*time.Second), account.allocations["a"])
	if account.balance != 480 {
		t.Fatalf("balance %v after two seconds of silence, want 480", account.balance)
	}
	account.reconcile(now.Add(9*time.Second), "a", TenantReport{Filled: 25})
	if account.balance != 475 {
		t.Errorf("balance %v after a report of 25 refilled tokens, want 475", account.balance)
	}
	account.remove("a")
	if account.rate != 0 || account.exposure != 0 {
		t.Errorf("rate %v and exposure %v without any allocation, want 0", account.rate, account.exposure)
	}
}
