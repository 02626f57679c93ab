package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/once/fatal"
)

const (
	// crashesPath is the path of the call by which an instance that starts asks another one for what is known of crashes.
	crashesPath = "/crashes"
	// crashesTimeout bounds the response, which comes from memory.
	crashesTimeout = 500 * time.Millisecond
	// crashesInterval is the pause between attempts, and maxCrashesAsked their number. Instances of earlier builds have no answer, and
	// others may have just started too.
	crashesInterval = 200 * time.Millisecond
	maxCrashesAsked = 3
)

// crashKnowledge is what an instance hands on of crashes, beyond its messages, to one that starts.
type crashKnowledge struct {
	// Sound are the prompt parts that are known from sound requests.
	Sound []fatal.PartReport `json:"sound"`
	// Requests are the counts of crashes by request.
	Requests []fatal.RequestReport `json:"requests"`
}

func (e *Edge) serveCrashes(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	// The requester may have disconnected.
	_ = json.NewEncoder(w).Encode(crashKnowledge{Sound: e.parts.ReportSound(now), Requests: e.crashes.ReportRequests(now, e.settings.Peer)})
}

// copyCrashes copies what another instance knows of crashes, so that it outlasts a rolling restart.
func (e *Edge) copyCrashes(ctx context.Context) {
	for asked := 0; asked < maxCrashesAsked; {
		if sleep.For(ctx, crashesInterval) != nil {
			return
		}
		live := e.exchange.Live(maxCrashesAsked)
		if len(live) == 0 {
			continue
		}
		from := live[asked%len(live)]
		asked++
		known, err := e.copyCrashesFrom(ctx, from)
		if err != nil {
			e.log.Info("crash: copy from another instance failed", "from", from, "error", err.Error())
			continue
		}
		if len(known.Sound)+len(known.Requests) > 0 {
			e.log.Info("crash: copied from another instance", "from", from, "sound", len(known.Sound), "requests", len(known.Requests))
			return
		}
	}
}

func (e *Edge) copyCrashesFrom(ctx context.Context, from string) (crashKnowledge, error) {
	var known crashKnowledge
	// The ages count from the request, so that nothing is taken for later than it was.
	asked := time.Now()
	body, _, err := e.fetchFromPeer(ctx, from, crashesPath, crashesTimeout)
	if err != nil {
		return known, err
	}
	if err := json.Unmarshal(body, &known); err != nil {
		return known, oops.Wrapf(err, "crashes known to %s", from)
	}
	e.parts.LearnSound(asked, known.Sound)
	e.crashes.LearnRequests(asked, e.settings.Peer, known.Requests)
	return known, nil
}
