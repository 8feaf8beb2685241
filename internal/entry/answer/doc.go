// Package answer runs one model request to completion, in as many attempts as its retry
// class and the state of the response allow. An Answer returns the response's tokens in
// order, each exactly once. If an engine refuses, crashes or breaks off, another one
// continues from the prompt and the tokens so far.
package answer
