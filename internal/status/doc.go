// Package status is what an entry exchanges with the system's other processes:
// membership with the other entries, its own status with the controllers that
// lead, and at a start without the log the rules of a peer.
package status
