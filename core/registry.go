package core

import (
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"go.uber.org/fx"
)

// Registry holds the plug-ins of one kind by name.
//
// Plug-ins register themselves from an init function, so that importing a
// package is enough to offer what it implements.
type Registry[T any] struct {
	kind    string
	mu      sync.RWMutex
	plugins map[string]T
}

// NewRegistry returns an empty registry; kind names it in errors.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, plugins: make(map[string]T)}
}

// Register adds a plug-in and panics if the name is taken.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.plugins[name]; taken {
		panic("core: two " + r.kind + " plug-ins are named " + name)
	}
	r.plugins[name] = plugin
}

// Lookup returns the plug-in of that name, or an error that lists the known
// names.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.plugins[name]
	if !ok {
		return plugin, errors.Errorf("no %s plug-in %q; known: %s", r.kind, name, strings.Join(r.names(), ", "))
	}
	return plugin, nil
}

// Names returns the registered names in ascending order.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

// All returns the plug-ins in ascending order of their names.
func (r *Registry[T]) All() []T {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]T, 0, len(r.plugins))
	for _, name := range r.names() {
		all = append(all, r.plugins[name])
	}
	return all
}

func (r *Registry[T]) names() []string {
	names := make([]string, 0, len(r.plugins))
	for name := range r.plugins {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Modules holds the parts of an entry node; each package that runs within a
// node registers one, and the node is the sum of them.
var Modules = NewRegistry[fx.Option]("module")
