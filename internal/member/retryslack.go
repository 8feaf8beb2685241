package member

const (
	// minRetrySharers is the minimum number of daemons among which the slack of retries is divided.
	minRetrySharers = minAssumedDaemons
	// joinHeadroom leaves room in the slack for daemons that others haven't heard of yet.
	joinHeadroom = 1.125
)

// retrySlack returns this daemon's share of the retries allowed in addition to the ratio: none until
// it has heard of the others, since it may be one of many.
func (m *Member) retrySlack() float64 {
	if !m.peers.HasHeard() && !m.daemons.hasRead() {
		return 0
	}
	return retryShare(m.settings.Load().RetrySlack, m.peers.MostKnown())
}

// retryShare returns one daemon's share of a slack. known is the largest number of daemons that it has
// known at a time: one that falls silent may live on behind a cut, with its share.
func retryShare(slack float64, known int) float64 {
	return slack / max(minRetrySharers, joinHeadroom*float64(known))
}
