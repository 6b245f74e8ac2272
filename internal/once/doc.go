// Package once decides whether an agent may run a request that carries an idempotency key. It
// ensures that no key runs twice, although nothing is stored outside the processes and a
// process that starts has no memory of earlier keys.
//
// Each key has one home among the endpoints of its model or service, chosen by rendezvous
// hashing over the list in force. The home's agent remembers each key for a fixed time after
// the key was issued and refuses keys that are older. While processes hold different lists, an
// agent accepts a key that a new list assigns to it only once all agents that may have been the
// key's home hold the same list (see KeyRegistry).
//
// The package does no I/O: callers pass in the time and carry the messages between agents.
package once
