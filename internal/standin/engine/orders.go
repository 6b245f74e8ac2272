package engine

import (
	"slices"
	"time"
)

// OrderKind is the kind of change that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderUnloadModel OrderKind = "unload_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetVersion  OrderKind = "set_version"
	OrderSetRole     OrderKind = "set_role"
)

// Order changes what the engine serves.
type Order struct {
	Kind   OrderKind `json:"kind"`
	Target string    `json:"target"`
	// Fence is the fencing number. An engine with Config.Fenced refuses an
	// order whose number is below the highest it has seen.
	Fence uint64 `json:"fence"`
}

// OrderRecord is a received order and whether it was accepted.
type OrderRecord struct {
	Order
	At       time.Time `json:"at"`
	Accepted bool      `json:"accepted"`
}

// orderRecordLimit is the number of latest orders that are always kept.
const orderRecordLimit = 10_000

// assets holds the state that orders change.
type assets struct {
	models   []string
	adapters []string
	version  string
	role     string
	fence    uint64
}

func newAssets(cfg Config) assets {
	return assets{models: slices.Clone(cfg.Models)}
}

func (a *assets) serves(model string) bool {
	return slices.Contains(a.models, model) || slices.Contains(a.adapters, model)
}

func (a *assets) apply(o Order) {
	switch o.Kind {
	case OrderLoadModel:
		a.models = addName(a.models, o.Target)
	case OrderUnloadModel:
		a.models = slices.DeleteFunc(a.models, func(m string) bool { return m == o.Target })
	case OrderLoadAdapter:
		a.adapters = addName(a.adapters, o.Target)
	case OrderSetVersion:
		a.version = o.Target
	case OrderSetRole:
		a.role = o.Target
	}
}

func addName(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(names, name)
}

func (o Order) validate() error {
	switch o.Kind {
	case OrderLoadModel, OrderUnloadModel, OrderLoadAdapter, OrderSetVersion, OrderSetRole:
	default:
		return badRequest("unknown kind of order %q", o.Kind)
	}
	if o.Target == "" {
		return badRequest("the order names no target")
	}
	return nil
}

// takesLoadTime reports whether the order takes Config.LoadTime.
func (o Order) takesLoadTime() bool {
	return o.Kind == OrderLoadModel || o.Kind == OrderLoadAdapter
}

// order executes an order after its load time.
func (e *Engine) order(o Order) error {
	if err := o.validate(); err != nil {
		return err
	}
	e.mu.Lock()
	accepted := e.passesFence(o)
	e.recordOrder(o, accepted)
	crashSignal := e.crashSignal
	e.mu.Unlock()
	if !accepted {
		return errFenced
	}
	if o.takesLoadTime() {
		if err := e.waitUnlessCrashed(e.cfg.LoadTime, crashSignal); err != nil {
			return err
		}
	}
	return e.applyOrder(o)
}

// errFenced rejects an order with an outdated fencing number.
var errFenced = conflict("the order's fencing number is old")

// passesFence checks the order's fencing number against the highest one seen
// and updates the latter. Engines without Config.Fenced accept every order.
func (e *Engine) passesFence(o Order) bool {
	if !e.cfg.Fenced {
		return true
	}
	if o.Fence < e.assets.fence {
		return false
	}
	e.assets.fence = o.Fence
	return true
}

func (e *Engine) recordOrder(o Order, accepted bool) {
	e.orders = append(e.orders, OrderRecord{Order: o, At: time.Now(), Accepted: accepted})
	if len(e.orders) > 2*orderRecordLimit {
		e.orders = slices.Clone(e.orders[orderRecordLimit:])
	}
}

// waitUnlessCrashed waits for d. It returns errTruncated if the engine crashes
// first.
func (e *Engine) waitUnlessCrashed(d time.Duration, crashSignal <-chan struct{}) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-crashSignal:
		return errTruncated
	}
}

// applyOrder applies the order unless one with a higher fencing number arrived
// during its load time.
func (e *Engine) applyOrder(o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.passesFence(o) {
		return errFenced
	}
	e.assets.apply(o)
	return nil
}
