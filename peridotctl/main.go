// Command peridotctl is part of peridotpath.
package main

func main() {}
