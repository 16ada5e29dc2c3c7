// Package peridotpath holds the domain types that the programs share.
//
// Each concept has a file of its own with its type, its defaults, and a Validate that
// returns all faults at once, by field. The package does no I/O; those of the packages
// below it that do communicate with one kind of peer each.
package peridotpath
