// Package answer runs one model request to its end, over as many attempts as
// its retry class and what was already sent allow.
//
// An Answer gives the tokens of the whole answer in order, each once. It opens
// an attempt at the engine that the router picks; if that engine refuses, dies
// or breaks off, it goes on at another from the prompt and the tokens so far.
package answer
