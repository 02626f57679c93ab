// Package pulse lets instances tell each other several times a second, by datagrams, what decisions need: admitted
// tokens, requests on their way, confirmations of the routing document, upstreams that load weights, and requests that
// kill upstreams. Every message says all of it, so that a lost one is made good by the next.
package pulse

import (
	"time"

	"github.com/skylarkquay/skylarkquay/internal/limit/quota"
	"github.com/skylarkquay/skylarkquay/internal/route/fleet"
	"github.com/skylarkquay/skylarkquay/internal/route/holder"
)

// Kind says for whom a message speaks.
type Kind string

// The kinds of messages.
const (
	// Own messages speak for their sender.
	Own Kind = ""
	// Zone messages speak for the sender's availability zone, from the head of one zone to that of another.
	Zone Kind = "zone"
	// All messages speak for all instances but the receiver, from the head of a zone to its members.
	All Kind = "all"
)

// Message is what one instance tells others.
type Message struct {
	// Name is the address at which the sender is reached.
	Name string `json:"n"`
	// Zone is the sender's availability zone, Size a measure of what its machine can bear.
	Zone string `json:"z,omitempty"`
	Size int    `json:"b,omitempty"`
	Kind Kind   `json:"t,omitempty"`
	// Heard is the number of instances for which the message speaks, zero for the sender alone.
	Heard int `json:"h,omitempty"`
	// Urgent asks a head to pass the message on without waiting.
	Urgent bool `json:"j,omitempty"`
	// Incarnation grows with each start of the sender.
	Incarnation int64 `json:"i"`
	// Stamp is the sender's clock at sending, which receivers echo.
	Stamp int64 `json:"s"`
	// Revision of the routing document in force at the sender.
	Revision int64 `json:"v,omitempty"`
	// Leaving says that the sender admits nothing any more.
	Leaving bool `json:"q,omitempty"`
	// Duty names the instance that holds the lease for rollouts, or nobody.
	Duty string `json:"o,omitempty"`
	// Rates is what the sender admitted of the workspaces' rates.
	Rates quota.Report `json:"u"`
	// Loads are the sender's requests on their way, by upstream.
	Loads map[string]fleet.Load `json:"l,omitempty"`
	// Switching are upstreams that are told to load weights.
	Switching []string `json:"w,omitempty"`
	// Loaded are upstreams that were seen to have loaded a version, by model.
	Loaded []Loaded `json:"d,omitempty"`
	// Following says that the sender, or an instance before it in order, has a question for changes of the operators' rows
	// with the store.
	Following bool `json:"f,omitempty"`
	// Announced are versions of weights that were announced lately, and the newest ones.
	Announced []Announced `json:"a,omitempty"`
	// List is set by instances that read the list of upstreams from the store.
	List *ListNews `json:"y,omitempty"`
	// Kept says which stores of kept KV cache answer, by address; it is set by an instance that asks them.
	Kept map[string]bool `json:"k,omitempty"`
	// Uses are prompts that engines have read for the sender a moment ago.
	Uses []holder.Use `json:"p,omitempty"`
	// Crashers count deaths of upstreams by the fingerprint of the request that they ran.
	Crashers map[string]int `json:"x,omitempty"`
}

// Announced is a version of a model's weights with its age.
type Announced struct {
	Model   string `json:"m"`
	Version int64  `json:"v"`
	// Age is in nanoseconds since it was learnt of.
	Age int64 `json:"g"`
	// Assumed tells that nobody saw the announcement and the age is assumed, too long rather than too short.
	Assumed bool `json:"z,omitempty"`
}

// ListNews are changes of the list of upstreams.
type ListNews struct {
	// Since and Version are the store's versions between which the changes happened.
	Since   int64 `json:"s"`
	Version int64 `json:"v"`
	// Age is in nanoseconds since the store was read.
	Age int64 `json:"g"`
	// Away is in nanoseconds since the store was last found unreachable; negative when it never was.
	Away    int64        `json:"w"`
	Changes []ListChange `json:"c,omitempty"`
}

// ListChange is one changed entry.
type ListChange struct {
	Version int64 `json:"v"`
	// ID of the upstream.
	ID string `json:"i"`
	// Entry is nil when the upstream is gone.
	Entry *fleet.Entry `json:"e,omitempty"`
}

// Loaded says that an upstream runs a version of a model's weights.
type Loaded struct {
	Upstream string `json:"r"`
	Model    string `json:"m"`
	Version  int64  `json:"v"`
}

// Source fills in what the instance tells. The returned time is when its document was last confirmed.
type Source interface {
	Tell(now time.Duration, m *Message) (confirmed time.Duration, known bool)
}

// Sink takes what others told. Confirmed is when the sender's document was last confirmed, by the receiver's clock;
// known is false when that cannot be bounded.
type Sink interface {
	Hear(now time.Duration, m *Message, confirmed time.Duration, known bool)
}
