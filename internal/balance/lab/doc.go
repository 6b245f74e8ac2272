// Package lab compares the policies of package balance in a queueing simulation with virtual
// time. Only tests use it; run
//
//	go test ./internal/balance/lab -run Table -v -table
//
// to print the tables of docs/design/0003-choice-of-endpoint.md and
// 0004-overload-control.md.
package lab
