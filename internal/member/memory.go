package member

import (
	"net/http"
	"runtime/debug"
	"time"

	"tamarackchute/internal/bodylimit"
	"tamarackchute/internal/graceful"
	"tamarackchute/internal/machine"
)

// memoryLimitRatio is the share of the memory limit from which the runtime collects garbage more
// often, so that the process isn't killed for its memory use.
const memoryLimitRatio = 0.6

// limitMemory sets the runtime's memory limit; 0 leaves it unchanged.
func limitMemory(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(float64(bytes) * memoryLimitRatio))
	}
}

// otherShare is what all other addresses together may have, as a share of the limits of the callers'.
const otherShare = 0.25

// requestLimits are the limits on what callers make the daemon hold, with requests and the responses to them.
type requestLimits struct {
	bodies, responses, heads, otherHeads *bodylimit.Limit
}

func newRequestLimits(s *Settings) requestLimits {
	shares := sharesOf(s)
	return requestLimits{
		bodies:     bodylimit.NewOf(shares.SmallBodies, shares.LargeBodies),
		responses:  bodylimit.NewOf(shares.SmallResponses, shares.LargeResponses),
		heads:      bodylimit.New(shares.Heads),
		otherHeads: bodylimit.New(int64(otherShare * float64(shares.Heads))),
	}
}

// sharesOf returns the shares of the machine that the settings describe, as far as they do.
func sharesOf(s *Settings) machine.Shares {
	memory, descriptors := s.MemoryBytes, s.MaxDescriptors
	if memory == 0 {
		memory = machine.Memory()
	}
	if allowed := machine.Descriptors(); descriptors == 0 || allowed > 0 && allowed < descriptors {
		descriptors = allowed
	}
	return machine.SharesOf(memory, descriptors)
}

// limitRequests fits the limits on callers' requests to the settings.
func (m *Member) limitRequests(s *Settings) {
	shares := sharesOf(s)
	m.requestLimits.bodies.Resize(shares.SmallBodies, shares.LargeBodies)
	m.requestLimits.responses.Resize(shares.SmallResponses, shares.LargeResponses)
	m.requestLimits.heads.Resize(shares.Heads, shares.Heads)
	otherHeads := int64(otherShare * float64(shares.Heads))
	m.requestLimits.otherHeads.Resize(otherHeads, otherHeads)
	m.callerConns.SetLimits(graceful.Limits{Connections: shares.Connections, Heads: m.requestLimits.heads})
	m.otherConns.SetLimits(graceful.Limits{Connections: int(otherShare * float64(shares.Connections)), Heads: m.requestLimits.otherHeads})
}

// withoutBody serves requests whose bodies aren't read: they are complete with their heads.
func withoutBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		request := graceful.FromContext(in.Context())
		request.HeadRead()
		if in.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			// Otherwise net/http waits for the rest of the body before it closes the connection.
			_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) // fails only if the connection has failed
		}
		if !request.Complete() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, in)
	})
}
