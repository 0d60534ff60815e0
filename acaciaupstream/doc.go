// Package acaciaupstream sends requests to endpoints over pooled connections, and reports with
// each error whether the endpoint may have run the request.
//
// It uses the message types of net/http but not its Transport, which retries some requests
// automatically and doesn't show whether a connection still holds unread data.
//
// Its state lives as long as the connection.
package acaciaupstream
