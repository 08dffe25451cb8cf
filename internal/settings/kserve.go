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

// KServe has the settings of a front end towards clients of the Open Inference Protocol.
type KServe struct {
	Pos
	Socket         string  `a:"socket"`
	Address        string  `a:"address"` // HOST:PORT, loopback only
	GRPCSocket     string  `a:"grpc-socket"`
	GRPCAddress    string  `a:"grpc-address"` // HOST:PORT, loopback only
	BodyBytes      int64   `a:"body-bytes" def:"16777216" min:"1024" max:"1073741824"`
	DefaultMethod  string  `a:"method"` // method of models without one; left out: the first side-effecting one
	TimeHeader     string  `a:"time-header" def:"Inference-Timeout-Ms"`
	CustomerHeader string  `a:"customer-header" def:"Inference-Customer"`
	TokenHeader    string  `a:"token-header" def:"Idempotency-Key"`
	TLS            *TLS    `e:"tls"` // for the addresses; Unix sockets need none
	Models         []Model `e:"model" need:"yes"`
}

// TLS has the files of certificates and keys, and the clients that are known by their certificates.
type TLS struct {
	Pos
	Cert           string      `a:"cert" need:"yes"`
	Key            string      `a:"key" need:"yes"`
	ClientCA       string      `a:"client-ca"`
	ReloadInterval router.Time `a:"reload-ms" def:"1000" min:"10" max:"3600000"`
	WarnDays       float64     `a:"warn-days" def:"14" min:"0" max:"3650"`
	Clients        []TLSClient `e:"client"`
}

// TLSClient is a client that is known by the name in its certificate; see certs.Client.
type TLSClient struct {
	Pos
	Name     string `a:"name" need:"yes"`
	Customer string `a:"customer"`
	Methods  string `a:"methods"` // separated by blanks; left out: all
}

// Model is a version of a model that is served.
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

// Tensor describes an input or output in the metadata of a model.
type Tensor struct {
	Pos
	Name     string `a:"name" need:"yes"`
	Datatype string `a:"datatype" need:"yes" words:"BOOL UINT8 UINT16 UINT32 UINT64 INT8 INT16 INT32 INT64 FP16 FP32 FP64 BYTES"`
	Shape    string `a:"shape" need:"yes"` // dimensions, separated by blanks; -1: of any length
}

// Dims returns the dimensions of the shape.
func (t *Tensor) Dims() ([]int64, error) {
	var out []int64
	for word := range strings.FieldsSeq(t.Shape) {
		n, err := strconv.ParseInt(word, 10, 32)
		if err != nil || n < -1 {
			return nil, t.Errorf("shape %q: %q is neither a dimension nor -1", t.Shape, word)
		}
		out = append(out, n)
	}
	return out, nil
}

// MethodIndex returns the index of a model's method in the service: its own method, else the default method, else the
// first side-effecting one, because nothing says that its RPCs may run twice. It returns -1 if there is none.
func (k *KServe) MethodIndex(s *Service, m *Model) int {
	name := cmp.Or(m.Method, k.DefaultMethod)
	for i := range s.Methods {
		if s.Methods[i].Name == name || name == "" && s.Methods[i].Effect == router.SideEffecting && !s.Methods[i].Removed {
			return i
		}
	}
	return -1
}

// FunctionName returns the function that serves the model.
func (m *Model) FunctionName() string { return cmp.Or(m.Function, m.Name+"/"+m.Version) }

func (k *KServe) check(s *Service) error {
	if k.Socket+k.Address+k.GRPCSocket+k.GRPCAddress == "" {
		return k.Errorf("neither a socket nor an address is given")
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
			return k.Errorf("address %q is not a loopback address: plain text must not leave the machine", address)
		}
	}
	if k.TLS != nil {
		if k.Address+k.GRPCAddress == "" {
			return k.TLS.Errorf("tls without an address: Unix sockets do not use it")
		}
		if len(k.TLS.Clients) > 0 && k.TLS.ClientCA == "" {
			return k.TLS.Errorf("clients without client-ca: client certificates would not be verified")
		}
		for _, c := range k.TLS.Clients {
			if c.Customer != "" && !slices.ContainsFunc(s.Customers, func(o Customer) bool { return o.Name == c.Customer }) {
				return c.Errorf("customer %q is not defined in the service", c.Customer)
			}
			for name := range strings.FieldsSeq(c.Methods) {
				if !slices.ContainsFunc(s.Methods, func(m Method) bool { return m.Name == name }) {
					return c.Errorf("method %q is not defined in the service", name)
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
		if k.MethodIndex(s, m) < 0 {
			return m.Errorf("model %q: no method %q in the service, and none that is side-effecting to fall back on",
				m.Name, cmp.Or(m.Method, k.DefaultMethod))
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
