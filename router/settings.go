package router

import "strconv"

// number returns a numeric setting, or fallback if there is none.
func (s Settings) number(name string, fallback float64) float64 {
	if v, ok := s[name].(float64); ok {
		return v
	}
	return fallback
}

func (s Settings) duration(name string, fallback Time) Time {
	return Time(s.number(name, float64(fallback)))
}

func (s Settings) enabled(name string) bool { v, _ := s[name].(bool); return v }

func (s Settings) text(name string) string { v, _ := s[name].(string); return v }

// workerMemory is the memory in MB that the settings state for workers of this kind.
func (r *Router) workerMemory(w *worker) float64 {
	return r.settings.number("functions.memory."+strconv.Itoa(int(w.kind)), 0)
}

// frontEnds is the number of front ends that share the workers, this one included.
func (r *Router) frontEnds() float64 { return max(1, r.settings.number("front-ends", 1)) }

// ParsedSettings holds settings in the form that the router uses. They can be parsed outside the event loop.
type ParsedSettings struct {
	settings Settings
	methods  []*method
	quotas   []float64 // by customer: this front end's part, in RPCs per unit of Time
}

// ParseSettings prepares settings for UpdateSettings.
func ParseSettings(s Settings) (parsed ParsedSettings) {
	parsed.settings = s
	for i := range int(s.number("methods", 0)) {
		prefix := "methods." + strconv.Itoa(i) + "."
		parsed.methods = append(parsed.methods, &method{gain: s.number(prefix+"gain", 1), lateShare: s.number(prefix+"late-share", 0),
			softDeadline: s.duration(prefix+"soft-deadline", sec), deadline: s.duration(prefix+"deadline", 0),
			effect: s.text(prefix + "effect"), group: s.text(prefix + "group"), window: s.duration(prefix+"window", 0),
			runTime: float64(defaultRunTime)})
	}
	for i := range int(s.number("customers", 0)) {
		quota := s.number("customers."+strconv.Itoa(i)+".quota", 0)
		parsed.quotas = append(parsed.quotas, quota/max(1, s.number("front-ends", 1))/float64(sec))
	}
	return parsed
}
