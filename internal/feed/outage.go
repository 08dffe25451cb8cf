package feed

import (
	"time"

	"github.com/rs/zerolog"
)

// logInterval is the time between two log lines about the same outage.
const logInterval = 5 * time.Second

// outage logs when requests to the journal service fail and when they succeed again.
type outage struct {
	log            zerolog.Logger
	lastAnsweredAt time.Time // when the last successful request was sent
	failedRequests int       // failed requests since then; 0: there is no outage
	loggedAt       time.Time
}

// requestFailed records a failed request. It logs the first one of an outage, and then one every logInterval.
func (o *outage) requestFailed(err error, pos uint64) {
	o.failedRequests++
	if o.failedRequests > 1 && time.Since(o.loggedAt) < logInterval {
		return
	}
	o.loggedAt = time.Now()
	o.log.Warn().Err(err).Uint64("pos", pos).Int("asks", o.failedRequests).Dur("list_age", time.Since(o.lastAnsweredAt)).
		Msg("request to the journal service failed")
}

// requestSucceeded records a request that was sent at the time began and has been answered.
func (o *outage) requestSucceeded(began time.Time, pos uint64) {
	if o.failedRequests > 0 {
		o.log.Info().Uint64("pos", pos).Int("asks", o.failedRequests).Dur("list_age", time.Since(o.lastAnsweredAt)).
			Msg("the journal service answers again")
	}
	o.lastAnsweredAt, o.failedRequests = began, 0
}
