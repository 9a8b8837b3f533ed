package batch

import (
	"net/http"
	"slices"
)

// Order carries out an order and returns the engine's fencing number. A model is
// loaded in the background and appears in the load report when it is ready. An
// engine that checks fencing numbers refuses with status 409 an order whose number
// is lower than the highest one that it has seen.
func (e *Engine) Order(o Order) (uint64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFence && o.Fence < e.fence {
		r := refuse(http.StatusConflict, "order has fence %d, the engine has seen %d", o.Fence, e.fence)
		r.Fence = e.fence
		return 0, r
	}
	var err error
	switch o.Kind {
	case "load":
		e.load(o.Model, o.Version)
	case "unload":
		e.unload(o.Model, o.Version)
	case "adapter":
		err = e.addAdapter(o)
	case "role":
		e.role = o.Role
	default:
		err = refuse(http.StatusBadRequest, "unknown kind of order")
	}
	if err != nil {
		return 0, err
	}
	e.fence = max(e.fence, o.Fence)
	return e.fence, nil
}

// findModel returns the index of a loaded model, or -1. An empty version stands
// for any.
func (e *Engine) findModel(name, version string) int {
	return slices.IndexFunc(e.models, func(m Model) bool {
		return m.Name == name && (version == "" || m.Version == version)
	})
}

// load reads the weights of a model in the background and then adds the model. It
// repeats a failed read until a read succeeds or the model is unloaded.
func (e *Engine) load(name, version string) {
	key := name + "@" + version
	if e.findModel(name, version) >= 0 || e.loading[key] {
		return
	}
	e.loading[key] = true
	e.background.Go(func() {
		for !e.readWeights(key) && sleep(e.ctx, loadRetry) && e.loadWanted(key) {
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.loading[key] && e.ctx.Err() == nil {
			e.models = append(e.models, Model{Name: name, Version: version})
		}
		delete(e.loading, key)
	})
}

// loadWanted reports whether a model that is being loaded has not been unloaded
// meanwhile.
func (e *Engine) loadWanted(key string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loading[key]
}

// readWeights reads the weights of a model and returns false on a failure.
func (e *Engine) readWeights(key string) bool {
	if e.cfg.Control.Wait(e.ctx) != nil {
		return false
	}
	if e.cfg.Weights == nil {
		return sleep(e.ctx, e.scale(e.cfg.LoadTime))
	}
	return e.cfg.Weights(e.ctx, key) == nil
}

// unload removes a model and cancels its loading. An empty version stands for all
// versions. Running streams of the model go on.
func (e *Engine) unload(name, version string) {
	e.models = slices.DeleteFunc(e.models, func(m Model) bool {
		return m.Name == name && (version == "" || m.Version == version)
	})
	for key := range e.loading {
		if key == name+"@"+version || (version == "" && len(key) > len(name) && key[:len(name)+1] == name+"@") {
			e.loading[key] = false
		}
	}
}

func (e *Engine) addAdapter(o Order) error {
	i := e.findModel(o.Model, o.Version)
	if i < 0 {
		return refuse(http.StatusNotFound, "model is not loaded")
	}
	if !slices.Contains(e.models[i].Adapters, o.Adapter) {
		e.models[i].Adapters = append(e.models[i].Adapters, o.Adapter)
	}
	return nil
}
