// Package roster reads the platform's list of live and leaving instances and upstreams; the list is updated with a delay.
package roster

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/skylarkquay/skylarkquay/internal/base/bound"
)

// State is the state of an entry.
type State string

// States of an entry.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Entry is one listed instance or upstream.
type Entry struct {
	// Address is HOST:PORT, the peer address of an instance or the service address of an upstream.
	Address string `json:"address"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	// State is Live or Leaving.
	State State `json:"state"`
}

// Listing is a snapshot of the list.
type Listing struct {
	Instances []Entry `json:"instances"`
	Upstreams []Entry `json:"upstreams"`
}

const (
	callTimeout     = 2 * time.Second
	idleConnTimeout = 90 * time.Second
	maxListingBytes = 4 << 20
)

// Client reads the list over HTTP.
type Client struct {
	baseURL string
	client  *http.Client
}

// NewClient returns a client of the service at the base URL.
func NewClient(baseURL string) *Client {
	return &Client{baseURL: baseURL, client: &http.Client{Timeout: callTimeout, Transport: bound.Transport(&http.Transport{
		IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: bound.MaxHeaderBytes,
	}, maxListingBytes)}}
}

// Fetch reads the list.
func (c *Client) Fetch(ctx context.Context) (Listing, error) {
	var l Listing
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/instances", nil)
	if err != nil {
		return l, oops.Wrapf(err, "instance list")
	}
	res, err := c.client.Do(req)
	if err != nil {
		return l, oops.Wrapf(err, "instance list")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return l, oops.Errorf("instance list: HTTP status %d", res.StatusCode)
	}
	err = json.NewDecoder(res.Body).Decode(&l)
	return l, oops.Wrapf(err, "instance list")
}
