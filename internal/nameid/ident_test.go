package nameid

import (
	"strconv"
	"strings"
	"testing"

	"mallowlanding/router"
)

// Ids are fixed for ever: front ends of different builds must agree. XXH64 of "" and "a" are published vectors.
func TestIDs(t *testing.T) {
	if Function("") != 0xef46db3751d8e999 || Function("a") != 0xd24ec4f1a98c6e5b || Worker("a") != 0xd24ec4f1 {
		t.Errorf("%x %x %x", Function(""), Function("a"), Worker("a"))
	}
}

func TestDistinct(t *testing.T) {
	// two workers' names that meet, found by trying
	seen := map[router.WorkerID]string{}
	one, two := "", ""
	for i := 0; one == ""; i++ {
		name := "w" + strconv.Itoa(i)
		if other, met := seen[Worker(name)]; met {
			one, two = other, name
		}
		seen[Worker(name)] = name
	}
	err := CheckDistinct([]string{"x", one, two}, Worker)
	if err == nil || !strings.Contains(err.Error(), strconv.Quote(one)) || !strings.Contains(err.Error(), strconv.Quote(two)) {
		t.Errorf("%q and %q: %v", one, two, err)
	}
	if err := CheckDistinct([]string{"x", "y", "x"}, Worker); err == nil || !strings.Contains(err.Error(), `"x" stands twice`) {
		t.Errorf("twice: %v", err)
	}
	if err := CheckDistinct([]string{"x", "y", one}, Worker); err != nil {
		t.Error(err)
	}
}
