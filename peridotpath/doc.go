// Package peridotpath holds the domain types that the programs share.
//
// Each concept has a file of its own: its type, its defaults, and a Validate
// that reports every fault at once, by field. Nothing in this package does
// input or output; the packages below it speak to one peer each.
package peridotpath
