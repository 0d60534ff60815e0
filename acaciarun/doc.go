// Package acaciarun stores the runs of requests and their answers at an agent, so
// that a caller that reconnects receives the complete answer without a second run.
//
// Retaining the reply at the server follows the server reply logging of Lomet and
// Weikum, "Efficient Transparent Application Recovery in Client-Server
// Information Systems" (SIGMOD 1998).
//
// Its state lives as long as the process, except for a run and its answer: they are
// dropped once Retention or KeyedRetention has passed since the end of the run and no
// reader is left, or earlier if the answers exceed MaxBytes.
package acaciarun
