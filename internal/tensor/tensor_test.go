package tensor

import (
	"encoding/hex"
	"strings"
	"testing"
)

func TestJSON(t *testing.T) {
	for _, c := range []struct {
		datatype string
		shape    []int64
		data     string
		raw, err string // the bytes in hex, or a part of the error
	}{
		{"BOOL", []int64{2}, "[true,false]", "0100", ""},
		{"UINT8", []int64{1}, "[255]", "ff", ""},
		{"UINT8", []int64{1}, "[256]", "", "256 is no UINT8"},
		{"UINT16", []int64{2}, "[1,65535]", "0100ffff", ""},
		{"UINT32", []int64{1}, "[4294967295]", "ffffffff", ""},
		{"UINT64", []int64{1}, "[18446744073709551615]", "ffffffffffffffff", ""},
		{"INT8", []int64{2}, "[-128,127]", "807f", ""},
		{"INT16", []int64{1}, "[-2]", "feff", ""},
		{"INT32", []int64{1}, "[-1]", "ffffffff", ""},
		{"INT64", []int64{1}, "[-9223372036854775808]", "0000000000000080", ""},
		{"INT32", []int64{1}, "[1.5]", "", "1.5 is no INT32"},
		{"FP32", []int64{2, 2}, "[[1,2],[3,4]]", "0000803f000000400000404000008040", ""},
		{"FP64", []int64{1}, "[0.1]", "9a9999999999b93f", ""},
		{"FP32", []int64{1}, "[1e300]", "", "is no FP32"},
		{"FP16", []int64{1}, "[1]", "", "no JSON form"},
		{"BYTES", []int64{2}, `["a","é"]`, "010000006102000000c3a9", ""},
		{"BYTES", []int64{1}, `[1]`, "", "1 is no BYTES"},
		{"FP32", []int64{0}, "[]", "", ""},
		{"FP32", []int64{3, 0}, "[]", "", ""},
		{"FP32", []int64{2}, "[1]", "", "takes 8 bytes, not 4"},
		{"FP32", []int64{-1}, "[1]", "", "negative dimension"},
		{"FP32", []int64{1 << 40, 1 << 40}, "[1]", "", "too large"},
		{"FP8", []int64{1}, "[1]", "", `unknown datatype "FP8"`},
		{"BOOL", []int64{1}, "[1]", "", "1 is no BOOL"},
		{"FP32", []int64{1}, strings.Repeat("[", 100) + "1" + strings.Repeat("]", 100), "", "nests too deep"},
	} {
		x := Tensor{Name: "x", Datatype: c.datatype, Shape: c.shape}
		err := x.ParseJSON([]byte(c.data))
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s %v, ParseJSON(%.40s): error %v, want %q", c.datatype, c.shape, c.data, err, c.err)
		}
		if err != nil {
			continue
		}
		if got := hex.EncodeToString(x.Raw); got != c.raw {
			t.Errorf("%s, ParseJSON(%s): %s, want %s", c.datatype, c.data, got, c.raw)
		}
		out, err := x.AppendJSON(nil)
		if flat := "[" + strings.Trim(strings.ReplaceAll(c.data, "],[", ","), "[]") + "]"; err != nil || string(out) != flat {
			t.Errorf("%s, %s: AppendJSON gives %s, %v", c.datatype, c.data, out, err)
		}
	}
}

func TestValidate(t *testing.T) {
	for _, c := range []struct {
		datatype, raw, err string
	}{
		{"BYTES", "0200000061", "element 0 is cut short"},
		{"BYTES", "ffffffff61", "element 0 is cut short"},
		{"BYTES", "0000000000000000", "has 2 elements, not 1"},
		{"FP16", "003c", ""},
		{"FP32", "0000c07f", ""}, // NaN, which is valid as bytes
	} {
		raw, _ := hex.DecodeString(c.raw)
		x := Tensor{Name: "x", Datatype: c.datatype, Shape: []int64{1}, Raw: raw}
		if err := x.Validate(); (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%+v: Validate: %v", c, err)
		}
	}
	nan := Tensor{Name: "x", Datatype: "FP32", Shape: []int64{1}, Raw: []byte{0, 0, 0xc0, 0x7f}}
	if _, err := nan.AppendJSON(nil); err == nil || !strings.Contains(err.Error(), "NaN has no JSON form") {
		t.Error(err)
	}
}

func FuzzTensor(f *testing.F) {
	f.Add("FP32", []byte("[1,2]"), int64(2))
	f.Add("BYTES", []byte(`["a"]`), int64(1))
	f.Fuzz(func(t *testing.T, datatype string, data []byte, n int64) {
		x := Tensor{Name: "x", Datatype: datatype, Shape: []int64{n}}
		if x.ParseJSON(data) == nil {
			out, err := x.AppendJSON(nil)
			y := x
			if err != nil || y.ParseJSON(out) != nil || string(x.Raw) != string(y.Raw) {
				t.Errorf("%s: %s was converted to bytes and back to %s, %v", datatype, data, out, err)
			}
		}
		x.Raw = data
		if x.Validate() == nil {
			_, _ = x.AppendJSON(nil)
		}
	})
}
