// Package acaciarun keeps, at an agent, the runs of requests and their answers,
// so that a caller who comes back gets the whole answer without a second run.
//
// Keeping the reply at the server follows the server reply logging of Lomet and
// Weikum, "Efficient Transparent Application Recovery in Client-Server
// Information Systems" (SIGMOD 1998).
//
// Life span: request.
package acaciarun
