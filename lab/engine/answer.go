package engine

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
)

// AnswerTokens is the true length of a prompt's answer in tokens, 1 to max. It
// belongs to the prompt, not to the attempt: the same prompt sent again, to any
// box, is answered at the same length.
//
// The length is log-normal with the class's mean and spread, drawn from the
// seed, the session and the prompt's length.
func AnswerTokens(seed uint64, c Class, session string, promptTokens, max int) int {
	h := fnv.New64a()
	h.Write([]byte(session))
	h.Write([]byte{0})
	h.Write(strconv.AppendInt(nil, int64(promptTokens), 10))
	r := rand.New(rand.NewPCG(seed, h.Sum64()))
	mu := math.Log(math.Max(c.OutputTokens, 1)) - c.OutputSigma*c.OutputSigma/2
	n := int(math.Round(math.Exp(mu + c.OutputSigma*r.NormFloat64())))
	if max > 0 && n > max {
		n = max
	}
	if n < 1 {
		n = 1
	}
	return n
}

// WhyExpired is why a box turns waiting work away whose time is up.
const WhyExpired = "its time is up"

// Text is some tokens of a request's answer, four letters each. It tells one
// request's tokens from another's, and one place in an answer from the next.
func AnswerText(request string, from, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	h := fnv.New32a()
	h.Write([]byte(request))
	out := make([]byte, 0, 4*n)
	for i := range n {
		v := h.Sum32() + uint32(from+i)*2654435761
		v ^= v >> 15
		for range 4 {
			out = append(out, letters[v%26])
			v /= 26
		}
	}
	return string(out)
}
