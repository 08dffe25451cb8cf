package feed

import (
	"time"

	"github.com/rs/zerolog"
)

// logAgain is how often an outage that goes on is logged.
const logAgain = 5 * time.Second

// outage keeps what is logged of a time in which the journal service does not tell.
type outage struct {
	log      zerolog.Logger
	answered time.Time // when the last ask that was answered whole began
	asks     int       // that failed since; 0: there is no outage
	logged   time.Time
}

// failed notes an ask that failed: the first one, and one every few seconds, is logged.
func (o *outage) failed(err error, pos uint64) {
	o.asks++
	if o.asks > 1 && time.Since(o.logged) < logAgain {
		return
	}
	o.logged = time.Now()
	o.log.Warn().Err(err).Uint64("pos", pos).Int("asks", o.asks).Dur("list_age", time.Since(o.answered)).
		Msg("the journal service does not tell")
}

// over notes an ask that was answered; it began at the time given.
func (o *outage) over(began time.Time, pos uint64) {
	if o.asks > 0 {
		o.log.Info().Uint64("pos", pos).Int("asks", o.asks).Dur("list_age", time.Since(o.answered)).
			Msg("the journal service tells again")
	}
	o.answered, o.asks = began, 0
}
