package serve

import (
	"time"

	tallies "github.com/uber-go/tally/v4"

	"github.com/skylarkquay/skylarkquay/internal/route/place"
)

// supersededBuckets are the bucket bounds of the time for which weights had been superseded when a request began on them.
var supersededBuckets = tallies.MustMakeLinearDurationBuckets(time.Second, time.Second, 15)

// supersededFor returns how long ago the first version later than that of a choice was seen, or false if there is none.
func (x *exchange) supersededFor(choice place.Choice) (time.Duration, bool) {
	if choice.Version == 0 {
		return 0, false
	}
	since, superseded := x.Feed.SupersededSince(x.info.Model, choice.Version)
	return x.Boot() - since, superseded
}

// recordStart logs and counts a call that has begun on superseded weights.
func (x *exchange) recordStart(now time.Time, c *call) {
	age, superseded := x.supersededFor(c.choice)
	if !superseded {
		return
	}
	x.Metrics.Histogram("superseded_start_age", supersededBuckets).RecordDuration(age)
	x.Log.Info("route: began on superseded weights", "id", x.info.ID, "upstream", c.choice.ID, "weights", c.choice.Version,
		"newest", x.Feed.Weights(x.info.Model).Version, "superseded_ms", age.Milliseconds(), "limit_ms", x.Settings.SupersededLimit.Milliseconds(),
		"since_sent_ms", now.Sub(c.sentAt).Milliseconds(), "connect_ms", c.resp.ConnectedAt.Sub(c.sentAt).Milliseconds(),
		"expected_ms", (c.choice.Wait + c.choice.Read).Milliseconds(), "sends", x.counts.Sends, "relayed", c.resp.Relayed())
}

// weightsFields returns the fields of a log line about a send to superseded weights.
func (x *exchange) weightsFields(choice place.Choice) []any {
	age, superseded := x.supersededFor(choice)
	if !superseded {
		return nil
	}
	return []any{"weights", choice.Version, "superseded_ms", age.Milliseconds()}
}
