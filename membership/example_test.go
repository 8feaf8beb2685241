package membership_test

import (
	"fmt"
	"time"

	"tamarackchute/membership"
)

// Two instances of one data centre. The program that embeds a Machine delivers the
// messages and supplies the time; here the second instance stops sending.
func ExampleMachine() {
	now := time.Unix(0, 0)
	peers := []membership.Peer{{Name: "a1", DataCentre: "a"}, {Name: "a2", DataCentre: "a"}}
	nearest := func(string) []string { return []string{"a"} }
	machine := func(i int) *membership.Machine {
		return membership.New(membership.Config{
			Self: peers[i], Peers: peers, Incarnation: 1, Nearest: nearest,
		}, now)
	}
	first, second := machine(0), machine(1)

	for range 4 {
		for _, out := range second.Tick(now) {
			first.ReceiveHeartbeat(out.Message.(membership.Heartbeat), now)
		}
		now = now.Add(membership.DefaultHeartbeatInterval)
	}
	fmt.Println(first.View().Entries("a"))

	now = now.Add(membership.DefaultSuspectAfter)
	first.Tick(now)
	fmt.Println(first.View().State("a2"), first.View().Entries("a"))

	now = now.Add(membership.DefaultGoneAfter)
	first.Tick(now)
	fmt.Println(first.View().State("a2"))
	// Output:
	// [a1 a2]
	// suspected [a1]
	// gone
}
