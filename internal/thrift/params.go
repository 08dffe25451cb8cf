package thrift

import (
	"errors"
	"fmt"
	"strings"

	"mallowlanding/internal/dispatch"
	"mallowlanding/internal/engine"
	"mallowlanding/router"
)

// parseParams parses and validates all fields of an RPC. Any goroutine may call it.
func (s *Server) parseParams(fields map[string]string, body []byte) (p dispatch.Params, err error) {
	method, methodKnown := s.dispatcher.MethodIndex(fields["method"])
	budget, err := parseNumber(fields["budget"], maxBudgetMs)
	if err != nil {
		return p, fmt.Errorf(`"budget": %w`, err)
	}
	p = dispatch.Params{Method: method, Function: fields["obj"], Customer: fields["acct"], Token: fields["token"],
		ClientRPCID: fields["rid"], TimeoutMS: budget, Blob: body, Repeat: fields["again"] != ""}
	again, isRepeat := fields["again"]
	switch {
	case !methodKnown:
		return p, fmt.Errorf(`no method %.40q`, fields["method"])
	case !isHex(p.ClientRPCID, 16):
		return p, fmt.Errorf(`"rid": %.40q is not 16 hex digits`, p.ClientRPCID)
	case !isHex(p.Function, 16):
		return p, fmt.Errorf(`"obj": %.40q is not 16 hex digits`, p.Function)
	case p.Token != "" && !isVisibleASCII(p.Token, 64):
		return p, errors.New(`"token" has bytes that can't be passed on`)
	case isRepeat && again != "1":
		return p, fmt.Errorf(`"again": %.40q is not 1`, again)
	case len(body) > maxBody:
		return p, fmt.Errorf("a body of %d bytes, %d are taken", len(body), maxBody)
	}
	if p.FunctionSpec, err = s.parseFunctionSpec(fields["facts"]); err != nil {
		return p, fmt.Errorf(`"facts": %w`, err)
	}
	return p, s.dispatcher.Validate(&p)
}

// parseFunctionSpec parses the resources that a copy of the function needs.
func (s *Server) parseFunctionSpec(facts string) (*engine.FunctionSpec, error) {
	spec := &engine.FunctionSpec{}
	for fact := range strings.SplitSeq(facts, ";") {
		name, value, _ := strings.Cut(fact, ":")
		var v float64
		var err error
		switch name {
		case "memory_mb":
			spec.MemoryMB, err = parseNumber(value, s.limits.Load().MaxMemoryMB)
		case "lanes":
			if v, err = parseNumber(value, maxLanes); err == nil && v != float64(int(v)) {
				err = fmt.Errorf("%.24q is not whole", value)
			}
			spec.Lanes = int(v)
		case "load_ms":
			v, err = parseNumber(value, maxBudgetMs)
			spec.LoadTime = router.Time(v * 10)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	if spec.MemoryMB == 0 || spec.Lanes == 0 {
		return nil, errors.New("memory_mb or lanes is missing")
	}
	return spec, nil
}
