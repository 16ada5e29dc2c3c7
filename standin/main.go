// Command standin is part of peridotpath.
package main

func main() {}
