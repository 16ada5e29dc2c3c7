// Package wire is the generated code of the protocol between instances. The
// definition is in peer.proto; `make generate` makes the rest anew.
package wire
