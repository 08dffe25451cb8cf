package router

func (s Settings) num(name string, or float64) float64 {
	if v, ok := s[name].(float64); ok {
		return v
	}
	return or
}

func (s Settings) span(name string, or Time) Time { return Time(s.num(name, float64(or))) }

func (s Settings) is(name string) bool { v, _ := s[name].(bool); return v }

func (s Settings) word(name string) string { v, _ := s[name].(string); return v }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
