// Package acaciaupstream sends requests to endpoints over pooled connections, and reports with
// each error whether the endpoint may have run the request.
//
// It uses the message types of net/http but not its Transport, which retries some requests
// automatically and doesn't show whether a connection still holds unread data.
//
// Its state lives as long as the process in a Pool, as long as the request in a Call and its
// Response, and in between as long as a TCP connection, which may serve many requests.
package acaciaupstream
