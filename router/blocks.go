package router

import (
	"github.com/cespare/xxhash/v2"
)

// PrefixBlocks returns the chained hashes of a prompt's complete blocks. Each
// covers the prompt from its start to the block's end, so equal hashes mean equal
// prefixes. A word counts as a token; an engine whose tokenizer differs gets no
// cache hits, which loses affinity only.
func PrefixBlocks(prompt string) []uint64 {
	return AppendPrefixBlocks(nil, prompt)
}

// AppendPrefixBlocks is like PrefixBlocks but appends to dst.
func AppendPrefixBlocks(dst []uint64, prompt string) []uint64 {
	var d xxhash.Digest
	d.Reset()
	words := 0
	start := -1
	for i := 0; i <= len(prompt); i++ {
		if i < len(prompt) && !isSpace(prompt[i]) {
			if start < 0 {
				start = i
			}
			continue
		}
		if start < 0 {
			continue
		}
		_, _ = d.WriteString(prompt[start:i])
		_, _ = d.WriteString(" ")
		start = -1
		if words++; words%BlockTokens == 0 {
			dst = append(dst, d.Sum64())
		}
	}
	return dst
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\n' || c == '\t' || c == '\r'
}
