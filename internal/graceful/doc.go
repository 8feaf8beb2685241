// Package graceful follows the connections of an HTTP server, so that the server can stop
// without cutting off a request.
//
// A server that closes an idle connection looks at its own state only. A request may have
// arrived that it hasn't read yet; closing then resets the connection, and the caller learns
// neither whether its request ran nor, where the reset overtakes it, the answer before. This
// package asks the kernel under the lock that reads take, closes only the sending side of a
// connection on which nothing has arrived, and reads on until the caller has closed too.
package graceful
