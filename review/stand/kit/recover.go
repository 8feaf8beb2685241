package kit

import "net/http"

// recoverS is RecoverS of the settings.
const recoverS = 12.0

// JudgeRecover checks RECOVER: of the requests sent later than RecoverS after the machines are back, less than a
// quarter is served, though a quarter or more was before the final fault. All times are the record's: traffic began
// at began, the final fault was at final, and the machines were back at back. It returns the exit status.
func (s *Site) JudgeRecover(attempts []*Attempt, began, final, back float64) int {
	record := s.Record
	type count struct{ sent, served, refused, other int }
	var before, after count
	seconds := make(map[int]*count)
	last := 0
	for _, a := range attempts {
		n := int(a.SentAt - began)
		if seconds[n] == nil {
			seconds[n] = &count{}
		}
		last = max(last, n)
		counts := []*count{seconds[n]}
		switch {
		case a.SentAt < final:
			counts = append(counts, &before)
		case a.SentAt > back+recoverS:
			counts = append(counts, &after)
		}
		for _, c := range counts {
			c.sent++
			switch a.Status {
			case http.StatusOK:
				c.served++
			case http.StatusServiceUnavailable:
				c.refused++
			default:
				c.other++
			}
		}
	}
	for n := range last + 1 {
		if c := seconds[n]; c != nil {
			record.Printf("second %d of traffic: %d attempts sent, %d served, %d answered 503, %d other", n, c.sent, c.served, c.refused, c.other)
		}
	}
	for _, v := range s.Servers() {
		record.Printf("server %s ran %d requests", v.ID, len(v.Runs()))
	}
	record.Say("before the final fault: %d sent, %d served; from %.1f s after the machines are back: %d sent, %d served", before.sent, before.served, recoverS, after.sent, after.served)
	if before.sent == 0 || after.sent == 0 || before.served*4 < before.sent {
		record.Say("can't be judged")
		return 2
	}
	if after.served*4 < after.sent {
		record.Say("RECOVER is broken")
		return 1
	}
	record.Say("RECOVER holds")
	return 0
}
