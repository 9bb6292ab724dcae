package engine

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
)

// AnswerTokens returns the length of a prompt's answer in tokens, 1 to max. The
// length belongs to the prompt, not to the attempt: the same prompt sent again, to
// any engine, gets an answer of the same length.
//
// The length is log-normal with the class's mean and spread, drawn from the
// seed, the session and the prompt's length.
func AnswerTokens(seed uint64, class Class, session string, promptTokens, max int) int {
	h := fnv.New64a()
	h.Write([]byte(session))
	h.Write([]byte{0})
	h.Write(strconv.AppendInt(nil, int64(promptTokens), 10))
	rng := rand.New(rand.NewPCG(seed, h.Sum64()))
	mu := math.Log(math.Max(class.OutputTokens, 1)) - class.OutputSigma*class.OutputSigma/2
	n := int(math.Round(math.Exp(mu + class.OutputSigma*rng.NormFloat64())))
	if max > 0 && n > max {
		n = max
	}
	if n < 1 {
		n = 1
	}
	return n
}

// ReasonExpired is the reason with which an engine rejects queued work that has
// passed its deadline.
const ReasonExpired = "its time is up"

// AnswerText returns n tokens of a request's answer from token number from on, four
// letters each. The text differs between requests and between positions in an
// answer, so that mixed-up or missing tokens show.
func AnswerText(request string, from, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	h := fnv.New32a()
	h.Write([]byte(request))
	text := make([]byte, 0, 4*n)
	for i := range n {
		v := h.Sum32() + uint32(from+i)*2654435761
		v ^= v >> 15
		for range 4 {
			text = append(text, letters[v%26])
			v /= 26
		}
	}
	return string(text)
}
