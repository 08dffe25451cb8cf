package batch

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"mallowlanding/router"
)

// TestScenarios runs the scenarios of testdata/scenarios.txt. Each starts with a line '== NAME' and has one step a
// line, with times in ms:
//
//	add KEY ITEM most=N wait=MS soft=MS
//	                      adds an item: maxItems, wait and softLeft of Batcher.Add
//	drop KEY ITEM         removes an item, which must be waiting
//	at MS                 sets the time
//	leaves ITEM ...       the batch that the last add returned, or that is due now; '-': none
//	due MS                when the next batch is due; '-': none is waiting
func TestScenarios(t *testing.T) {
	text, err := os.ReadFile("testdata/scenarios.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, all, _ := strings.Cut("\n"+string(text), "\n== ")
	for part := range strings.SplitSeq(all, "\n== ") {
		name, steps, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) {
			b, now, batch := New[string, string](), router.Time(0), []string(nil)
			for i, step := range strings.Split(steps, "\n") {
				fields := strings.Fields(step)
				if len(fields) == 0 {
					continue
				}
				got, want := "", strings.Join(fields[1:], " ")
				var ms router.Time
				switch fields[0] {
				case "add":
					var maxItems int
					var wait, soft router.Time
					if _, err := fmt.Sscanf(strings.Join(fields[3:], " "), "most=%d wait=%d soft=%d",
						&maxItems, &wait, &soft); err != nil {
						t.Fatalf("line %d, %q: %v", i+2, step, err)
					}
					batch = b.Add(now, fields[1], fields[2], maxItems, wait*10, soft*10)
					continue
				case "drop":
					if !b.Remove(fields[1], fields[2]) {
						t.Fatalf("line %d, %q: the item is not waiting", i+2, step)
					}
					continue
				case "at":
					if _, err := fmt.Sscan(fields[1], &ms); err != nil {
						t.Fatal(err)
					}
					now = ms * 10
					continue
				case "leaves":
					if batch == nil {
						_, batch = b.PopDue(now)
					}
					if got = strings.Join(batch, " "); got == "" {
						got = "-"
					}
					batch = nil
				case "due":
					if due, ok := b.NextDue(); !ok {
						got = "-"
					} else {
						got = fmt.Sprint(due / 10)
					}
				default:
					t.Fatalf("line %d: unknown step %q", i+2, step)
				}
				if got != want {
					t.Fatalf("line %d, %q: got %s", i+2, step, got)
				}
			}
		})
	}
}
