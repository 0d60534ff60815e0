// Package acaciaupstream sends requests to endpoints over kept connections, and knows of
// each failure whether the endpoint can have run the request.
//
// It stands on net/http's messages but not on its Transport, which sends some requests
// again by itself and hides what a connection still holds.
//
// Life span: connection.
package acaciaupstream
