// Package model is a fake language model. Each layer hashes its inputs into its
// state, so that a layer that is left out, run twice or run out of order changes
// every token that follows: an answer that equals Reference proves that every
// layer ran exactly once and in order at each position.
package model

import (
	"encoding/binary"
	"hash/fnv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Embed returns the first layer's input for the token at position pos.
func Embed(seed uint64, pos, token int) uint64 {
	return mix(seed, uint64(pos), uint64(token))
}

// Layer runs one layer on input x with its KV state, and returns the new
// state and the output.
func Layer(layer int, kv, x uint64) (newKV, y uint64) {
	newKV = mix(kv, x, uint64(layer))
	y = mix(newKV, uint64(layer), 1)
	return newKV, y
}

// Sample returns the token for the last layer's output.
func Sample(y uint64) int {
	return int(y % uint64(len(words)))
}

// Reference returns the n tokens that a model with this number of layers
// generates after prompt.
func Reference(layers int, seed uint64, prompt []int, n int) []int {
	kv := make([]uint64, layers)
	out := make([]int, 0, n)
	next := 0
	for pos := 0; len(out) < n; pos++ {
		token := next
		if pos < len(prompt) {
			token = prompt[pos]
		}
		x := Embed(seed, pos, token)
		for l := range kv {
			kv[l], x = Layer(l, kv[l], x)
		}
		next = Sample(x)
		if pos >= len(prompt)-1 {
			out = append(out, next)
		}
	}
	return out
}

// Tokenize returns one token for each word of text, and a single 0 if there are
// no words.
func Tokenize(text string) []int {
	fields := strings.Fields(text)
	tokens := make([]int, 0, len(fields)+1)
	for _, f := range fields {
		h := fnv.New32a()
		_, _ = h.Write([]byte(f))
		tokens = append(tokens, int(h.Sum32()&0xffff))
	}
	if len(tokens) == 0 {
		tokens = append(tokens, 0)
	}
	return tokens
}

// Word returns the text of a generated token, with a space before it.
func Word(token int) string {
	return " " + words[token%len(words)]
}

func mix(a, b, c uint64) uint64 {
	var buf [24]byte
	binary.LittleEndian.PutUint64(buf[0:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	binary.LittleEndian.PutUint64(buf[16:], c)
	return xxhash.Sum64(buf[:])
}

var words = strings.Fields(`
laps sõi täna hommikul putru ja magas pärast lõunat kaks tundi õues mängis
sõbraga palaviku mõõtsime kell kolm vanem tuleb järele homme rühm läheb parki
поел сегодня утром кашу и спал после обеда два часа на улице играл с другом
температуру измерили в три родитель придёт забрать завтра группа идёт в парк
`)
