// Package answer runs one model request to completion, in as many attempts as
// its retry class and the state of the response allow.
//
// An Answer returns the tokens of the response in order, each exactly once. It
// opens an attempt at the engine that the router picks. If that engine refuses,
// crashes or breaks off, it continues at another from the prompt and the tokens so far.
package answer
