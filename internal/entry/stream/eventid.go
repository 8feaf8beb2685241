// Package stream holds what a streamed answer needs to survive the failure of an
// engine or an entry instance: event ids from which any instance can resume it, and
// a bounded buffer of the text so far.
package stream

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Origin is what an instance needs to resume an answer in progress.
type Origin struct {
	// Answer is the answer's id as the caller sees it, Created the time at which
	// its first request began, in Unix seconds.
	Answer  string `msgpack:"i"`
	Created int64  `msgpack:"c"`
	// Upstream names the engine, Attempt the attempt in progress there.
	Upstream string `msgpack:"u"`
	Attempt  string `msgpack:"a"`
	// First is the index of the attempt's first token: 0 unless it continues the
	// answer of another engine.
	First int `msgpack:"f"`
}

// RequestDigest is the digest of what a request to resume must repeat: the caller's
// organisation, the path and the request's body.
type RequestDigest [sha256.Size]byte

// NewRequestDigest returns the digest of a request.
func NewRequestDigest(organisation, path string, body []byte) RequestDigest {
	h := sha256.New()
	for _, part := range []string{organisation, path} {
		h.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		h.Write([]byte{':'})
		h.Write([]byte(part))
	}
	h.Write(body)
	return RequestDigest(h.Sum(nil))
}

// ErrEventID says that an event id was not issued by this deployment for the
// request that carries it.
var ErrEventID = errors.New("the event id doesn't belong to this request")

// macBytes is the length of the message authentication code in an id: 128 bits.
const macBytes = 16

// macContext separates these codes from other uses of the same secret.
const macContext = "tamarackchute event id 1\x00"

// Signer signs and verifies event ids. All instances share its secret.
type Signer struct{ secret []byte }

// NewSigner returns a signer with the secret that the instances share.
func NewSigner(secret []byte) *Signer {
	return &Signer{secret: append([]byte(nil), secret...)}
}

var idEncoding = base64.RawURLEncoding

// Prefix returns the part that all event ids of one attempt share. Its code covers
// the origin and the request's digest, so that a caller can neither forge an id nor
// use another caller's. The token index that follows needs no cover: any index leads
// only to the caller's own answer.
func (s *Signer) Prefix(o Origin, digest RequestDigest) string {
	signed, err := msgpack.Marshal(&o)
	if err != nil {
		panic(err) // a struct of strings and numbers always has a msgpack form
	}
	signed = append(signed, s.mac(signed, digest)...)
	return idEncoding.EncodeToString(signed) + "."
}

// AppendID appends the event id of one token.
func AppendID(dst []byte, prefix string, index int) []byte {
	dst = append(dst, prefix...)
	return strconv.AppendInt(dst, int64(index), 10)
}

// Open verifies an event id and returns its origin and token index. Its only error
// is ErrEventID.
func (s *Signer) Open(id string, digest RequestDigest) (Origin, int, error) {
	encoded, number, found := strings.Cut(id, ".")
	index, err := strconv.Atoi(number)
	if !found || err != nil || index < 0 {
		return Origin{}, 0, ErrEventID
	}
	signed, err := idEncoding.DecodeString(encoded)
	if err != nil || len(signed) < macBytes {
		return Origin{}, 0, ErrEventID
	}
	body, mac := signed[:len(signed)-macBytes], signed[len(signed)-macBytes:]
	if !hmac.Equal(mac, s.mac(body, digest)) {
		return Origin{}, 0, ErrEventID
	}
	var o Origin
	if err := msgpack.Unmarshal(body, &o); err != nil {
		return Origin{}, 0, ErrEventID
	}
	return o, index, nil
}

func (s *Signer) mac(body []byte, digest RequestDigest) []byte {
	h := hmac.New(sha256.New, s.secret)
	h.Write([]byte(macContext))
	h.Write(digest[:])
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}
