// Package daemon contains what a long-running process needs from the operating system:
// notifications to its supervisor (notify.go), a PID file (pid.go), crash-loop detection
// (crashloop.go), and the handover to a successor process, as a protocol of two state machines
// without I/O (protocol.go) and the link between the processes (link.go). Package controller and
// the command build on it.
//
// # Handover
//
// The predecessor, which serves, and its successor exchange packets over a Unix socket:
//
//	successor               predecessor
//	Hello             ->                      the version
//	                  <-    Sockets           the version and the listeners
//	TakeoverRequest   ->                      the successor has checked that it can serve
//	                                          the predecessor pauses: new calls wait
//	                  <-    StatePart ...
//	                  <-    StateComplete     the predecessor has unlocked its state folder
//	StateTaken        ->                      the successor has locked the folder and opened all sockets
//	                  <-    Grant             from here on the successor serves
//	                  <-    Conn, Answer ...
//	                  <-    Done
//
// Until Grant is sent, either side can abort, with Abort or by closing the link; the predecessor
// then resumes. The two never serve at the same time. If the predecessor dies after StateComplete
// has arrived, the successor serves alone.
package daemon
