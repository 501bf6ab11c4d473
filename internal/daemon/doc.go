// Package daemon is what a long-lived process needs of the system around it: notifications to its supervisor
// (notify.go), a PID file (pid.go), protection against a crash loop (loop.go), and the handover to a successor process:
// its protocol as two state machines without I/O (stage.go), and the link between the processes (link.go). It exists so
// that package controller and the command hold none of this.
//
// # Handover
//
// The old process, which serves, and the new one exchange packets over a Unix socket:
//
//	new                     old
//	Hello             ->
//	                  <-    Sockets           the listeners
//	TakeoverRequest   ->                      (it could serve)
//	                                          the old one pauses: calls wait
//	                  <-    StatePart ...
//	                  <-    StateComplete     its state folder is unlocked
//	StateTaken        ->                      (the folder is locked by the new one)
//	                  <-    Go                from here on the new process serves
//	                  <-    Conn, Answer ...
//	                  <-    Done
//
// Either side aborts by Abort, or by closing the link, before Go: then the old one resumes. At no time do both serve.
// If the old process dies once StateComplete has come, the new one serves alone.
package daemon
