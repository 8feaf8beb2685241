package membership

// View is an instance's immutable view of the states of all instances.
type View struct {
	// Version grows with each change. Versions of different processes aren't
	// comparable.
	Version uint64
	// Members is ordered by data centre and name.
	Members []MemberView

	index *memberIndex
}

// memberIndex locates instances and data centres in View.Members. All views of a
// process share it.
type memberIndex struct {
	nearest func(dataCentre string) []string
	byName  map[string]int
	// first and end are the bounds of a data centre's members; end is exclusive.
	first, end map[string]int
}

// MemberView is one instance in a view.
type MemberView struct {
	Peer
	State State
	// Incarnation is the highest known incarnation, 0 if none is known.
	Incarnation uint64
}

// State returns the state of an instance, or Gone for an unknown one.
func (v *View) State(name string) State {
	i, ok := v.index.byName[name]
	if !ok {
		return Gone
	}
	return v.Members[i].State
}

// Entries returns the names of the instances that a caller in a data centre should
// use, those of the nearest data centre first. They are the live instances, or the
// suspected ones if none is live, since the caller needs at least one address.
func (v *View) Entries(dataCentre string) []string {
	if live := v.inState(dataCentre, Live); len(live) > 0 {
		return live
	}
	return v.inState(dataCentre, Suspected)
}

func (v *View) inState(dataCentre string, s State) []string {
	var names []string
	for _, dc := range v.index.nearest(dataCentre) {
		for _, m := range v.Members[v.index.first[dc]:v.index.end[dc]] {
			if m.State == s {
				names = append(names, m.Name)
			}
		}
	}
	return names
}

// Leaving returns the names of the instances that are leaving.
func (v *View) Leaving() []string {
	var names []string
	for _, m := range v.Members {
		if m.State == Leaving {
			names = append(names, m.Name)
		}
	}
	return names
}
