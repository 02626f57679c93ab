package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/sleep"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/platform"
)

const (
	// copyTimeout bounds a question to another instance, which answers from memory.
	copyTimeout = 500 * time.Millisecond
	// listTimeout is the same for the list; 3,000 upstreams take half a second over the thinnest link.
	listTimeout = 2 * time.Second
	// copyMost bounds an answer; the largest row of the store is 64 KiB, a list of hundreds of upstreams longer.
	copyMost = 4 << 20
	// versionHeader carries the store's version of what is copied.
	versionHeader = "Skylarkquay-Row"
)

// listCopy is the list of upstreams as one instance knows it.
type listCopy struct {
	Version int64         `json:"version"`
	Entries []fleet.Entry `json:"entries"`
}

// peers answers other instances, which may be turned away by the store or spare its calls.
func (e *Edge) peers() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/document", e.giveDocument).Methods(http.MethodGet)
	m.HandleFunc("/list", e.giveList).Methods(http.MethodGet)
	return m
}

func (e *Edge) giveDocument(w http.ResponseWriter, _ *http.Request) {
	row := e.document.Load()
	if row == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(versionHeader, strconv.FormatInt(row.Version, 10))
	// An instance that has gone needs no answer.
	_, _ = w.Write(row.Value)
}

func (e *Edge) giveList(w http.ResponseWriter, _ *http.Request) {
	_, version := e.list.age(time.Now())
	if version < 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	// An instance that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(listCopy{Version: version, Entries: e.fleet.Entries()})
}

// copyDocuments takes newer documents from the instances that know them, else from the store.
func (e *Edge) copyDocuments(ctx context.Context) {
	for {
		var from string
		select {
		case <-ctx.Done():
			return
		case from = <-e.newer:
		}
		row, err := e.askDocument(ctx, from)
		if err == nil {
			e.operatorRow(row, false)
			continue
		}
		e.log.Info("config: newer document not copied, asking the store", "from", from, "error", err.Error())
		rows, err := e.get(ctx, platform.OperatorTable)
		if err != nil {
			e.log.Info("config: newer document not read", "error", err.Error())
			// The next round sees the end of the context.
			_ = sleep.For(ctx, retryLeast)
			continue
		}
		for _, row := range rows.Rows {
			e.operatorRow(row, false)
		}
	}
}

func (e *Edge) askDocument(ctx context.Context, from string) (platform.Row, error) {
	body, version, err := e.askPeer(ctx, from, "/document", copyTimeout)
	return platform.DocumentRow(body, version), err
}

// copyList takes the whole list of upstreams from another instance, for one that the store turns away from its start or that
// leaves the reading to its head.
func (e *Edge) copyList(ctx context.Context) error {
	from, ok := e.exchange.Awake()
	if !ok {
		return fmt.Errorf("no other instance is heard")
	}
	body, _, err := e.askPeer(ctx, from, "/list", listTimeout)
	if err != nil {
		return err
	}
	var c listCopy
	if err := json.Unmarshal(body, &c); err != nil {
		return oops.Wrapf(err, "list of %s", from)
	}
	now := time.Now()
	e.fleet.Replace(now, c.Entries)
	e.list.copied(now, c.Version)
	e.log.Info("list: copied", "from", from, "upstreams", len(c.Entries), "row", c.Version)
	return nil
}

func (e *Edge) askPeer(ctx context.Context, from, path string, most time.Duration) ([]byte, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from+path, nil)
	if err != nil {
		return nil, 0, oops.Wrapf(err, "instance %s", from)
	}
	// Copies are rare, so that no connection is kept.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, oops.Wrapf(err, "instance %s", from)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, copyMost))
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
