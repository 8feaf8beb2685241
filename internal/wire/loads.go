package wire

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/placement"
)

// Loads are daemons' work at upstreams. They make up most of what daemons tell each other,
// and are written out here: by reflection each takes five times as long (BenchmarkLoads).
type UpstreamLoads []placement.UpstreamLoad

// Reads are what became of prompts.
type PrefillEvents []placement.PrefillEvent

// The number of fields of each form.
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
	for _, at := range l {
		w.array(upstreamLoadFields)
		w.uint(uint64(at.Upstream))
		w.array(loadFields)
		w.int(at.Load.Running)
		w.int(at.Load.LongStreams)
		w.int(at.Load.ReservedKVTokens)
		w.int(at.Load.LatePrefills)
		w.uint(uint64(at.Load.PrefillSent))
		w.uint(uint64(at.Load.PrefillDone))
		w.uint(uint64(at.Load.TransferredTokens))
		w.uint(uint64(at.Load.EventTime))
		w.uint(uint64(at.Load.ExpectedEventTime))
	}
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *UpstreamLoads) DecodeMsgpack(d *msgpack.Decoder) error {
	r := reader{d: d}
	n := r.length()
	*l = make(UpstreamLoads, 0, n)
	for range n {
		var at placement.UpstreamLoad
		r.array(upstreamLoadFields)
		at.Upstream = placement.Key(r.uint32())
		r.array(loadFields)
		at.Load.Running = r.int()
		at.Load.LongStreams = r.int()
		at.Load.ReservedKVTokens = r.int()
		at.Load.LatePrefills = r.int()
		at.Load.PrefillSent = r.uint32()
		at.Load.PrefillDone = r.uint32()
		at.Load.TransferredTokens = r.uint32()
		at.Load.EventTime = r.uint32()
		at.Load.ExpectedEventTime = r.uint32()
		*l = append(*l, at)
	}
	return r.err
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (l PrefillEvents) EncodeMsgpack(e *msgpack.Encoder) error {
	w := writer{e: e}
	w.array(len(l))
	for _, read := range l {
		w.array(prefillEventFields)
		w.uint(uint64(read.Engine))
		w.uint(uint64(read.State))
		w.array(partFields)
		w.uint(read.LastShared.ID)
		w.int(read.LastShared.Tokens)
		w.int(read.UnsharedTokens)
	}
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *PrefillEvents) DecodeMsgpack(d *msgpack.Decoder) error {
	r := reader{d: d}
	n := r.length()
	*l = make(PrefillEvents, 0, n)
	for range n {
		var read placement.PrefillEvent
		r.array(prefillEventFields)
		read.Engine = placement.Key(r.uint32())
		read.State = placement.PrefillState(r.uint32())
		r.array(partFields)
		read.LastShared.ID = r.uint64()
		read.LastShared.Tokens = r.int()
		read.UnsharedTokens = r.int()
		*l = append(*l, read)
	}
	return r.err
}

// writer writes values until one can't be.
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

// reader reads values until one isn't of the form that is expected.
type reader struct {
	d   *msgpack.Decoder
	err error
}

// length reads the length of a list. The bytes that are there bound it: see codec.
func (r *reader) length() int {
	if r.err != nil {
		return 0
	}
	var n int
	n, r.err = r.d.DecodeArrayLen()
	return max(0, n)
}

// array reads the length of a form of some fields.
func (r *reader) array(fields int) {
	if n := r.length(); r.err == nil && n != fields {
		r.err = eris.Errorf("%d fields, not %d", n, fields)
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
