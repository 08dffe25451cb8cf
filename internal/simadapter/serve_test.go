package simadapter

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"
)

func frame(t *testing.T, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestServe(t *testing.T) {
	const clock = "90bf68f501000000"
	for _, c := range []struct{ name, in, out, err string }{
		{"nothing", "", "", ""},
		{"empty batch", "00000000 00000000" + clock, "00000000 00000000", ""},
		{"unknown instance is ignored", "0c000000 02000000" + clock + "14 0300 0a 4d00000000000000",
			"00000000 00000000", ""},
		{"header truncated", "0000", "", "header is truncated"},
		{"body truncated", "ffffffff 01000000" + clock + "14", "", "truncated after 1 of"},
		{"unknown code", "04000000 02000000" + clock + "14 0300 ff", "", "code 255: unknown code"},
		{"record truncated", "02000000 01000000" + clock + "14 03", "", "record is truncated"},
		{"too few records", "04000000 01000000" + clock + "14 0300 14", "", "1 bytes left over"},
		{"no instance selected", "09000000 01000000" + clock + "0a 4d00000000000000", "", "no instance selected"},
		{"list larger than its frame", "06000000 01000000" + clock + "50 00 ffffffff", "", "record is truncated"},
	} {
		var out bytes.Buffer
		err := Serve(bytes.NewReader(frame(t, c.in)), &out)
		if got := hex.EncodeToString(out.Bytes()); got != strings.ReplaceAll(c.out, " ", "") {
			t.Errorf("%s: replied %s", c.name, got)
		}
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: error %v, want %q", c.name, err, c.err)
		}
	}
}

func FuzzServe(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Fuzz(func(t *testing.T, in []byte) {
		err := Serve(bytes.NewReader(in), io.Discard)
		if err != nil && strings.Contains(err.Error(), "router failed") {
			t.Skip("a panic of the router, reported as BROKEN")
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error of more than one line: %v", err)
		}
	})
}
