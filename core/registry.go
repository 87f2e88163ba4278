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
// Plug-ins register themselves in an init function, so importing their package is
// enough to make them available.
type Registry[T any] struct {
	kind    string
	mu      sync.RWMutex
	plugins map[string]T
}

// NewRegistry returns an empty registry; kind describes its plug-ins in errors.
func NewRegistry[T any](kind string) *Registry[T] {
	return &Registry[T]{kind: kind, plugins: make(map[string]T)}
}

// Register adds a plug-in. It panics if the name is already registered.
func (r *Registry[T]) Register(name string, plugin T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, taken := r.plugins[name]; taken {
		panic("core: duplicate " + r.kind + " plug-in " + name)
	}
	r.plugins[name] = plugin
}

// Lookup returns the plug-in with the given name, or an error that lists the
// registered names.
func (r *Registry[T]) Lookup(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.plugins[name]
	if !ok {
		return plugin, errors.Errorf("unknown %s plug-in %q (registered: %s)", r.kind, name, strings.Join(r.names(), ", "))
	}
	return plugin, nil
}

// Names returns the registered names, sorted.
func (r *Registry[T]) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.names()
}

// All returns the plug-ins sorted by name.
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

// Modules holds the fx modules that make up an entry node. Each package that runs
// in the node registers one.
var Modules = NewRegistry[fx.Option]("module")
