package transport

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// All links are tested at the same moments, so that a process wakes once for them.
func TestLinksAreTestedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		p := &Peers{links: map[string]*link{"a": {test: make(chan struct{}, 1)}, "b": {test: make(chan struct{}, 1)}, "stuck": {test: make(chan struct{}, 1)}}}
		done := make(chan struct{})
		go func() { p.testLinks(ctx); close(done) }()
		moments := make(map[time.Time]int)
		heard := make(chan struct{})
		go func() {
			defer close(heard)
			for {
				select {
				case <-ctx.Done():
					return
				case <-p.links["a"].test:
				case <-p.links["b"].test:
				}
				moments[time.Now()]++
			}
		}()
		const span = 10 * time.Second
		time.Sleep(span + time.Millisecond)
		cancel()
		<-done
		<-heard
		if want := int(span / pingPause); len(moments) != want {
			t.Errorf("woken %d times, not %d", len(moments), want)
		}
		for at, n := range moments {
			if n != 2 {
				t.Errorf("%d of 2 links tested at %v", n, at)
			}
		}
	})
}
