// Package group starts goroutines and waits for them. All goroutines in larchwinch
// are started through it.
package group

import (
	"context"
	"sync"
)

// Group is a set of goroutines that share a context, which Stop ends.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a group whose context ends with ctx or with Stop.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{
		ctx:    ctx,
		cancel: cancel,
	}
}

// Context returns the group's context.
func (g *Group) Context() context.Context {
	return g.ctx
}

// Go runs f in a goroutine of the group.
func (g *Group) Go(f func(ctx context.Context)) {
	g.wg.Go(func() {
		f(g.ctx)
	})
}

// Wait waits for all goroutines to end, without ending their context.
func (g *Group) Wait() {
	g.wg.Wait()
}

// Stop ends the group's context and waits for its goroutines.
func (g *Group) Stop() {
	g.cancel()
	g.wg.Wait()
}
