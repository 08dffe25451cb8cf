package settings

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// expectationPattern matches the first line of a corpus file, a comment with the expected result:
//
//	<!-- good -->
//	<!-- bad LINE TEXT -->         the reader's error has the line and the text; the schema rejects the file, too
//	<!-- beyond LINE TEXT -->      the same for an error that a schema cannot detect
var expectationPattern = regexp.MustCompile(`^<!-- (good|bad|beyond)(?: (\d+) (.*))? -->`)

func loadCorpus(t *testing.T) map[string][]string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.xml")
	if err != nil || len(files) < 20 {
		t.Fatalf("corpus files missing: got %v, %v", files, err)
	}
	examples, err := filepath.Glob("../../examples/*.xml")
	if err != nil || len(examples) == 0 {
		t.Fatalf("example files missing: %v", err)
	}
	out := map[string][]string{}
	for _, file := range examples {
		out[file] = []string{"", "good", "", ""}
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if out[file] = expectationPattern.FindStringSubmatch(string(text)); out[file] == nil {
			t.Fatalf("%s: no comment with the expected result in the first line", file)
		}
	}
	return out
}

func TestReaders(t *testing.T) {
	for file, expected := range loadCorpus(t) {
		_, err := CheckFile(file)
		switch {
		case expected[1] == "good" && err != nil:
			t.Error(err)
		case expected[1] != "good" && (err == nil || !strings.HasPrefix(err.Error(), file+":"+expected[2]+":") ||
			!strings.Contains(err.Error(), expected[3])):
			t.Errorf("%s: got error %v, want one at line %s: %s", file, err, expected[2], expected[3])
		}
	}
}

// The schema in the repository must be the one that the program prints, and an independent validator must agree with
// the readers on every file.
func TestSchema(t *testing.T) {
	const file = "../../schema/mallowlanding.xsd"
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, Schema()) {
		t.Error("schema/mallowlanding.xsd is not what 'mallowlanding schema' prints")
	}
	xmllint, err := exec.LookPath("xmllint")
	if err != nil {
		t.Skip("xmllint is not installed; it is in Debian's libxml2-utils, which .ci/run installs")
	}
	for name, want := range loadCorpus(t) {
		out, err := exec.Command(xmllint, "--noout", "--nonet", "--schema", file, name).CombinedOutput()
		if (err == nil) != (want[1] != "bad") {
			t.Errorf("%s: want %s, the validator reports: %s", name, want[1], out)
		}
	}
}

// A document that is written and read back must not change.
func TestWrite(t *testing.T) {
	first, err := ReadScenario("../../examples/bad-day.xml")
	if err != nil {
		t.Fatal(err)
	}
	one, two := filepath.Join(t.TempDir(), "1.xml"), filepath.Join(t.TempDir(), "2.xml")
	if err := WriteFile(one, "scenario", first); err != nil {
		t.Fatal(err)
	}
	second, err := ReadScenario(one)
	if err != nil {
		t.Fatal(err)
	}
	if err := WriteFile(two, "scenario", second); err != nil {
		t.Fatal(err)
	}
	a, _ := os.ReadFile(one)
	b, _ := os.ReadFile(two)
	if !bytes.Equal(a, b) || len(a) < 1000 {
		t.Errorf("written first:\n%s\nwritten after reading it back:\n%s", a, b)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`<front-end name="a"><clients socket="s"/></front-end>`))
	f.Add([]byte(`<scenario name="a" length-ms="1"><service><method name="m" effect="idempotent"/></service></scenario>`))
	f.Fuzz(func(t *testing.T, text []byte) {
		for name, to := range map[string]any{"front-end": &FrontEnd{}, "scenario": &Scenario{}} {
			if err := readDocument("f.xml", bytes.NewReader(text), name, to); err != nil && !strings.HasPrefix(err.Error(), "f.xml:") {
				t.Errorf("error without a position: %v", err)
			}
		}
	})
}
