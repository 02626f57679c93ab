// Package origin tracks at which build of the upstreams' software each stream began. Instances report it to each other, so that a
// caller can take up a stream at any of them.
package origin

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Memory is how long streams are tracked at least. It is longer than callers wait for a stream.
	Memory = 45 * time.Second
	// reports is how often each stream is reported, because messages may be lost.
	reports = 3
	// maxReported limits the streams in one report.
	maxReported = 400
	// maxOwn limits the streams that wait to be reported.
	maxOwn = 1 << 12
	// maxSaved limits the streams in one row of the store.
	maxSaved = 3000
	// unsavedTTL is the time in which the instance that saves streams for all has saved them.
	unsavedTTL = 3 * time.Second
	// hashBytes is the length of a stream's hash in a report.
	hashBytes = 8
)

// Streams are the hashes of streams by the build that began them, hashBytes each.
type Streams map[string][]byte

// ownStream is a stream that began at this instance and is not reported often enough yet.
type ownStream struct {
	hash    uint64
	service string
	build   string
	at      time.Time
	reports int
}

// Tracker holds the builds of recent streams. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// current and previous hold the builds by hash. Each generation lasts for Memory.
	current, previous map[uint64]string
	rotatedAt         time.Time
	// own is sorted by time.
	own []ownStream
	// unsaved are the streams that the store may lack, sorted by time.
	unsaved []unsavedStream
}

// unsavedStream is a stream that the store may lack.
type unsavedStream struct {
	hash  uint64
	build string
	at    time.Time
}

// NewTracker returns a tracker without streams.
func NewTracker() *Tracker { return &Tracker{current: make(map[uint64]string)} }

// Began records that the first event of an attempt's stream came from an upstream of a build.
func (t *Tracker) Began(now time.Time, service, id, build string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	hash := xxhash.Sum64String(id)
	t.current[hash] = build
	t.own = append(t.own, ownStream{hash: hash, service: service, build: build, at: now})
	if len(t.own) > maxOwn {
		t.own = append([]ownStream(nil), t.own[maxOwn/4:]...)
	}
}

// Build returns the build that began the stream of an attempt, or false if it is unknown.
func (t *Tracker) Build(now time.Time, id string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	return t.lookup(xxhash.Sum64String(id))
}

// lookup returns the build of a stream. The caller holds the lock.
func (t *Tracker) lookup(hash uint64) (string, bool) {
	build, ok := t.current[hash]
	if !ok {
		build, ok = t.previous[hash]
	}
	return build, ok
}

// Report returns streams for the other instances, the newest first. It leaves out streams of services that are not mixed: those
// of a single build need no record. They are reported once their service is mixed.
func (t *Tracker) Report(now time.Time, mixed func(service string) bool) Streams {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	t.dropOwn(now)
	known := make(map[string]bool)
	out := make(Streams)
	reported := 0
	for i := len(t.own) - 1; i >= 0 && reported < maxReported; i-- {
		s := &t.own[i]
		isMixed, ok := known[s.service]
		if !ok {
			isMixed = mixed(s.service)
			known[s.service] = isMixed
		}
		if !isMixed {
			continue
		}
		out[s.build] = binary.LittleEndian.AppendUint64(out[s.build], s.hash)
		if s.reports == 0 {
			t.addUnsaved(now, s.hash, s.build)
		}
		s.reports++
		reported++
	}
	return out
}

// dropOwn drops the streams that were reported often enough or are over. The caller holds the lock.
func (t *Tracker) dropOwn(now time.Time) {
	kept := t.own[:0]
	for _, s := range t.own {
		if s.reports < reports && now.Sub(s.at) < Memory {
			kept = append(kept, s)
		}
	}
	t.own = kept
}

// Merge adds what another instance reported.
func (t *Tracker) Merge(now time.Time, streams Streams) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	for build, hashes := range streams {
		for ; len(hashes) >= hashBytes; hashes = hashes[hashBytes:] {
			hash := binary.LittleEndian.Uint64(hashes)
			if _, known := t.lookup(hash); !known {
				t.addUnsaved(now, hash, build)
			}
			t.current[hash] = build
		}
	}
}

// MergeSaved adds what the store has.
func (t *Tracker) MergeSaved(now time.Time, streams Streams) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	for build, hashes := range streams {
		for ; len(hashes) >= hashBytes; hashes = hashes[hashBytes:] {
			t.current[binary.LittleEndian.Uint64(hashes)] = build
		}
	}
}

// addUnsaved adds a stream that the store may lack. The caller holds the lock.
func (t *Tracker) addUnsaved(now time.Time, hash uint64, build string) {
	t.unsaved = append(t.unsaved, unsavedStream{hash: hash, build: build, at: now})
	if len(t.unsaved) > maxOwn {
		t.unsaved = append([]unsavedStream(nil), t.unsaved[maxOwn/4:]...)
	}
}

// Unsaved returns the streams that the store may lack, the oldest first and at most maxSaved, and forgets them.
func (t *Tracker) Unsaved() Streams {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(t.unsaved), maxSaved)
	out := make(Streams)
	for _, s := range t.unsaved[:n] {
		out[s.build] = binary.LittleEndian.AppendUint64(out[s.build], s.hash)
	}
	t.unsaved = append([]unsavedStream(nil), t.unsaved[n:]...)
	return out
}

// DropUnsaved forgets streams that another instance has saved by now.
func (t *Tracker) DropUnsaved(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for n < len(t.unsaved) && now.Sub(t.unsaved[n].at) > unsavedTTL {
		n++
	}
	t.unsaved = append(t.unsaved[:0], t.unsaved[n:]...)
}

// rotate starts a new generation when the current one is over. The caller holds the lock.
func (t *Tracker) rotate(now time.Time) {
	if now.Sub(t.rotatedAt) < Memory {
		return
	}
	t.previous, t.current, t.rotatedAt = t.current, make(map[uint64]string), now
}

// maxMerged limits the streams of a total.
const maxMerged = 2000

// Plus returns the streams of both. It leaves out what exceeds the limit of a total.
func (s Streams) Plus(o Streams) Streams {
	out := make(Streams, len(s)+len(o))
	total := 0
	for _, streams := range []Streams{s, o} {
		for build, hashes := range streams {
			hashes = hashes[:min(len(hashes), (maxMerged-total)*hashBytes)]
			total += len(hashes) / hashBytes
			out[build] = append(out[build], hashes...)
		}
	}
	return out
}
