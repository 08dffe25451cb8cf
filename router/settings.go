package router

import "strconv"

func (s Settings) num(name string, or float64) float64 {
	if v, ok := s[name].(float64); ok {
		return v
	}
	return or
}

func (s Settings) span(name string, or Time) Time { return Time(s.num(name, float64(or))) }

func (s Settings) is(name string) bool { v, _ := s[name].(bool); return v }

func (s Settings) word(name string) string { v, _ := s[name].(string); return v }

func (r *Router) memory(w *worker) float64 {
	return r.set.num("functions.memory."+strconv.Itoa(int(w.kind)), 0)
}

func (r *Router) frontEnds() float64 { return max(1, r.set.num("front-ends", 1)) }

// ParsedSettings is settings as the module reads them; that needs no turn.
type ParsedSettings struct {
	set     Settings
	methods []*method
	quotas  []float64 // of customers: this front end's parts, per unit of time
}

// ParseSettings reads settings for New or Renew.
func ParseSettings(s Settings) (p ParsedSettings) {
	p.set = s
	for i := range int(s.num("methods", 0)) {
		at := "methods." + strconv.Itoa(i) + "."
		p.methods = append(p.methods, &method{gain: s.num(at+"gain", 1), lateShare: s.num(at+"late-share", 0),
			soft: s.span(at+"soft-deadline", sec), deadline: s.span(at+"deadline", 0),
			effect: s.word(at + "effect"), group: s.word(at + "group"), window: s.span(at+"window", 0),
			work: float64(priorWork)})
	}
	for i := range int(s.num("customers", 0)) {
		quota := s.num("customers."+strconv.Itoa(i)+".quota", 0)
		p.quotas = append(p.quotas, quota/max(1, s.num("front-ends", 1))/float64(sec))
	}
	return p
}
