package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/skylarkquay/skylarkquay/platform/fake"
)

const (
	leaseEngines = 12
	// loadTime is how long new weights take a runner, as on the sheets.
	loadTime = 570 * time.Millisecond
	// holderFreeze is how long the holder of the lease stands still; days of vbpfans have up to 6.2 s.
	holderFreeze = 3500 * time.Millisecond
	// cutAfter is the time from the end of the freeze until the holder is partitioned from the store, for holderCut; days of vbpfans
	// have up to 6.2 s.
	cutAfter  = 100 * time.Millisecond
	holderCut = 3500 * time.Millisecond
	// nextVersionAfter is the time from the end of the freeze until the next version is named.
	nextVersionAfter = time.Second
	// enginePause is how long one engine falls silent, as sound ones may for a second or so, and goes on.
	enginePause = 650 * time.Millisecond
	// thawSlack is the time after the end of a freeze in which orders don't count.
	thawSlack   = 300 * time.Millisecond
	leaseRounds = 8
	settleTime  = 3 * time.Second
	// leaseTable is the table in which routers keep the lease, as it stands in a call.
	leaseTable = `"duty"`
)

// door is the address at which one router reaches the store.
type door struct {
	store   http.Handler
	address string
	server  *http.Server
	mu      sync.Mutex
	// onLease is called after a write of the lease has been performed and before it is answered; nil for none.
	onLease func()
	// cut is closed when a partition ends; nil if there is none.
	cut chan struct{}
}

func newDoor(store http.Handler) (*door, error) {
	d := &door{store: store}
	var err error
	d.address, d.server, err = listen(d)
	return d, err
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	onLease, cut := d.onLease, d.cut
	d.mu.Unlock()
	if cut != nil {
		<-cut
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.Method == http.MethodPost && bytes.Contains(body, []byte(leaseTable)) && onLease != nil {
		answer := &keptResponse{header: http.Header{}, status: http.StatusOK}
		d.store.ServeHTTP(answer, r)
		onLease()
		answer.send(w)
		return
	}
	d.store.ServeHTTP(w, r)
}

func (d *door) setOnLease(onLease func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onLease = onLease
}

func (d *door) setCut(cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case cut:
		d.cut = make(chan struct{})
	case d.cut != nil:
		close(d.cut)
		d.cut = nil
	}
}

// keptResponse is a response that is sent later.
type keptResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (k *keptResponse) Header() http.Header         { return k.header }
func (k *keptResponse) WriteHeader(status int)      { k.status = status }
func (k *keptResponse) Write(b []byte) (int, error) { return k.body.Write(b) }

func (k *keptResponse) send(w http.ResponseWriter) {
	for name, values := range k.header {
		w.Header()[name] = values
	}
	w.WriteHeader(k.status)
	_, _ = w.Write(k.body.Bytes())
}

// pausable is an engine that can fall silent and go on.
type pausable struct {
	engine http.Handler
	mu     sync.Mutex
	until  time.Time
}

// ServeHTTP implements http.Handler.
func (p *pausable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	until := p.until
	p.mu.Unlock()
	time.Sleep(time.Until(until))
	p.engine.ServeHTTP(w, r)
}

