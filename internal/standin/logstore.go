package standin

import (
	"time"

	"tamarackchute/internal/adapters/logclient"
)

// maxReadBytes bounds the data of the records returned by one read.
const maxReadBytes = 4 << 20

// logStore holds the log's records. Offsets start at 1.
type logStore struct {
	retention time.Duration
	records   []logclient.Record
	oldest    uint64
	next      uint64
}

func (s *logStore) append(now time.Time, data []byte) uint64 {
	s.expire(now)
	offset := s.next
	s.next++
	s.records = append(s.records, logclient.Record{Offset: offset, At: now.UnixNano(), Data: data})
	return offset
}

// read returns records starting at an offset; the second result says that the record at
// that offset has expired. An offset of 0 means the first record ever appended.
func (s *logStore) read(now time.Time, from uint64, limit int) (logclient.ReadReply, bool) {
	s.expire(now)
	from = max(from, 1)
	reply := logclient.ReadReply{Oldest: s.oldest, Next: s.next}
	if from < s.oldest {
		return reply, true
	}
	bytes := 0
	for at := from; at < s.next && len(reply.Records) < limit; at++ {
		r := s.records[at-s.oldest]
		bytes += len(r.Data)
		if bytes > maxReadBytes && len(reply.Records) > 0 {
			break
		}
		reply.Records = append(reply.Records, r)
	}
	return reply, false
}

func (s *logStore) expire(now time.Time) {
	limit := now.Add(-s.retention).UnixNano()
	keep := 0
	for keep < len(s.records) && s.records[keep].At < limit {
		keep++
	}
	s.trim(s.oldest + uint64(keep))
}

// trim removes the records before an offset.
func (s *logStore) trim(oldest uint64) {
	n := oldest - s.oldest
	if n == 0 {
		return
	}
	clear(s.records[:n])
	s.records = s.records[n:]
	s.oldest = oldest
}
