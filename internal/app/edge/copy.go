package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
	"github.com/skylarkquay/skylarkquay/internal/base/clock"
	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/front/detour"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// documentCopyTimeout bounds a request for a document to another instance, which responds from memory.
	documentCopyTimeout = 500 * time.Millisecond
	// listCopyTimeout is the same for the list; 3,000 upstreams take half a second over the slowest link.
	listCopyTimeout = 2 * time.Second
	// maxCopyBytes bounds a response; the largest row of the store is 64 KiB, but a list of hundreds of upstreams is longer.
	maxCopyBytes = 4 << 20
	// versionHeader carries the store's version of the copied row.
	versionHeader = "Skylarkquay-Row"
)

// listCopy is the response to a request for the list of upstreams.
type listCopy struct {
	Epoch   int64         `json:"epoch"`
	Version int64         `json:"version"`
	Entries []fleet.Entry `json:"entries"`
	// Age is the time in nanoseconds since the store is known to have had no newer version; zero from earlier builds.
	Age int64 `json:"age,omitempty"`
}

// peerHandler serves the routing document and the list to instances that cannot reach the store or that avoid reading it, and what
// this one knows of streams and crashes. It also connects to upstreams for instances that cannot.
func (e *Edge) peerHandler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/document", e.serveDocument).Methods(http.MethodGet)
	m.HandleFunc("/list", e.serveList).Methods(http.MethodGet)
	m.HandleFunc("/origin", e.serveOrigin).Methods(http.MethodGet)
	m.HandleFunc(crashesPath, e.serveCrashes).Methods(http.MethodGet)
	m.Handle(detour.Path, e.relay).Methods(http.MethodPost)
	return m
}

func (e *Edge) serveDocument(w http.ResponseWriter, _ *http.Request) {
	row := e.documentRow.Load()
	if row == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(versionHeader, strconv.FormatInt(row.Version, 10))
	// The requester may have disconnected.
	_, _ = w.Write(row.Value)
}

func (e *Edge) serveList(w http.ResponseWriter, _ *http.Request) {
	age, version := e.list.age(clock.SinceBoot())
	if version < 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// The requester may have disconnected.
	_ = json.NewEncoder(w).Encode(listCopy{Epoch: e.list.currentEpoch(), Version: version, Entries: e.fleet.Entries(), Age: int64(age)})
}

// copyDocuments fetches newer documents from the instances that have them, or else from the store.
func (e *Edge) copyDocuments(ctx context.Context) {
	for {
		var from string
		select {
		case <-ctx.Done():
			return
		case from = <-e.newerDocument:
		}
		row, err := e.fetchDocument(ctx, from)
		if err == nil {
			e.applyOperatorRow(row, clock.SinceBoot(), false)
			continue
		}
		e.log.Info("config: copy of the newer document failed, reading the store", "from", from, "error", err.Error())
		rows, err := e.readTable(ctx, platform.OperatorTable)
		if err != nil {
			e.log.Info("config: cannot read the newer document from the store", "error", err.Error())
			// The next round checks the context.
			_ = sleep.For(ctx, minRetryDelay)
			continue
		}
		for _, row := range rows.Rows {
			e.applyOperatorRow(row, clock.SinceBoot(), false)
		}
	}
}

func (e *Edge) fetchDocument(ctx context.Context, from string) (platform.Row, error) {
	body, version, err := e.fetchFromPeer(ctx, from, "/document", documentCopyTimeout)
	return platform.DocumentRow(body, version), err
}

// copyList copies the complete list of upstreams from another instance. It is used by an instance of a large site at its
// start, and by one that cannot read the store and has no complete list or has missed changes.
func (e *Edge) copyList(ctx context.Context) error {
	from, ok := e.listSource()
	if !ok {
		return fmt.Errorf("no live instance to copy from")
	}
	requestedAt := clock.SinceBoot()
	body, _, err := e.fetchFromPeer(ctx, from, "/list", listCopyTimeout)
	if err != nil {
		return err
	}
	var c listCopy
	if err := json.Unmarshal(body, &c); err != nil {
		return oops.Wrapf(err, "list of %s", from)
	}
	e.observeEpoch(c.Epoch, from)
	if epoch, _ := e.epochs.get(); c.Epoch < epoch {
		return errOldEpoch
	}
	asOf := requestedAt - time.Duration(max(0, c.Age))
	if epoch, version := e.list.currentEpoch(), e.list.currentVersion(); c.Epoch == epoch && c.Version < version {
		return fmt.Errorf("instance %s has version %d of the list, older than %d", from, c.Version, version)
	}
	c.Entries = slices.DeleteFunc(c.Entries, func(entry fleet.Entry) bool { return !e.isValid(&entry, c.Version) })
	e.fleet.Replace(time.Now(), c.Entries)
	e.list.recordCopy(asOf, c.Epoch, c.Version)
	e.log.Info("list: copied", "from", from, "upstreams", len(c.Entries), "row", c.Version, "age_ms", (clock.SinceBoot() - asOf).Milliseconds())
	return nil
}

// listSourceTTL is how long an instance that reported the list counts as one that reads it.
const listSourceTTL = 2 * time.Second

// listSource returns the instance to copy the list from: the one that reported it last, if that was recently, or else the first live one.
func (e *Edge) listSource() (string, bool) {
	if r, ok := e.recentListReport(clock.SinceBoot()); ok {
		return r.from, true
	}
	return e.exchange.FirstLive()
}

// listReport is a report of the list by another instance.
type listReport struct {
	from string
	at   time.Duration
	// asOf is when the store was read.
	asOf time.Duration
}

// recentListReport returns the latest report of the list, or false if there was none recently.
func (e *Edge) recentListReport(boot time.Duration) (listReport, bool) {
	r := e.lastListReport.Load()
	if r == nil || boot-r.at >= listSourceTTL {
		return listReport{}, false
	}
	return *r, true
}

// missesChanges reports whether others have read the list later than it is known here: their reports are of no use to an instance that has
// missed earlier changes.
func (e *Edge) missesChanges(boot time.Duration) bool {
	r, ok := e.recentListReport(boot)
	age, _ := e.list.age(boot)
	return ok && r.asOf > boot-age
}

// peerClient requests copies from other instances. Copies are rare, so no connection is kept.
var peerClient = &http.Client{Transport: bound.Transport(&http.Transport{
	DisableKeepAlives: true, MaxResponseHeaderBytes: bound.MaxHeaderBytes,
}, maxCopyBytes)}

func (e *Edge) fetchFromPeer(ctx context.Context, from, path string, timeout time.Duration) ([]byte, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+path, nil)
	if err != nil {
		return nil, 0, oops.Wrapf(err, "instance %s", from)
	}
	resp, err := peerClient.Do(req)
	if err != nil {
		return nil, 0, oops.Wrapf(err, "instance %s", from)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, 0, oops.Wrapf(err, "instance %s", from)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("instance %s: status %d", from, resp.StatusCode)
	}
	version := int64(0)
	if text := resp.Header.Get(versionHeader); text != "" {
		if version, err = strconv.ParseInt(text, 10, 64); err != nil {
			return nil, 0, oops.Wrapf(err, "instance %s", from)
		}
	}
	return body, version, nil
}
