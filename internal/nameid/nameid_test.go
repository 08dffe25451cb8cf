package nameid

import (
	"strconv"
	"strings"
	"testing"

	"mallowlanding/router"
)

// TestIDs checks that ids never change: front ends of different builds must agree on them. The values for "" and "a"
// are published test vectors of XXH64.
func TestIDs(t *testing.T) {
	if Function("") != 0xef46db3751d8e999 || Function("a") != 0xd24ec4f1a98c6e5b || Worker("a") != 0xd24ec4f1 {
		t.Errorf("got %x %x %x", Function(""), Function("a"), Worker("a"))
	}
}

// TestCheckDistinct checks the errors for two names with the same id and for a name that occurs twice.
func TestCheckDistinct(t *testing.T) {
	// Search for two worker names with the same id.
	seen := map[router.WorkerID]string{}
	first, second := "", ""
	for i := 0; first == ""; i++ {
		name := "w" + strconv.Itoa(i)
		if other, found := seen[Worker(name)]; found {
			first, second = other, name
		}
		seen[Worker(name)] = name
	}
	err := CheckDistinct([]string{"x", first, second}, Worker)
	if err == nil || !strings.Contains(err.Error(), strconv.Quote(first)) ||
		!strings.Contains(err.Error(), strconv.Quote(second)) {
		t.Errorf("%q and %q have the same id: got error %v", first, second, err)
	}
	if err := CheckDistinct([]string{"x", "y", "x"}, Worker); err == nil || !strings.Contains(err.Error(), `"x" stands twice`) {
		t.Errorf("a name that occurs twice: got error %v", err)
	}
	if err := CheckDistinct([]string{"x", "y", first}, Worker); err != nil {
		t.Error(err)
	}
}
