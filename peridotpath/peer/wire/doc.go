// Package wire contains the generated code of the protocol between instances. The protocol
// is defined in peer.proto; run `make generate` after changing it.
package wire
