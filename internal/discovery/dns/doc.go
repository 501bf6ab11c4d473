// Package dns keeps the endpoint list up to date from a directory, a server that responds to DNS
// queries over UDP. The SRV records of one service are the complete list, and the serial of the
// zone's SOA record is its version.
//
// Parse parses a response, State decides whether it is newer than the list in force, and Watcher
// polls the directory. A datagram can be lost, delayed, truncated, forged or from a replica that
// lags behind. Therefore only a complete response to the query in flight, with a serial that is
// newer than that of the list in force, changes the list.
package dns
