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

// A corpus file's first line is a comment that tells what is wanted:
//
//	<!-- good -->
//	<!-- bad LINE TEXT -->         the reader's error names the line and holds the text; the schema refuses it, too
//	<!-- beyond LINE TEXT -->      as above, but of a kind that a schema can't tell
var wanted = regexp.MustCompile(`^<!-- (good|bad|beyond)(?: (\d+) (.*))? -->`)

func corpus(t *testing.T) map[string][]string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.xml")
	if err != nil || len(files) < 20 {
		t.Fatalf("no corpus: %v, %v", files, err)
	}
	examples, err := filepath.Glob("../../examples/*.xml")
	if err != nil || len(examples) == 0 {
		t.Fatalf("no examples: %v", err)
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
		if out[file] = wanted.FindStringSubmatch(string(text)); out[file] == nil {
			t.Fatalf("%s: no comment that tells what is wanted", file)
		}
	}
	return out
}

func TestReaders(t *testing.T) {
	for file, want := range corpus(t) {
		_, err := Check(file)
		switch {
		case want[1] == "good" && err != nil:
			t.Error(err)
		case want[1] != "good" && (err == nil || !strings.HasPrefix(err.Error(), file+":"+want[2]+":") ||
			!strings.Contains(err.Error(), want[3])):
			t.Errorf("%s: got %v, want line %s: %s", file, err, want[2], want[3])
		}
	}
}

// The schema in the repository is the one that the program prints, and a validator of another make agrees with the
// readers on every file.
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
		t.Skip("no xmllint here: it comes with Debian's libxml2-utils, as .ci/run installs it")
	}
	for name, want := range corpus(t) {
		out, err := exec.Command(xmllint, "--noout", "--nonet", "--schema", file, name).CombinedOutput()
		if (err == nil) != (want[1] != "bad") {
			t.Errorf("%s: wanted %s, the validator says: %s", name, want[1], out)
		}
	}
}

// What is written is read back the same.
func TestWrite(t *testing.T) {
	first, err := ReadScenario("../../examples/bad-day.xml")
	if err != nil {
		t.Fatal(err)
	}
	one, two := filepath.Join(t.TempDir(), "1.xml"), filepath.Join(t.TempDir(), "2.xml")
	if err := Write(one, "scenario", first); err != nil {
		t.Fatal(err)
	}
	second, err := ReadScenario(one)
	if err != nil {
		t.Fatal(err)
	}
	if err := Write(two, "scenario", second); err != nil {
		t.Fatal(err)
	}
	a, _ := os.ReadFile(one)
	b, _ := os.ReadFile(two)
	if !bytes.Equal(a, b) || len(a) < 1000 {
		t.Errorf("first\n%s\nthen\n%s", a, b)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`<front-end name="a"><clients socket="s"/></front-end>`))
	f.Add([]byte(`<scenario name="a" length-ms="1"><service><method name="m" effect="idempotent"/></service></scenario>`))
	f.Fuzz(func(t *testing.T, text []byte) {
		for name, to := range map[string]any{"front-end": &FrontEnd{}, "scenario": &Scenario{}} {
			if err := read("f.xml", bytes.NewReader(text), name, to); err != nil && !strings.HasPrefix(err.Error(), "f.xml:") {
				t.Errorf("an error without its place: %v", err)
			}
		}
	})
}
