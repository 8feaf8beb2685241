package settings

import (
	"fmt"
	"slices"
)

// checkDataCentres rejects unknown data centres, pairs of data centres without a
// link, and upstreams in a data centre without an instance that could lead them.
func checkDataCentres(d *Deployment, ps *problems) {
	known := newUniqueValues(ps)
	for i, dc := range d.DataCentres {
		known.add(fmt.Sprintf("data_centres[%d].name", i), dc.Name)
	}
	exists := func(key, name string) bool {
		if name == "" {
			return false
		}
		_, ok := known.firstKey[name]
		if !ok {
			ps.add(key, "%q isn't one of data_centres", name)
		}
		return ok
	}
	withInstance := map[string]bool{}
	for i, in := range d.Instances {
		exists(fmt.Sprintf("instances[%d].data_centre", i), in.DataCentre)
		withInstance[in.DataCentre] = true
	}
	for i, u := range d.Upstreams {
		key := fmt.Sprintf("upstreams[%d].data_centre", i)
		if exists(key, u.DataCentre) && !withInstance[u.DataCentre] {
			ps.add(key, "%q has no instance that could lead its upstreams", u.DataCentre)
		}
	}
	checkLinks(d, ps, exists)
}

// checkLinks requires exactly one link between any two data centres; latency is the
// same in both directions.
func checkLinks(d *Deployment, ps *problems, exists func(key, name string) bool) {
	linked := newUniqueValues(ps)
	for i, l := range d.Links {
		from := exists(fmt.Sprintf("links[%d].from", i), l.From)
		to := exists(fmt.Sprintf("links[%d].to", i), l.To)
		key := fmt.Sprintf("links[%d]", i)
		if !from || !to {
			continue
		}
		if l.From == l.To {
			ps.add(key, "leads from %q to itself", l.From)
			continue
		}
		linked.add(key, pairName(l.From, l.To))
	}
	for i, a := range d.DataCentres {
		for _, b := range d.DataCentres[i+1:] {
			if a.Name == "" || b.Name == "" || a.Name == b.Name {
				continue
			}
			if _, ok := linked.firstKey[pairName(a.Name, b.Name)]; !ok {
				ps.add("links", "no link between %q and %q", a.Name, b.Name)
			}
		}
	}
}

func pairName(a, b string) string {
	return min(a, b) + " - " + max(a, b)
}

func checkUpstreams(d *Deployment, ps *problems) {
	pools := map[string]UpstreamKind{}
	for i, u := range d.Upstreams {
		key := fmt.Sprintf("upstreams[%d]", i)
		switch u.Kind {
		case KindEngine:
			checkEngine(u, key, ps)
		case KindService:
			checkService(u, key, ps)
		}
		kind, ok := pools[u.Pool]
		if ok && kind != u.Kind {
			ps.add(key+".pool", "pool %q already holds upstreams of kind %s", u.Pool, kind)
		}
		if !ok {
			pools[u.Pool] = u.Kind
		}
	}
}

func checkEngine(u Upstream, key string, ps *problems) {
	if len(u.Models) == 0 {
		ps.add(key+".models", "an engine needs one model at least")
	}
	if u.Fencing == "" {
		ps.add(key+".fencing", "an engine needs it: checked or none")
	}
	if u.Role == "" {
		ps.add(key+".role", "an engine needs it: prefill, decode or mixed")
	}
	models := newUniqueValues(ps)
	for i, m := range u.Models {
		mkey := fmt.Sprintf("%s.models[%d]", key, i)
		if m == "" {
			ps.add(mkey, "is empty")
		}
		models.add(mkey, m)
	}
}

func checkService(u Upstream, key string, ps *problems) {
	if len(u.Models) > 0 {
		ps.add(key+".models", "a service has no models")
	}
	if u.Fencing != "" {
		ps.add(key+".fencing", "a service takes no orders, so it has no fencing")
	}
	if u.Role != "" {
		ps.add(key+".role", "a service has no role")
	}
}

