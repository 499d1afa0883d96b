// Package proctest holds tests that run the programs as separate processes on
// loopback and stop, pause and cut them with real signals and sockets.
package proctest
