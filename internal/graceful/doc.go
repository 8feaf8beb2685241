// Package graceful tracks the connections of an HTTP server, so that the server can stop
// without aborting requests.
//
// An HTTP server decides by its own state which connections are idle. A request may have arrived
// that it hasn't read; closing then resets the connection, and the caller doesn't learn
// whether its request ran and may even lose the previous response. This package checks the
// socket for unread bytes while holding the lock for reads, closes only the sending side of
// an idle connection, and keeps reading until the caller closes it too.
package graceful
