// Command peridotd is part of peridotpath.
package main

func main() {}
