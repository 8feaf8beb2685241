package wire

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/placement"
)

// UpstreamLoads are daemons' loads on upstreams. They make up most of the traffic between
// daemons; encoding by reflection takes five times the processor time.
type UpstreamLoads []placement.UpstreamLoad

// PrefillEvents are events of prompts' prefills.
type PrefillEvents []placement.PrefillEvent

// The number of fields of each encoded struct.
const (
	upstreamLoadFields = 2
	loadFields         = 9
	prefillEventFields = 4
	partFields         = 2
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l UpstreamLoads) EncodeMsgpack(e *msgpack.Encoder) error {
	w := writer{e: e}
	w.array(len(l))
	for _, load := range l {
		w.array(upstreamLoadFields)
		w.uint(uint64(load.Upstream))
		w.array(loadFields)
		w.int(load.Load.Running)
		w.int(load.Load.LongStreams)
		w.int(load.Load.ReservedKVTokens)
		w.int(load.Load.LatePrefills)
		w.uint(uint64(load.Load.PrefillSent))
		w.uint(uint64(load.Load.PrefillDone))
		w.uint(uint64(load.Load.TransferredTokens))
		w.uint(uint64(load.Load.EventTime))
		w.uint(uint64(load.Load.ExpectedEventTime))
	}
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *UpstreamLoads) DecodeMsgpack(d *msgpack.Decoder) error {
	r := reader{d: d}
	n := r.length()
	*l = make(UpstreamLoads, 0, n)
	for range n {
		var load placement.UpstreamLoad
		r.array(upstreamLoadFields)
		load.Upstream = placement.Key(r.uint32())
		r.array(loadFields)
		load.Load.Running = r.int()
		load.Load.LongStreams = r.int()
		load.Load.ReservedKVTokens = r.int()
		load.Load.LatePrefills = r.int()
		load.Load.PrefillSent = r.uint32()
		load.Load.PrefillDone = r.uint32()
		load.Load.TransferredTokens = r.uint32()
		load.Load.EventTime = r.uint32()
		load.Load.ExpectedEventTime = r.uint32()
		*l = append(*l, load)
	}
	return r.err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l PrefillEvents) EncodeMsgpack(e *msgpack.Encoder) error {
	w := writer{e: e}
	w.array(len(l))
	for _, event := range l {
		w.array(prefillEventFields)
		w.uint(uint64(event.Engine))
		w.uint(uint64(event.State))
		w.array(partFields)
		w.uint(event.LastShared.ID)
		w.int(event.LastShared.Tokens)
		w.int(event.UnsharedTokens)
	}
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *PrefillEvents) DecodeMsgpack(d *msgpack.Decoder) error {
	r := reader{d: d}
	n := r.length()
	*l = make(PrefillEvents, 0, n)
	for range n {
		var event placement.PrefillEvent
		r.array(prefillEventFields)
		event.Engine = placement.Key(r.uint32())
		event.State = placement.PrefillState(r.uint32())
		r.array(partFields)
		event.LastShared.ID = r.uint64()
		event.LastShared.Tokens = r.int()
		event.UnsharedTokens = r.int()
		*l = append(*l, event)
	}
	return r.err
}

// writer encodes values until the first error, which it keeps.
type writer struct {
	e   *msgpack.Encoder
	err error
}

func (w *writer) array(n int) {
	if w.err == nil {
		w.err = w.e.EncodeArrayLen(n)
	}
}

func (w *writer) int(n int) {
	if w.err == nil {
		w.err = w.e.EncodeInt(int64(n))
	}
}

func (w *writer) uint(n uint64) {
	if w.err == nil {
		w.err = w.e.EncodeUint(n)
	}
}

// reader decodes values until the first error, which it keeps.
type reader struct {
	d   *msgpack.Decoder
	err error
}

// length reads the length of a list. codec.Unmarshal has checked it against the number
// of bytes, so it is safe to allocate.
func (r *reader) length() int {
	if r.err != nil {
		return 0
	}
	var n int
	n, r.err = r.d.DecodeArrayLen()
	return max(0, n)
}

// array reads the length of an array and requires it to be fields.
func (r *reader) array(fields int) {
	if n := r.length(); r.err == nil && n != fields {
		r.err = eris.Errorf("got %d fields, want %d", n, fields)
	}
}

func (r *reader) int() (n int) {
	if r.err == nil {
		n, r.err = r.d.DecodeInt()
	}
	return n
}

func (r *reader) uint32() (n uint32) {
	if r.err == nil {
		n, r.err = r.d.DecodeUint32()
	}
	return n
}

func (r *reader) uint64() (n uint64) {
	if r.err == nil {
		n, r.err = r.d.DecodeUint64()
	}
	return n
}
