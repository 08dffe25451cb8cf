package httplink

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"mallowlanding/internal/operatorsettings"
	"mallowlanding/router"
)

// responseHeaders are the headers of a response that a link uses. A response is kept without the others, of which a
// worker may send very many.
type responseHeaders struct {
	shed, remark, company, meter, slotsUp string
}

func readHeaders(h http.Header) responseHeaders {
	return responseHeaders{shed: h.Get("X-Shed"), remark: h.Get("X-Remark"), company: h.Get("X-Company"), meter: h.Get("X-Meter"),
		slotsUp: h.Get("X-Slots-Up")}
}

// parseOutcome returns what a response's status and its X-Shed and X-Remark headers mean.
func parseOutcome(res result) (router.Outcome, router.Warmth) {
	didNotRun := res.headers.shed == "1"
	warmth := router.WarmthUnknown
	switch res.headers.remark {
	case "warm":
		warmth = router.AlreadyWarm
	case "cold":
		warmth = router.StartedLoad
	case "joined":
		warmth = router.JoinedLoad
	case "load_failed":
		warmth = router.LoadFailed
	}
	switch {
	case res.status == http.StatusOK:
		return router.OK, warmth
	case res.status == http.StatusNotFound:
		return router.NotLoaded, warmth
	case res.status == http.StatusServiceUnavailable && didNotRun:
		return router.Full, warmth
	case res.status == http.StatusGatewayTimeout && didNotRun:
		return router.NotSent, warmth
	}
	return router.Errored, warmth
}

// parseReport returns the values of a load report in the order of the settings, or nil if one is missing or invalid.
func (s *LinkSet) parseReport(header string) []float64 {
	if header == "" || len(s.options.ReportValues) == 0 {
		return nil
	}
	values, found := make([]float64, len(s.options.ReportValues)), 0
	for field := range strings.SplitSeq(header, ";") {
		name, value, _ := strings.Cut(field, ":")
		v, err := strconv.ParseFloat(value, 64)
		for i, known := range s.options.ReportValues {
			if err == nil && known == operatorsettings.Translate(name) && !math.IsNaN(v) && !math.IsInf(v, 0) {
				values[i] = v
				found++
			}
		}
	}
	if found < len(values) {
		return nil
	}
	return values
}
