// Package dns keeps the list of workers up to date from a directory that answers DNS over UDP: the SRV records of one
// service are the complete list, and the serial of the zone's SOA record is its version.
//
// Parse reads an answer, State says whether it is newer than the list in force, and Watcher polls the directory. A
// datagram can be lost, delayed, truncated, forged or from a replica that lags behind. So only a complete answer to
// the query in flight, with a higher serial than any before, changes the list.
package dns
