package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"tamarackchute/internal/codec"
)

// Version is the protocol's version. Both ends must use the same.
const Version = 1

const (
	nonceBytes        = 32
	maxHandshakeBytes = 512
)

// Labels separate the uses of the secret: one side's proof can't be reflected as
// the other's, and no proof equals a key.
const (
	labelClientProof  = "tamarackchute client proof"
	labelServerProof  = "tamarackchute server proof"
	labelClientFrames = "tamarackchute client frames"
	labelServerFrames = "tamarackchute server frames"
)

// hello opens a handshake; the server replies with a hello of its own.
type hello struct {
	Version int    `msgpack:"v"`
	Name    string `msgpack:"n"`
	Nonce   []byte `msgpack:"r"`
}

// session is the result of a handshake: the peer's name and a key per direction.
type session struct {
	peer       string
	sendKey    []byte
	receiveKey []byte
}

// handshakeClient proves the secret to a server and checks its proof:
//
//	client: hello with a nonce
//	server: hello with a nonce
//	client: HMAC(secret, client label, both hellos)
//	server: HMAC(secret, server label, both hellos)
//
// The server sends its proof only after it has verified the client's. Both nonces
// are part of both proofs, so a recorded proof is invalid in a later handshake.
func handshakeClient(rw io.ReadWriter, name string, secret []byte) (session, error) {
	sent, err := sendHello(rw, name)
	if err != nil {
		return session{}, err
	}
	received, peer, err := receiveHello(rw)
	if err != nil {
		return session{}, err
	}
	transcript := appendPrefixed(appendPrefixed(nil, sent), received)
	if err := writePrefixed(rw, derive(secret, labelClientProof, transcript)); err != nil {
		return session{}, err
	}
	if err := checkProof(rw, derive(secret, labelServerProof, transcript)); err != nil {
		return session{}, err
	}
	return session{
		peer:       peer,
		sendKey:    derive(secret, labelClientFrames, transcript),
		receiveKey: derive(secret, labelServerFrames, transcript),
	}, nil
}

// handshakeServer is the server's side of handshakeClient.
func handshakeServer(rw io.ReadWriter, name string, secret []byte) (session, error) {
	received, peer, err := receiveHello(rw)
	if err != nil && !eris.Is(err, ErrVersion) {
		return session{}, err
	}
	// A peer of another version gets our hello too, so that it can report the
	// mismatch.
	sent, sendErr := sendHello(rw, name)
	if err != nil {
		return session{}, err
	}
	if sendErr != nil {
		return session{}, sendErr
	}
	transcript := appendPrefixed(appendPrefixed(nil, received), sent)
	if err := checkProof(rw, derive(secret, labelClientProof, transcript)); err != nil {
		return session{}, eris.Wrapf(err, "peer claiming to be %q", peer)
	}
	if err := writePrefixed(rw, derive(secret, labelServerProof, transcript)); err != nil {
		return session{}, err
	}
	return session{
		peer:       peer,
		sendKey:    derive(secret, labelServerFrames, transcript),
		receiveKey: derive(secret, labelClientFrames, transcript),
	}, nil
}

func derive(secret []byte, label string, transcript []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(label))
	mac.Write(transcript)
	return mac.Sum(nil)
}

func sendHello(w io.Writer, name string) ([]byte, error) {
	h := hello{Version: Version, Name: name, Nonce: make([]byte, nonceBytes)}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(h.Nonce)
	data, err := msgpack.Marshal(h)
	if err != nil {
		return nil, eris.Wrap(err, "encode hello")
	}
	return data, writePrefixed(w, data)
}

func receiveHello(r io.Reader) (raw []byte, name string, err error) {
	raw, err = readPrefixed(r, maxHandshakeBytes)
	if err != nil {
		return nil, "", err
	}
	var h hello
	if err := codec.Unmarshal(raw, &h); err != nil || len(h.Nonce) != nonceBytes {
		return nil, "", eris.Wrap(ErrMalformed, "hello")
	}
	if h.Version != Version {
		return nil, "", eris.Wrapf(ErrVersion, "version %d, ours is %d", h.Version, Version)
	}
	return raw, h.Name, nil
}

// checkProof reads the peer's proof and compares it in constant time. A peer that
// closes the connection instead rejected our proof or has none.
func checkProof(r io.Reader, want []byte) error {
	got, err := readPrefixed(r, maxHandshakeBytes)
	if err == io.EOF {
		return eris.Wrap(ErrNotAuthenticated, "peer closed the connection before its proof")
	}
	if err != nil {
		return err
	}
	if !hmac.Equal(got, want) {
		return ErrNotAuthenticated
	}
	return nil
}

func writePrefixed(w io.Writer, data []byte) error {
	_, err := w.Write(appendPrefixed(nil, data))
	return err
}
