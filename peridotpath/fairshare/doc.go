// Package fairshare divides scarce engine time between the customers of all instances. It matters
// when one customer sends several times what the engines can serve. A Divider records what the
// requests of each customer ask for and use, exchanges that with peers through the load tracker,
// and tells whose requests are refused or yield to those of others. The rules for that are in
// package fairness; this package applies them at one instance. It sends no requests.
package fairshare
