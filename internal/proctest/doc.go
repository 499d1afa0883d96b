// Package proctest holds tests that run the programs as separate processes on
// loopback, and that kill, pause and disconnect them with real signals and sockets.
package proctest
