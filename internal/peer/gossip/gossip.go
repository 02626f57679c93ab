// Package gossip exchanges state between instances in UDP datagrams, several times a second: admitted tokens, requests in
// flight, confirmations of the routing document, upstreams that load weights, and requests that crash upstreams. Every
// message holds the full state, so that the next one makes up for a lost one.
package gossip

import (
	"time"

	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/once/fatal"
	"github.com/skylarkquay/skylarkquay/internal/roll/count"
	"github.com/skylarkquay/skylarkquay/internal/roll/shift"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
	"github.com/skylarkquay/skylarkquay/internal/route/origin"
)

// Kind is the set of instances whose state a message holds.
type Kind string

// The kinds of messages.
const (
	// KindOwn messages hold the state of their sender.
	KindOwn Kind = ""
	// KindZone messages hold the state of the sender's availability zone, from one zone's head to another's.
	KindZone Kind = "zone"
	// KindAll messages hold the state of all instances but the receiver, from the head of a zone to its members.
	KindAll Kind = "all"
)

// Message is the state that one instance sends to others.
type Message struct {
	// Address is the sender's UDP address.
	Address string `json:"n"`
	// Zone is the sender's availability zone, Size a measure of its machine's capacity.
	Zone string `json:"z,omitempty"`
	Size int    `json:"b,omitempty"`
	Kind Kind   `json:"t,omitempty"`
	// Covered is the number of instances whose state the message holds, zero for the sender alone.
	Covered int `json:"h,omitempty"`
	// Urgent requests that a head forward the message at once.
	Urgent bool `json:"j,omitempty"`
	// Unpacks reports whether the sender accepts packed messages.
	Unpacks bool `json:"c,omitempty"`
	// Incarnation differs between starts of the sender; it has no order.
	Incarnation int64 `json:"i"`
	// Stamp is the sender's clock at sending, which receivers echo.
	Stamp int64 `json:"s"`
	// Epoch is how often the store was restored from a copy, as far as the sender knows.
	Epoch int64 `json:"g,omitempty"`
	// Revision is that of the routing document in force at the sender.
	Revision int64 `json:"v,omitempty"`
	// Leaving reports whether the sender has stopped admitting requests.
	Leaving bool `json:"q,omitempty"`
	// RolloutLeader is the instance that holds the rollout lease, or empty.
	RolloutLeader string `json:"o,omitempty"`
	// Rates is what the sender admitted against the workspaces' rate limits.
	Rates quota.Report `json:"u"`
	// Loads are the sender's requests in flight, by upstream.
	Loads map[string]fleet.Load `json:"l,omitempty"`
	// Switching are upstreams that are being drained for, or are loading, other weights.
	Switching []string `json:"w,omitempty"`
	// Departures are upstreams that have recently announced that they stop.
	Departures []fleet.Departure `json:"e,omitempty"`
	// Detached are the instances that have no path to any upstream, by address.
	Detached []string `json:"dt,omitempty"`
	// Limits are what responses of upstreams have recently said about the rate at which they take requests.
	Limits []fleet.Limit `json:"r,omitempty"`
	// Loaded are upstreams that have recently loaded a version of a model's weights.
	Loaded []Loaded `json:"d,omitempty"`
	// Following reports whether the sender, or an instance that precedes it, has a request open at the store for changes of
	// the operators' rows.
	Following bool `json:"f,omitempty"`
	// Unserved reports whether the store has just refused a read of the sender, so that others read it for all.
	Unserved bool `json:"us,omitempty"`
	// Announcements are the recently announced versions of weights, and the latest of each model.
	Announcements []Announcement `json:"a,omitempty"`
	// List is set by instances that have recently read the list of upstreams from the store.
	List *ListUpdate `json:"y,omitempty"`
	// KVStores reports whether each KV store answers, by address. It is set by an instance that polls them.
	KVStores map[string]bool `json:"k,omitempty"`
	// Uses are the prompts that engines have recently processed for the sender.
	Uses []holder.Use `json:"p,omitempty"`
	// Streams are the streams that have recently begun in services with upstreams of several builds.
	Streams origin.Streams `json:"st,omitempty"`
	// Crashes counts crashes of upstreams by the fingerprint of the request that they ran.
	Crashes map[string]int `json:"x,omitempty"`
	// Parts is what the sender knows, also from others, of prompt parts that crash upstreams.
	Parts []fatal.PartReport `json:"m,omitempty"`
	// Shifts are the moves of services to other builds that the sender knows of.
	Shifts []Shift `json:"sh,omitempty"`
	// Counts are what was counted of the builds of these services. The counts that a head sends include the receiver's own.
	Counts []count.Report `json:"sc,omitempty"`
}

// Shift is the record of a service's move to another build, without what only the deciding instance needs.
type Shift struct {
	Record shift.Record `json:"r"`
	// Age is the time in nanoseconds since the record was known to be the store's; negative if it never was.
	Age int64 `json:"g"`
}

// Announcement is an announced version of a model's weights.
type Announcement struct {
	Model   string `json:"m"`
	Version int64  `json:"v"`
	// Age is the time in nanoseconds since the version was first seen, or Unannounced if no instance saw the announcement.
	Age int64 `json:"g"`
	// Assumed reports whether the age is an estimate, because neither is known. The estimate is rather too long than too short.
	Assumed bool `json:"z,omitempty"`
	// Unannounced is the time in nanoseconds since the version was last known not to be announced; zero if that is not known.
	Unannounced int64 `json:"u,omitempty"`
}

// ListUpdate is an update of the list of upstreams.
type ListUpdate struct {
	// Epoch is the store's epoch, in which the versions are ordered.
	Epoch int64 `json:"o,omitempty"`
	// Since and Version are the store's versions between which the changes happened.
	Since   int64 `json:"s"`
	Version int64 `json:"v"`
	// Age is the time in nanoseconds since the store was read.
	Age int64 `json:"g"`
	// ReturnedAge is the time in nanoseconds since the store was back from an outage; negative when there was none. In builds without
	// ServedAge it is the time since a read of the sender failed.
	ReturnedAge int64 `json:"w"`
	// ServedAge is the time in nanoseconds since the start of the span, up to Age, in which instances read the store without an outage;
	// zero from earlier builds.
	ServedAge int64 `json:"a,omitempty"`
	// Changes are in order of their versions.
	Changes []ListChange `json:"c,omitempty"`
}

// ListChange is one changed entry.
type ListChange struct {
	Version int64 `json:"v"`
	// ID is the upstream's.
	ID string `json:"i"`
	// Entry is nil when the upstream was removed.
	Entry *fleet.Entry `json:"e,omitempty"`
}

// Loaded is a version of a model's weights that an upstream has loaded.
type Loaded struct {
	Upstream string `json:"r"`
	Model    string `json:"m"`
	Version  int64  `json:"v"`
}

// Source fills in this instance's state. The returned time is when its document was last confirmed.
type Source interface {
	Fill(now time.Duration, m *Message) (confirmed time.Duration, known bool)
}

// Sink receives the messages of others. Both bounds are times on the receiver's clock, and known is false when there are none:
// sentAfter is not later than the state in the message, confirmed not later than the last confirmation of the sender's document.
type Sink interface {
	Receive(now time.Duration, m *Message, sentAfter, confirmed time.Duration, known bool)
}
