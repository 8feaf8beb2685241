// Package status implements an entry's exchange with the system's other processes:
// membership with the other entries, its own status to the leading controllers, and, at a
// start without the log, the rules of a peer.
package status
