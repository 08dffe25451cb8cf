package settings

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"mallowlanding/router"
)

// KServe is the front end's side towards clients of the Open Inference Protocol.
type KServe struct {
	Pos
	Socket         string  `a:"socket"`
	Address        string  `a:"address"` // loopback, HOST:PORT
	GRPCSocket     string  `a:"grpc-socket"`
	GRPCAddress    string  `a:"grpc-address"` // loopback, HOST:PORT
	BodyBytes      int64   `a:"body-bytes" def:"16777216" min:"1024" max:"1073741824"`
	Method         string  `a:"method"` // of models that name none; left out: the first side-effecting one
	TimeHeader     string  `a:"time-header" def:"Inference-Timeout-Ms"`
	CustomerHeader string  `a:"customer-header" def:"Inference-Customer"`
	TokenHeader    string  `a:"token-header" def:"Idempotency-Key"`
	TLS            *TLS    `e:"tls"` // of the addresses; the sockets are the machine's own
	Models         []Model `e:"model" need:"yes"`
}

// TLS names certificates and keys, and what clients' certificates stand for.
type TLS struct {
	Pos
	Cert     string      `a:"cert" need:"yes"`
	Key      string      `a:"key" need:"yes"`
	ClientCA string      `a:"client-ca"`
	Reload   router.Time `a:"reload-ms" def:"1000" min:"10" max:"3600000"`
	WarnDays float64     `a:"warn-days" def:"14" min:"0" max:"3650"`
	Clients  []TLSClient `e:"client"`
}

// TLSClient is what a certificate's name stands for.
type TLSClient struct {
	Pos
	Name     string `a:"name" need:"yes"`
	Customer string `a:"customer"`
	Methods  string `a:"methods"` // by blanks; left out: all
}

// Model is one version of a model that is served.
type Model struct {
	Pos
	Name     string   `a:"name" need:"yes"`
	Version  string   `a:"version" def:"1"`
	Method   string   `a:"method"`
	Function string   `a:"function"` // left out: NAME/VERSION
	Platform string   `a:"platform" def:"mallowlanding"`
	Inputs   []Tensor `e:"input"`
	Outputs  []Tensor `e:"output"`
}

// Tensor is what the metadata tell of an input or output.
type Tensor struct {
	Pos
	Name     string `a:"name" need:"yes"`
	Datatype string `a:"datatype" need:"yes" words:"BOOL UINT8 UINT16 UINT32 UINT64 INT8 INT16 INT32 INT64 FP16 FP32 FP64 BYTES"`
	Shape    string `a:"shape" need:"yes"` // dimensions by blanks, -1: of any length
}

// Dims are the shape's dimensions.
func (t *Tensor) Dims() ([]int64, error) {
	var out []int64
	for word := range strings.FieldsSeq(t.Shape) {
		n, err := strconv.ParseInt(word, 10, 32)
		if err != nil || n < -1 {
			return nil, t.Errorf("shape %q: %q is no dimension, nor -1", t.Shape, word)
		}
		out = append(out, n)
	}
	return out, nil
}

// MethodOf is the place of a model's method in the service: its own, else the element's, else the first that must
// never run twice, since nobody said that it may. Below 0: there is none.
func (k *KServe) MethodOf(s *Service, m *Model) int {
	name := cmp.Or(m.Method, k.Method)
	for i := range s.Methods {
		if s.Methods[i].Name == name || name == "" && s.Methods[i].Effect == router.SideEffecting && !s.Methods[i].Removed {
			return i
		}
	}
	return -1
}

// FunctionOf is a model's function.
func (m *Model) FunctionOf() string { return cmp.Or(m.Function, m.Name+"/"+m.Version) }

func (k *KServe) check(s *Service) error {
	if k.Socket+k.Address+k.GRPCSocket+k.GRPCAddress == "" {
		return k.Errorf("no socket and no address is named")
	}
	for _, address := range []string{k.Address, k.GRPCAddress} {
		if address == "" {
			continue
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return k.Errorf("address %q: %v", address, err)
		}
		if ip, err := netip.ParseAddr(host); host != "localhost" && (err != nil || !ip.IsLoopback()) {
			return k.Errorf("address %q is not on the loopback: plain text goes no further", address)
		}
	}
	if k.TLS != nil {
		if k.Address+k.GRPCAddress == "" {
			return k.TLS.Errorf("tls without an address: sockets need none")
		}
		if len(k.TLS.Clients) > 0 && k.TLS.ClientCA == "" {
			return k.TLS.Errorf("clients without client-ca: nobody would prove who they are")
		}
		for _, c := range k.TLS.Clients {
			if c.Customer != "" && !slices.ContainsFunc(s.Customers, func(o Customer) bool { return o.Name == c.Customer }) {
				return c.Errorf("customer %q is none of the service's", c.Customer)
			}
			for name := range strings.FieldsSeq(c.Methods) {
				if !slices.ContainsFunc(s.Methods, func(m Method) bool { return m.Name == name }) {
					return c.Errorf("method %q is none of the service's", name)
				}
			}
		}
	}
	seen := map[string]bool{}
	for i := range k.Models {
		m := &k.Models[i]
		if seen[m.Name+"/"+m.Version] {
			return m.Errorf("model %q version %q stands twice", m.Name, m.Version)
		}
		seen[m.Name+"/"+m.Version] = true
		if k.MethodOf(s, m) < 0 {
			return m.Errorf("model %q: no method %q in the service, and none that is side-effecting to fall back on",
				m.Name, cmp.Or(m.Method, k.Method))
		}
		for _, ts := range [][]Tensor{m.Inputs, m.Outputs} {
			for j := range ts {
				if _, err := ts[j].Dims(); err != nil {
					return err
				}
			}
		}
	}
	return nil
}
