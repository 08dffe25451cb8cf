package batch

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"mallowlanding/router"
)

// Scenarios, each under a line of '== NAME', one step a line (times in ms):
//
//	add KEY ITEM most=N wait=MS soft=MS | drop KEY ITEM | at MS
//	leaves ITEM ...       the batch that the last step let go, or that is due now; '-': none
//	due MS                when the next one leaves; '-': nothing waits
func TestScenarios(t *testing.T) {
	text, err := os.ReadFile("testdata/lines.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, all, _ := strings.Cut("\n"+string(text), "\n== ")
	for part := range strings.SplitSeq(all, "\n== ") {
		name, steps, _ := strings.Cut(part, "\n")
		t.Run(name, func(t *testing.T) {
			l, now, out := New[string, string](), router.Time(0), []string(nil)
			for i, step := range strings.Split(steps, "\n") {
				f := strings.Fields(step)
				if len(f) == 0 {
					continue
				}
				got, want := "", strings.Join(f[1:], " ")
				var ms router.Time
				switch f[0] {
				case "add":
					var most int
					var wait, soft router.Time
					if _, err := fmt.Sscanf(strings.Join(f[3:], " "), "most=%d wait=%d soft=%d", &most, &wait, &soft); err != nil {
						t.Fatalf("line %d, %q: %v", i+2, step, err)
					}
					out = l.Add(now, f[1], f[2], most, wait*10, soft*10)
					continue
				case "drop":
					if !l.Remove(f[1], f[2]) {
						t.Fatalf("line %d, %q: it is not there", i+2, step)
					}
					continue
				case "at":
					if _, err := fmt.Sscan(f[1], &ms); err != nil {
						t.Fatal(err)
					}
					now = ms * 10
					continue
				case "leaves":
					if out == nil {
						_, out = l.PopDue(now)
					}
					if got = strings.Join(out, " "); got == "" {
						got = "-"
					}
					out = nil
				case "due":
					if due, any := l.NextDue(); !any {
						got = "-"
					} else {
						got = fmt.Sprint(due / 10)
					}
				default:
					t.Fatalf("line %d: unknown step %q", i+2, step)
				}
				if got != want {
					t.Fatalf("line %d, %q: %s", i+2, step, got)
				}
			}
		})
	}
}
