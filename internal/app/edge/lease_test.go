package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/skylarkquay/skylarkquay/internal/roll/leader"
	"github.com/skylarkquay/skylarkquay/platform"
)

// delayedStore is a store without rows whose responses to a call are read a while after they were sent, as after a freeze.
type delayedStore struct {
	started time.Time
	call    string
	delay   time.Duration
	// late is by how much the time of renewal in a write was before the store's clock.
	late []time.Duration
}

func (s *delayedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	clock := time.Since(s.started)
	if r.URL.Path == "/rows-tx" {
		var tx struct {
			Puts []struct{ Value []byte }
		}
		var row leader.Row
		if json.NewDecoder(r.Body).Decode(&tx) != nil || len(tx.Puts) != 1 || json.Unmarshal(tx.Puts[0].Value, &row) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.late = append(s.late, clock-time.Duration(row.Renewed)*time.Millisecond)
	}
	if r.URL.Path == s.call {
		time.Sleep(s.delay)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"Rows": []any{}, "RowVersion": 7, "CurrentTimeMs": clock.Milliseconds()})
}

// Guards against a holder that dates its renewal back after a freeze, so that another instance acquires the lease while its orders
// are fresh (ReviewCase2).
func TestRenewalIsNotDatedBackAfterADelay(t *testing.T) {
	for _, call := range []string{"/rows-get", "/rows-tx"} {
		t.Run(call, func(t *testing.T) {
			s := &delayedStore{started: time.Now().Add(-time.Minute), call: call, delay: leader.Margin + 200*time.Millisecond}
			server := httptest.NewServer(s)
			defer server.Close()
			e := &Edge{store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"), func(string) {}, func(int64) {})}
			r := newRollout(e)
			for range 2 {
				wait, err := r.acquire(context.Background(), r.lease)
				must.NoError(t, err)
				must.Zero(t, wait)
			}
			must.SliceLen(t, 2, s.late)
			for _, late := range s.late {
				must.Less(t, leader.Margin, late)
			}
		})
	}
}
