package memlimit

import (
	"sync"
	"testing"
)

// TestAccount checks that reservations stay within the limit, whoever makes them at once, and that the account is empty
// once all are released.
func TestAccount(t *testing.T) {
	const limit, size, goroutines = 1000, 30, 16
	a := NewAccount(limit)
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
			for range 2000 {
				if a.Reserve(size) {
					a.Release(size)
				}
			}
		})
	}
	wg.Wait()
	if u := a.Usage(); u.Used != 0 || u.Peak > limit {
		t.Errorf("usage %+v", u)
	}
}

// TestExhaustedAccountRecovers checks that an account counts as exhausted from a refusal until a quarter is free.
func TestExhaustedAccountRecovers(t *testing.T) {
	a := NewAccount(100)
	if !a.Reserve(90) || a.Reserve(20) {
		t.Fatal("90 of 100 bytes must be granted, 20 more refused")
	}
	if u := a.Usage(); !u.Exhausted || u.Refusals != 1 || u.Used != 90 {
		t.Errorf("usage %+v", u)
	}
	if a.Release(10); !a.Usage().Exhausted {
		t.Error("the account has recovered with 80 bytes used")
	}
	if a.Release(10); a.Usage().Exhausted {
		t.Error("the account has not recovered with 70 bytes used")
	}
	a.SetLimit(60)
	if a.Reserve(1) {
		t.Error("a reservation was granted beyond a lowered limit")
	}
}
