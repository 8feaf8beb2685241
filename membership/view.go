package membership

// View is what an instance believes about all instances. It never changes.
type View struct {
	// Version grows with each change of what is believed. It counts on its own
	// in each process.
	Version uint64
	// Members is in order of data centre and name.
	Members []MemberView

	places *places
}

// places says where instances and data centres stand in View.Members, alike in
// every view of a process.
type places struct {
	nearest  func(dataCentre string) []string
	instance map[string]int
	// first and past bound a data centre's members.
	first, past map[string]int
}

// MemberView is one instance in a view.
type MemberView struct {
	Peer
	State State
	// Incarnation is the highest that is known, 0 if none is.
	Incarnation uint64
}

// State returns what is believed about an instance; Gone for an unknown one.
func (v *View) State(name string) State {
	i, ok := v.places.instance[name]
	if !ok {
		return Gone
	}
	return v.Members[i].State
}

// Entries names the instances that a caller in a data centre should use, those
// of the nearest data centre first. They are the live ones; the suspected ones
// if none is live, since an answer without an address helps nobody.
func (v *View) Entries(dataCentre string) []string {
	if live := v.inState(dataCentre, Live); len(live) > 0 {
		return live
	}
	return v.inState(dataCentre, Suspected)
}

func (v *View) inState(dataCentre string, s State) []string {
	var names []string
	for _, dc := range v.places.nearest(dataCentre) {
		for _, m := range v.Members[v.places.first[dc]:v.places.past[dc]] {
			if m.State == s {
				names = append(names, m.Name)
			}
		}
	}
	return names
}

// Leaving names the instances that are leaving.
func (v *View) Leaving() []string {
	var names []string
	for _, m := range v.Members {
		if m.State == Leaving {
			names = append(names, m.Name)
		}
	}
	return names
}
