// Package blobfetch gets the bytes of a model's version from stores that speak the OCI distribution protocol, and
// returns them only once their digest is proved. A Plan decides, without input or output: which store next, from
// which byte, after which wait, and which store to blame for wrong bytes. A Client carries plans out.
//
// # Blame
//
// Wrong bytes show only when all are there. If one store sent them all, it is to blame. If the fetch was resumed at
// another store, nobody knows which: all bytes are dropped, and from then on each store must send all of them by
// itself. So a store that corrupts rarely, a byte in a thousand fetches, is found by its own fetch, and a good one is
// not avoided because of it.
package blobfetch
