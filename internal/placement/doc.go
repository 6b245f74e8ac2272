// Package placement lets the agent of an endpoint bring its engine to the state
// that the bundle specifies: models, adapters, a version and a role. Agents
// reach no agreement among themselves. Each sends orders to its own engine
// only, fetches weights in time slots that follow from the bundle, and unloads
// a model only while enough others report that they keep it.
//
// NextStep makes the decision and does no I/O; a Runner queries the engine,
// decides and sends the order.
package placement