func (p *pausable) pause(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

// leaseSite is the site of playLease.
type leaseSite struct {
	*bench
	site    *fake.Site
	doors   map[*router]*door
	engines []*pausable
	version int64
}

// playLease freezes the holder of the rollout lease while the store's answer to a renewal is on its way, and partitions it from the
// store after it has woken.
func playLease(b *bench) (bool, error) {
	s, err := fake.NewSite(leaseEngines, 1)
	if err != nil {
		return false, err
	}
	defer s.Close()
	s.Store.SetDelay(storeDelay)
	p := &leaseSite{bench: b, site: s, doors: make(map[*router]*door), version: 1}
	for _, u := range s.Engines {
		u.LoadTime = loadTime
		e := &pausable{engine: u.Handler()}
		address, server, err := listen(e)
		if err != nil {
			return false, err
		}
		defer func() { _ = server.Close() }()
		s.RegisterAt(u, address)
		p.engines = append(p.engines, e)
	}
	for i := range 3 {
		d, err := newDoor(s.Store.Handler())
		if err != nil {
			return false, err
		}
		defer func() { _ = d.server.Close() }()
		r, err := b.addRouter(fmt.Sprintf("router-%d", i+1), "a", d.address)
		if err != nil {
			return false, err
		}
		p.doors[r] = d
	}
	if err := b.waitReady(); err != nil {
		return false, err
	}
	turns := 0
	for range leaseRounds {
		n, err := p.round()
		if err != nil {
			return false, err
		}
		turns += n
	}
	return turns > 0, nil
}

// nameVersion names the next version of the weights.
func (p *leaseSite) nameVersion() {
	p.version++
	p.site.PublishWeights(p.version)
	p.notef("version %d of the weights is named", p.version)
}

// holder waits for a write of the lease and returns the router that made it.
func (p *leaseSite) holder() (*router, error) {
	writers := make(chan *router, 1)
	for r, d := range p.doors {
		d.setOnLease(func() {
			select {
			case writers <- r:
			default:
			}
		})
	}
	defer func() {
		for _, d := range p.doors {
			d.setOnLease(nil)
		}
	}()
	select {
	case r := <-writers:
		return r, nil
	case <-time.After(8 * time.Second):
		return nil, fmt.Errorf("no router took the lease")
	}
}

// round plays one freeze and returns the number of turns at engines that came too soon.
func (p *leaseSite) round() (int, error) {
	began := time.Now()
	p.nameVersion()
	holder, err := p.holder()
	if err != nil {
		return 0, err
	}
	p.notef("%s holds the lease", holder.name)
	d := p.doors[holder]
	frozen := make(chan struct{})
	var once sync.Once
	d.setOnLease(func() {
		once.Do(func() {
			if p.trouble {
				p.signal(holder, syscall.SIGSTOP)
			}
			close(frozen)
		})
	})
	select {
	case <-frozen:
	case <-time.After(8 * time.Second):
		return 0, fmt.Errorf("%s did not renew the lease", holder.name)
	}
	d.setOnLease(nil)
	time.Sleep(holderFreeze)
	p.pauseNext()
	if p.trouble {
		p.signal(holder, syscall.SIGCONT)
	}
	thawed := time.Now()
	time.Sleep(cutAfter)
	if p.trouble {
		d.setCut(true)
		p.notef("%s is partitioned from the store", holder.name)
	}
	time.Sleep(time.Until(thawed.Add(nextVersionAfter)))
	p.nameVersion()
	time.Sleep(time.Until(thawed.Add(cutAfter + holderCut)))
	if p.trouble {
		d.setCut(false)
		p.notef("%s reaches the store", holder.name)
	}
	time.Sleep(settleTime)
	return p.judge(began, thawed, holder), nil
}

// pauseNext makes one engine fall silent for a moment: the one that gets the next order, as the first in order of names.
func (p *leaseSite) pauseNext() {
	next := -1
	for i, u := range p.site.Engines {
		if u.Version() < p.version && (next < 0 || u.ID < p.site.Engines[next].ID) {
			next = i
		}
	}
	if next >= 0 {
		p.engines[next].pause(enginePause)
		p.notef("%s falls silent for %s", p.site.Engines[next].ID, enginePause)
	}
}

// judge counts, by engine, the orders that came less than leaseDuration after one of another holder. The orders of the holder right
// after the freeze don't count.
func (p *leaseSite) judge(began, thawed time.Time, frozen *router) int {
	turns := 0
	for _, u := range p.site.Engines {
		orders := slices.DeleteFunc(u.Orders(), func(o fake.Order) bool {
			return p.trouble && o.Holder == frozen.peer && o.At.After(thawed) && o.At.Before(thawed.Add(thawSlack))
		})
		for i, o := range orders {
			if o.At.Before(began) {
				continue
			}
			p.noteAt(o.At, "%s: order of %s, token %d, version %d", u.ID, p.nameOfPeer(o.Holder), o.Token, o.Version)
			if i == 0 || orders[i-1].Holder == o.Holder {
				continue
			}
			if gap := o.At.Sub(orders[i-1].At); gap < leaseDuration {
				turns++
				p.noteAt(o.At, "%s: BROKEN: that is %.3f s after the order of %s, token %d", u.ID, gap.Seconds(), p.nameOfPeer(orders[i-1].Holder), orders[i-1].Token)
			}
		}
	}
	return turns
}

func (b *bench) nameOfPeer(peer string) string {
	for _, r := range b.routers {
		if r.peer == peer {
			return r.name
		}
	}
	return peer
}