// checkModels rejects a model that a pool couldn't serve in the initial roles: each
// model needs a mixed engine, or both a prefill and a decode engine.
func checkModels(d *Deployment, ps *problems) {
	type poolModel struct{ pool, model string }
	roles := map[poolModel][]string{}
	first := map[poolModel]string{}
	var order []poolModel
	for i, u := range d.Upstreams {
		for j, m := range u.Models {
			pm := poolModel{u.Pool, m}
			if _, ok := first[pm]; !ok {
				first[pm] = fmt.Sprintf("upstreams[%d].models[%d]", i, j)
				order = append(order, pm)
			}
			roles[pm] = append(roles[pm], u.Role)
		}
	}
	for _, pm := range order {
		rs := roles[pm]
		if slices.Contains(rs, "mixed") || slices.Contains(rs, "") {
			continue
		}
		for _, need := range []string{"prefill", "decode"} {
			if !slices.Contains(rs, need) {
				ps.add(first[pm], "no engine of pool %q has the role %s or mixed for model %q",
					pm.pool, need, pm.model)
			}
		}
	}
}

// checkLimits rejects durations and memory limits that contradict each other.
func checkLimits(d *Deployment, ps *problems) {
	l, p, r := d.Lease, d.Protected, d.Roles
	// The holder must be able to try a renewal twice within the term, less drift.
	if usable := l.TermSeconds * (1 - l.DriftFraction); l.RenewSeconds >= usable/2 {
		ps.add("lease.renew_s", "%v must be below half of the lease's usable term, %.3g", l.RenewSeconds, usable/2)
	}
	if minRetention := 4 * l.TermSeconds; d.Platform.RetentionSeconds < minRetention {
		ps.add("platform.retention_s", "%v is below four lease terms, %v: leases would expire from the log",
			d.Platform.RetentionSeconds, minRetention)
	}
	if p.KeyTTLSeconds > d.Platform.RetentionSeconds {
		ps.add("protected.remember_s", "%v is beyond platform.retention_s, %v: the log forgets keys earlier",
			p.KeyTTLSeconds, d.Platform.RetentionSeconds)
	}
	if p.LingerMillis >= p.ClaimTimeoutMillis {
		ps.add("protected.commit_ms", "%v must be below protected.claim_timeout_ms, %v", p.LingerMillis, p.ClaimTimeoutMillis)
	}
	if claim := p.ClaimTimeoutMillis / 1000; d.Discovery.GraceSeconds < claim {
		ps.add("discovery.grace_s", "%v is below protected.claim_timeout_ms, %v s: a stop would cut off a protected call",
			d.Discovery.GraceSeconds, claim)
	}
	if s := d.Streams; int64(s.MaxBufferedBytes) > s.MaxTotalBufferedBytes {
		ps.add("streams.kept_bytes", "%v is above streams.kept_bytes_in_all, %v", s.MaxBufferedBytes, s.MaxTotalBufferedBytes)
	}
	if r.Policy != "fixed" && r.DwellSeconds < r.ChangeSeconds {
		ps.add("roles.dwell_s", "%v is below roles.change_s, %v: an engine would change again before it is back",
			r.DwellSeconds, r.ChangeSeconds)
	}
	if r.Policy == "schedule" && len(r.Schedule) == 0 {
		ps.add("roles.schedule", "the policy schedule needs it")
	}
}

func checkSecurity(d *Deployment, ps *problems) {
	s := d.Security
	if (s.TLSCertFile == "") != (s.TLSKeyFile == "") {
		ps.add("security", "tls_cert_file and tls_key_file go together")
	}
	if s.TLSCertFile != "" && s.TLSCAFile == "" {
		ps.add("security", "with TLS on, tls_ca_file must say whom the system's processes trust")
	}
	if s.TLSCertFile == "" && s.TLSCAFile != "" {
		ps.add("security.tls_ca_file", "TLS is off: tls_cert_file and tls_key_file are missing")
	}
}
